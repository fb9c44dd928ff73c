package loadgen

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutfield/chestnutfield/lab/workload"
	"github.com/chestnutfield/chestnutfield/table"
)

// Burst multiplies the rate of a class for a while.
type Burst struct {
	From, To time.Duration
	Factor   float64
}

// Class is one kind of traffic.
type Class struct {
	Name table.Class
	// Service names the service that the class belongs to.
	Service string
	Method  string
	// Path is the prefix of the requests' paths.
	Path string
	// Rate is the mean number of requests a second.
	Rate float64
	// Callers is the number of callers that the requests come from.
	Callers int
	// ServiceTime is the time that a request takes in a slot.
	ServiceTime workload.Distribution
	// AnswerBytes and BodyBytes are the sizes of answers and of requests.
	AnswerBytes int
	BodyBytes   int
	// CopyShare is the share of orders that the caller sends twice, with the
	// same idempotency key, CopyDelay apart.
	CopyShare float64
	CopyDelay time.Duration
	Bursts    []Burst
}

// Validate says what is wrong with the class.
func (c Class) Validate() error {
	switch {
	case c.Name != table.Lookup && c.Name != table.Order && c.Name != table.Batch:
		return errors.Errorf("class %q: expected lookup, order or batch", c.Name)
	case c.Rate <= 0:
		return errors.Errorf("class %s: rate %v: expected more than 0", c.Name, c.Rate)
	case c.Callers < 1:
		return errors.Errorf("class %s: callers %d: expected 1 or more", c.Name, c.Callers)
	case !strings.HasPrefix(c.Path, "/"):
		return errors.Errorf("class %s: path %q: expected a leading /", c.Name, c.Path)
	}
	return errors.Wrapf(c.ServiceTime.Validate(), "class %s", c.Name)
}

// factor is the rate factor at a time of the run.
func (c Class) factor(at time.Duration) float64 {
	for _, b := range c.Bursts {
		if at >= b.From && at < b.To {
			return b.Factor
		}
	}
	return 1
}

func (c Class) maxFactor() float64 {
	highest := 1.0
	for _, b := range c.Bursts {
		highest = max(highest, b.Factor)
	}
	return highest
}

// Arrivals is the process that request times are drawn from.
type Arrivals string

// The arrival processes.
const (
	Poisson  Arrivals = "poisson"
	Constant Arrivals = "constant"
)

// Request is one planned request.
type Request struct {
	// At is the intended start since the start of the run.
	At time.Duration
	// Class is the index of the request's class.
	Class  int
	Caller string
	Path   string
	Token  string
	// Key is the idempotency key, "" when there is none.
	Key string
	// Copy is true for the second of two copies, Twin the token of the other
	// one; either may be the one that runs.
	Copy        bool
	Twin        string
	ServiceTime time.Duration
	// Entry is a random number that chooses the entry host.
	Entry uint32
}

// Plan draws all requests of a run, in order of their start.
func Plan(classes []Class, arrivals Arrivals, length time.Duration, seed uint64) ([]Request, error) {
	var plan []Request
	for i, c := range classes {
		if err := c.Validate(); err != nil {
			return nil, err
		}
		p := planner{class: c, index: i, seed: seed, rand: workload.NewRand(seed, uint64(i))}
		plan = append(plan, p.draw(arrivals, length)...)
	}
	slices.SortStableFunc(plan, func(a, b Request) int { return int(a.At - b.At) })
	return plan, nil
}

// planner draws the requests of one class.
type planner struct {
	class Class
	index int
	seed  uint64
	rand  *rand.Rand
}

func (p *planner) draw(arrivals Arrivals, length time.Duration) []Request {
	var out []Request
	highest := p.class.maxFactor()
	meanGap := float64(time.Second) / (p.class.Rate * highest)
	for at := 0.0; ; {
		gap := meanGap
		if arrivals == Poisson {
			gap *= p.rand.ExpFloat64()
		}
		at += gap
		if at >= float64(length) {
			return out
		}
		start := time.Duration(at)
		if p.rand.Float64()*highest >= p.class.factor(start) {
			continue
		}
		out = append(out, p.request(start, len(out)))
		if p.class.CopyShare > 0 && p.rand.Float64() < p.class.CopyShare {
			out = append(out, p.copy(&out[len(out)-1]))
		}
	}
}

func (p *planner) request(at time.Duration, n int) Request {
	c := p.class
	token := fmt.Sprintf("%x-%s%d-%d", p.seed, c.Name, p.index, n)
	r := Request{
		At: at, Class: p.index, Token: token,
		Caller:      fmt.Sprintf("caller-%d", p.rand.IntN(c.Callers)),
		Path:        c.Path + token,
		ServiceTime: c.ServiceTime.Draw(p.rand),
		Entry:       p.rand.Uint32(),
	}
	if c.Name == table.Order {
		r.Key = token
	}
	return r
}

// copy is the same order again from the same caller.
func (p *planner) copy(of *Request) Request {
	twin := *of
	twin.Token = of.Token + "-copy"
	twin.Copy, twin.Twin, of.Twin = true, of.Token, twin.Token
	twin.At += p.class.CopyDelay
	twin.Entry = p.rand.Uint32()
	return twin
}

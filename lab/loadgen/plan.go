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

// Burst multiplies the request rate of a class by Factor from From until To,
// counted from the start of the run.
type Burst struct {
	From, To time.Duration
	Factor   float64
}

// Class describes one kind of traffic.
type Class struct {
	Name table.Class
	// Service names the service that the class belongs to.
	Service string
	Method  string
	// Path is the prefix of the requests' paths.
	Path string
	// Rate is the mean number of requests per second.
	Rate float64
	// Callers is the number of callers that the requests come from.
	Callers int
	// ServiceTime is the time for which a request occupies a slot of a target.
	ServiceTime workload.Distribution
	// ResponseBytes and BodyBytes are the sizes of the response and request bodies.
	ResponseBytes int
	BodyBytes     int
	// CopyShare is the fraction (0 to 1) of requests that the caller sends
	// twice, CopyDelay apart. Both copies of an order have the same idempotency
	// key.
	CopyShare float64
	CopyDelay time.Duration
	Bursts    []Burst
}

// Validate returns an error that names the first invalid field, or nil.
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

// factor returns the rate factor at a time since the start of the run.
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

// Arrivals names the arrival process that generates the start times.
type Arrivals string

// The arrival processes.
const (
	Poisson  Arrivals = "poisson"
	Constant Arrivals = "constant"
)

// Request is one planned request.
type Request struct {
	// At is the planned start, as an offset from the start of the run.
	At time.Duration
	// Class is the index of the request's class in the slice given to Plan.
	Class  int
	Caller string
	Path   string
	Token  string
	// Key is the idempotency key, "" when there is none.
	Key string
	// Copy is true for the second of two copies of a request. OtherToken is the
	// token of the other copy, "" when there is none. Either copy may be the one
	// that runs.
	Copy        bool
	OtherToken  string
	ServiceTime time.Duration
	// HostSelector is a random number that selects the entry host.
	HostSelector uint32
}

// Plan generates all requests of a run of the given length, ordered by start
// time. The same arguments give the same plan. It returns an error when a class
// is invalid.
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

// planner generates the requests of one class.
type planner struct {
	class Class
	index int
	seed  uint64
	rand  *rand.Rand
}

// draw generates the requests by thinning: it draws arrivals at the highest rate
// of the class and keeps each with the probability rate/highest rate.
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
		Caller:       fmt.Sprintf("caller-%d", p.rand.IntN(c.Callers)),
		Path:         c.Path + token,
		ServiceTime:  c.ServiceTime.Draw(p.rand),
		HostSelector: p.rand.Uint32(),
	}
	if c.Name == table.Order {
		r.Key = token
	}
	return r
}

// copy returns a second copy of a request, from the same caller and with the
// same idempotency key, and links the two copies.
func (p *planner) copy(of *Request) Request {
	duplicate := *of
	duplicate.Token = of.Token + "-copy"
	duplicate.Copy, duplicate.OtherToken, of.OtherToken = true, of.Token, duplicate.Token
	duplicate.At += p.class.CopyDelay
	duplicate.HostSelector = p.rand.Uint32()
	return duplicate
}

package ledger

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/chestnutfield/chestnutfield/cloud/fake"
	"github.com/chestnutfield/chestnutfield/lb"
	"github.com/chestnutfield/chestnutfield/outcome"
)

// history counts the dispatches of each key and notes the first violation.
type history struct {
	mu sync.Mutex
	// mayHaveRun counts, by key, the dispatches that were not recorded as not
	// run.
	mayHaveRun map[string]int
	violation  string
}

func (h *history) granted(key string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.mayHaveRun[key]++
	if h.mayHaveRun[key] > 1 {
		h.violation = fmt.Sprintf("key %s dispatched while another dispatch may run", key)
	}
}

func (h *history) notRun(key string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.mayHaveRun[key]--
}

// callPlan is one request: its host, key and claim timeout, its service time and
// its outcome. With an outcome of 0, the host never records one.
type callPlan struct {
	host    int
	key     string
	timeout time.Duration
	service time.Duration
	outcome outcome.Outcome
}

// stepPlan is a fault, the requests that follow it, and the time until the next
// step.
type stepPlan struct {
	fault  string
	amount int
	calls  []callPlan
	gap    time.Duration
}

const planHosts = 3

func millis(most int) *rapid.Generator[time.Duration] {
	return rapid.Map(rapid.IntRange(0, most), func(ms int) time.Duration { return time.Duration(ms) * time.Millisecond })
}

var callPlans = rapid.Custom(func(t *rapid.T) callPlan {
	return callPlan{
		host: rapid.IntRange(0, planHosts-1).Draw(t, "host"), key: fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "key")),
		timeout: millis(1000).Draw(t, "patience"), service: millis(3000).Draw(t, "service"),
		outcome: rapid.SampledFrom([]outcome.Outcome{outcome.Ran, outcome.NotRun, outcome.Unknown, 0}).Draw(t, "end"),
	}
})

var stepPlans = rapid.Custom(func(t *rapid.T) stepPlan {
	faults := []string{"", "down", "up", "slow", "fast", "freeze", "thaw", "lose", "kill"}
	return stepPlan{
		fault: rapid.SampledFrom(faults).Draw(t, "fault"), amount: rapid.IntRange(0, 600).Draw(t, "amount"),
		calls: rapid.SliceOfN(callPlans, 0, 4).Draw(t, "calls"), gap: millis(1500).Draw(t, "gap"),
	}
})

// scenario is the state of one run of a plan.
type scenario struct {
	table   *fake.Table
	hosts   []*Ledger
	kills   []context.CancelFunc
	history *history
	calls   sync.WaitGroup
}

// call claims a key and, when the claim is granted, records its outcome after
// the service time.
func (s *scenario) call(p callPlan) {
	l := s.hosts[p.host]
	k := lb.OrderKey{Caller: "c", Key: p.key, Fingerprint: 1}
	ctx, cancel := context.WithTimeout(context.Background(), p.timeout)
	defer cancel()
	c := l.Claim(ctx, k)
	if c.State != lb.ClaimGranted {
		return
	}
	s.history.granted(p.key)
	time.Sleep(p.service)
	if p.outcome == outcome.NotRun {
		s.history.notRun(p.key)
	}
	if p.outcome != 0 {
		l.RecordOutcome(context.Background(), k, c.Token, p.outcome, nil)
	}
}

func (s *scenario) injectFault(p stepPlan) {
	switch p.fault {
	case "down":
		s.table.SetDown(true)
	case "up":
		s.table.SetDown(false)
	case "slow":
		s.table.SetDelay(time.Duration(p.amount) * time.Millisecond)
	case "fast":
		s.table.SetDelay(0)
	case "freeze":
		s.table.Freeze()
	case "thaw":
		s.table.Thaw()
	case "lose":
		s.table.LoseAcks(1 + p.amount%3)
	case "kill":
		s.kills[p.amount%planHosts]()
	}
}

// run executes a plan and returns the violation it caused, "" for none.
func run(t *testing.T, plan []stepPlan) string {
	s := &scenario{table: fake.NewTable(), history: &history{mayHaveRun: map[string]int{}}}
	var runs sync.WaitGroup
	for i := range planHosts {
		l, err := New(Options{Table: s.table, Host: fmt.Sprintf("entry-%d", i)})
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		s.hosts, s.kills = append(s.hosts, l), append(s.kills, cancel)
		runs.Go(func() { _ = l.Run(ctx) })
	}
	for _, p := range plan {
		s.injectFault(p)
		for _, c := range p.calls {
			s.calls.Go(func() { s.call(c) })
		}
		time.Sleep(p.gap)
	}
	s.injectFault(stepPlan{fault: "up"})
	s.injectFault(stepPlan{fault: "thaw"})
	s.calls.Wait()
	for _, kill := range s.kills {
		kill()
	}
	runs.Wait()
	return s.history.violation
}

// TestOrdersRunAtMostOnce checks that, whatever the table service does and
// whichever hosts die, a key is never dispatched while an earlier dispatch may
// have run.
func TestOrdersRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		plan := rapid.SliceOfN(stepPlans, 1, 40).Draw(rt, "plan")
		violation := ""
		synctest.Test(t, func(t *testing.T) { violation = run(t, plan) })
		if violation != "" {
			rt.Fatal(violation)
		}
	})
}

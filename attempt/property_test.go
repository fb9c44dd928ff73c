package attempt

import (
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/chestnutfield/chestnutfield/outcome"
)

// groundTruth records, independently of the machine, which attempts wrote
// bytes, which got a response, and which the upstream said it did not run.
type groundTruth struct {
	cfg      Config
	wrote    map[int]bool
	notRun   map[int]bool
	answered map[int]bool
	status   map[int]int
}

func newGroundTruth(cfg Config) *groundTruth {
	return &groundTruth{cfg: cfg, wrote: map[int]bool{}, notRun: map[int]bool{}, answered: map[int]bool{}, status: map[int]int{}}
}

// mayHaveRun reports whether any attempt other than except may have run.
func (g *groundTruth) mayHaveRun(except int) bool {
	for n := range g.wrote {
		if n != except && !g.notRun[n] {
			return true
		}
	}
	return false
}

func (g *groundTruth) check(t *rapid.T, ev Event, act Action) {
	switch act.Kind {
	case Write:
		if g.mayHaveRun(0) && !g.cfg.Idempotent {
			t.Fatalf("attempt %d writes although another may have run", act.Attempt)
		}
		if len(g.wrote) > 0 && g.cfg.BodyNotReplayable {
			t.Fatalf("attempt %d writes a body that was sent before", act.Attempt)
		}
		if !ev.At.Before(g.cfg.Deadline) {
			t.Fatalf("attempt %d writes after the deadline", act.Attempt)
		}
		g.wrote[act.Attempt] = true
	case Pick:
		if act.Attempt > 1 && g.cfg.NoRetries {
			t.Fatal("another attempt although the caller forbade retries")
		}
		if act.Attempt > 1 && !act.NeedsBudget {
			t.Fatal("another attempt without the retry budget")
		}
		if limit := 1 + MaxNotRunRetries + g.cfg.Retries + 1; act.Attempt > limit {
			t.Fatalf("attempt %d of at most %d", act.Attempt, limit)
		}
	case Forward:
		if !g.answered[act.Attempt] {
			t.Fatalf("forwards attempt %d, which has no response", act.Attempt)
		}
		if g.notRun[act.Attempt] && g.mayHaveRun(0) {
			t.Fatal("forwards a response that says not-run although another attempt may have run")
		}
		if status := g.status[act.Attempt]; g.cfg.StatusPromises && !g.cfg.Idempotent && outcome.PromisesNotRun(status) && g.mayHaveRun(0) {
			t.Fatalf("forwards status %d, a promise, although an attempt may have run", status)
		}
	case Finish:
		g.checkEnd(t, act.End)
	}
}

func (g *groundTruth) checkEnd(t *rapid.T, end End) {
	if end.Outcome == outcome.NotRun && g.mayHaveRun(0) {
		t.Fatalf("reported not-run although an attempt may have run, reason %v", end.Reason)
	}
	if end.Outcome == outcome.Ran && len(g.wrote) == 0 {
		t.Fatal("reported ran, but nothing was written")
	}
	if end.Reason == outcome.UpstreamFailed && (!g.cfg.StatusPromises || g.cfg.Idempotent || !g.mayHaveRun(0)) {
		t.Fatal("replaced a response that promises nothing, or keeps its promise")
	}
	if end.Outcome == outcome.Unknown && !g.mayHaveRun(0) {
		t.Fatal("reported unknown, but no attempt can have run")
	}
}

var eventKinds = rapid.SampledFrom([]EventKind{Admitted, Refused, Picked, NoTarget, Sending, ConnectFailed, ConnectionLost,
	HeaderReceived, ResponseComplete, ResponseTruncated, HedgeDue, Cancelled, Expired, HostStopped})

var statuses = rapid.SampledFrom([]int{200, 400, 404, 408, 421, 429, 500, 503})

// TestInvariantsHoldForAnyEventOrder reports events in random order, including
// orders that no driver produces.
func TestInvariantsHoldForAnyEventOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1000, 0)
		cfg := Config{
			Idempotent:        rapid.Bool().Draw(t, "idempotent"),
			Retries:           rapid.IntRange(0, 3).Draw(t, "retries"),
			NoRetries:         rapid.IntRange(0, 4).Draw(t, "withdrawn") == 0,
			StatusPromises:    rapid.Bool().Draw(t, "statusPromises"),
			BodyNotReplayable: rapid.IntRange(0, 3).Draw(t, "oneShot") == 0,

			RefusedHedgeIsFree: rapid.Bool().Draw(t, "refusedHedgeIsFree"),
			HedgeWhilePicking:  rapid.Bool().Draw(t, "hedgeWhilePicking"),
			Deadline:           start.Add(time.Second),
		}
		g := newGroundTruth(cfg)
		m := New(cfg)
		ends := 0
		for i := range rapid.IntRange(1, 40).Draw(t, "steps") {
			ev := Event{
				Kind:    eventKinds.Draw(t, "kind"),
				At:      start.Add(time.Duration(i*rapid.IntRange(0, 40).Draw(t, "ms")) * time.Millisecond),
				Attempt: rapid.IntRange(0, 5).Draw(t, "attempt"),
				Status:  statuses.Draw(t, "status"),
				NotRun:  rapid.Bool().Draw(t, "notRun"),
				Reason:  outcome.NoTarget,
			}
			if i == 0 && rapid.IntRange(0, 3).Draw(t, "begin") > 0 {
				ev.Kind = Admitted
			}
			if ev.Kind == HeaderReceived && g.wrote[ev.Attempt] && !g.answered[ev.Attempt] {
				g.answered[ev.Attempt] = true
				g.notRun[ev.Attempt], g.status[ev.Attempt] = ev.NotRun, ev.Status
			}
			act := m.Step(ev)
			g.check(t, ev, act)
			if act.Kind == Finish {
				ends++
			}
			if ends > 1 {
				t.Fatal("a request ended twice")
			}
		}
	})
}

// nextEvents lists the events that may follow an action on an attempt.
var nextEvents = map[ActionKind][]EventKind{
	Pick: {Picked, NoTarget}, Dispatch: {Sending, ConnectFailed, ConnectionLost},
	Write: {HeaderReceived, ConnectionLost}, Forward: {ResponseComplete, ResponseTruncated},
}

// TestEveryRequestTerminates drives the machine as package proxy does, with a
// random result of each step and hedges at any time, and checks that the
// request ends with a correct outcome.
func TestEveryRequestTerminates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1000, 0)
		cfg := Config{
			Idempotent:        rapid.Bool().Draw(t, "idempotent"),
			Retries:           rapid.IntRange(0, 3).Draw(t, "retries"),
			StatusPromises:    rapid.Bool().Draw(t, "statusPromises"),
			BodyNotReplayable: rapid.IntRange(0, 3).Draw(t, "oneShot") == 0,

			RefusedHedgeIsFree: rapid.Bool().Draw(t, "refusedHedgeIsFree"),
			HedgeWhilePicking:  rapid.Bool().Draw(t, "hedgeWhilePicking"),
			Deadline:           start.Add(time.Hour),
		}
		g := newGroundTruth(cfg)
		m := New(cfg)
		pending := map[int]ActionKind{}
		ev := Event{Kind: Admitted, At: start}
		for range 200 {
			act := m.Step(ev)
			g.check(t, ev, act)
			if act.Kind == Finish {
				return
			}
			if act.Kind == Forward {
				clear(pending)
			}
			if len(nextEvents[act.Kind]) > 0 {
				pending[act.Attempt] = act.Kind
			}
			if len(pending) == 0 {
				t.Fatal("request has no pending attempt and has not ended")
			}
			ev = g.draw(t, pending)
		}
		t.Fatal("request did not end within 200 events")
	})
}

// draw returns a random event of a pending attempt, or HedgeDue.
func (g *groundTruth) draw(t *rapid.T, pending map[int]ActionKind) Event {
	at := time.Unix(1000, 0)
	if rapid.IntRange(0, 5).Draw(t, "hedge") == 0 {
		return Event{Kind: HedgeDue, At: at}
	}
	n := rapid.SampledFrom(slices.Sorted(maps.Keys(pending))).Draw(t, "attempt")
	ev := Event{
		Kind: rapid.SampledFrom(nextEvents[pending[n]]).Draw(t, "kind"), Attempt: n, At: at,
		Status: statuses.Draw(t, "status"),
		NotRun: rapid.Bool().Draw(t, "notRun"), Reason: outcome.NoTarget,
	}
	delete(pending, n)
	if ev.Kind == HeaderReceived {
		g.answered[n], g.notRun[n], g.status[n] = true, ev.NotRun, ev.Status
	}
	return ev
}

package attempt

import (
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/chestnutfield/chestnutfield/outcome"
)

// world is what truly happened, kept apart from the machine: which attempts
// wrote bytes, and which of those the upstream said it did not run.
type world struct {
	cfg      Config
	wrote    map[int]bool
	notRun   map[int]bool
	answered map[int]bool
}

// mayHaveRun says that some attempt but one may have run.
func (w *world) mayHaveRun(but int) bool {
	for n := range w.wrote {
		if n != but && !w.notRun[n] {
			return true
		}
	}
	return false
}

func (w *world) check(t *rapid.T, ev Event, act Action) {
	switch act.Kind {
	case Write:
		if w.mayHaveRun(0) && !w.cfg.Idempotent {
			t.Fatalf("attempt %d writes although another may have run", act.Attempt)
		}
		if len(w.wrote) > 0 && w.cfg.OneShot {
			t.Fatalf("attempt %d writes a body that was sent before", act.Attempt)
		}
		if !ev.At.Before(w.cfg.Deadline) {
			t.Fatalf("attempt %d writes after the deadline", act.Attempt)
		}
		w.wrote[act.Attempt] = true
	case Pick:
		if act.Attempt > 1 && w.cfg.NoRetries {
			t.Fatal("another attempt although retries were withdrawn")
		}
		if act.Attempt > 1 && !act.Budgeted {
			t.Fatal("another attempt without asking the budget")
		}
		if limit := 1 + MaxSafeRetries + w.cfg.Retries + 1; act.Attempt > limit {
			t.Fatalf("attempt %d of at most %d", act.Attempt, limit)
		}
	case Forward:
		if !w.answered[act.Attempt] {
			t.Fatalf("forwards attempt %d, which has no answer", act.Attempt)
		}
		if w.notRun[act.Attempt] && w.mayHaveRun(0) {
			t.Fatal("forwards an answer that says not run although another attempt may have run")
		}
	case Finish:
		w.checkEnd(t, act.End)
	}
}

func (w *world) checkEnd(t *rapid.T, end End) {
	if end.Outcome == outcome.NotRun && w.mayHaveRun(0) {
		t.Fatalf("untrue not-run, reason %v", end.Reason)
	}
	if end.Outcome == outcome.Ran && len(w.wrote) == 0 {
		t.Fatal("ran, but nothing was written")
	}
	if end.Outcome == outcome.Unknown && !w.mayHaveRun(0) {
		t.Fatal("unknown, but nothing may have run")
	}
}

var anyKind = rapid.SampledFrom([]EventKind{Admitted, Refused, Picked, NoTarget, Sent, ConnectFailed, Lost,
	Header, Answered, Truncated, HedgeDue, Cancelled, Expired})

// TestNoOrderOfEventsBreaksAPromise feeds events in any order, sensible or not.
func TestNoOrderOfEventsBreaksAPromise(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1000, 0)
		cfg := Config{
			Idempotent: rapid.Bool().Draw(t, "idempotent"),
			Retries:    rapid.IntRange(0, 3).Draw(t, "retries"),
			NoRetries:  rapid.IntRange(0, 4).Draw(t, "withdrawn") == 0,
			OneShot:    rapid.IntRange(0, 3).Draw(t, "oneShot") == 0,
			Deadline:   start.Add(time.Second),
		}
		w := &world{cfg: cfg, wrote: map[int]bool{}, notRun: map[int]bool{}, answered: map[int]bool{}}
		m := New(cfg)
		ends := 0
		for i := range rapid.IntRange(1, 40).Draw(t, "steps") {
			ev := Event{
				Kind:    anyKind.Draw(t, "kind"),
				At:      start.Add(time.Duration(i*rapid.IntRange(0, 40).Draw(t, "ms")) * time.Millisecond),
				Attempt: rapid.IntRange(0, 5).Draw(t, "attempt"),
				Status:  rapid.SampledFrom([]int{200, 404, 429, 500, 503}).Draw(t, "status"),
				NotRun:  rapid.Bool().Draw(t, "notRun"),
				Reason:  outcome.NoTarget,
			}
			if i == 0 && rapid.IntRange(0, 3).Draw(t, "begin") > 0 {
				ev.Kind = Admitted
			}
			if ev.Kind == Header && w.wrote[ev.Attempt] && !w.answered[ev.Attempt] {
				w.answered[ev.Attempt] = true
				w.notRun[ev.Attempt] = ev.NotRun
			}
			act := m.Step(ev)
			w.check(t, ev, act)
			if act.Kind == Finish {
				ends++
			}
			if ends > 1 {
				t.Fatal("a request ended twice")
			}
		}
	})
}

// next lists what may follow an action on an attempt.
var next = map[ActionKind][]EventKind{
	Pick: {Picked, NoTarget}, Dispatch: {Sent, ConnectFailed, Lost},
	Write: {Header, Lost}, Forward: {Answered, Truncated},
}

// TestEveryDrivenRequestEnds drives the machine as a driver does, with any
// luck at each step and hedges at any time, and asks that it ends truly.
func TestEveryDrivenRequestEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1000, 0)
		cfg := Config{
			Idempotent: rapid.Bool().Draw(t, "idempotent"),
			Retries:    rapid.IntRange(0, 3).Draw(t, "retries"),
			OneShot:    rapid.IntRange(0, 3).Draw(t, "oneShot") == 0,
			Deadline:   start.Add(time.Hour),
		}
		w := &world{cfg: cfg, wrote: map[int]bool{}, notRun: map[int]bool{}, answered: map[int]bool{}}
		m := New(cfg)
		pending := map[int]ActionKind{}
		ev := Event{Kind: Admitted, At: start}
		for range 200 {
			act := m.Step(ev)
			w.check(t, ev, act)
			if act.Kind == Finish {
				return
			}
			if act.Kind == Forward {
				clear(pending)
			}
			if len(next[act.Kind]) > 0 {
				pending[act.Attempt] = act.Kind
			}
			if len(pending) == 0 {
				t.Fatal("request hangs")
			}
			ev = w.draw(t, pending)
		}
		t.Fatal("request does not end")
	})
}

// draw lets something happen to one of the pending attempts, or a hedge.
func (w *world) draw(t *rapid.T, pending map[int]ActionKind) Event {
	at := time.Unix(1000, 0)
	if rapid.IntRange(0, 5).Draw(t, "hedge") == 0 {
		return Event{Kind: HedgeDue, At: at}
	}
	n := rapid.SampledFrom(slices.Sorted(maps.Keys(pending))).Draw(t, "attempt")
	ev := Event{
		Kind: rapid.SampledFrom(next[pending[n]]).Draw(t, "kind"), Attempt: n, At: at,
		Status: rapid.SampledFrom([]int{200, 500, 503}).Draw(t, "status"),
		NotRun: rapid.Bool().Draw(t, "notRun"), Reason: outcome.NoTarget,
	}
	delete(pending, n)
	if ev.Kind == Header {
		w.answered[n], w.notRun[n] = true, ev.NotRun
	}
	return ev
}

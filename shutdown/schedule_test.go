package shutdown_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/chestnutfield/chestnutfield/shutdown"
)

// began is the beginning of the stop of all tests.
var began = time.Date(2026, 12, 5, 8, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return began.Add(d) }

var schedule = shutdown.Schedule{Began: began, LateFrom: at(2850 * time.Millisecond), CutAt: at(5750 * time.Millisecond)}

// known is the estimate of requests whose longest took d.
func known(d time.Duration) shutdown.Estimate {
	return shutdown.Estimate{Longest: d, Known: true, Objective: time.Second}
}

func TestLatestDispatch(t *testing.T) {
	t.Parallel()
	late := at(time.Minute)
	for name, c := range map[string]struct {
		request shutdown.Request
		// before and after are moments at which the request may and may not be
		// passed on.
		before, after time.Duration
	}{
		"order with short work":        {shutdown.Request{Arrived: began, Deadline: late, Estimate: known(100 * time.Millisecond)}, 5600 * time.Millisecond, 5650 * time.Millisecond},
		"order with long work":         {shutdown.Request{Arrived: began, Deadline: late, Estimate: known(2 * time.Second)}, 3 * time.Second, 3750 * time.Millisecond},
		"lookup with long work":        {shutdown.Request{Arrived: began, Deadline: late, Repeatable: true, Estimate: known(2 * time.Second)}, 3300 * time.Millisecond, 3750 * time.Millisecond},
		"work longer than the stop":    {shutdown.Request{Arrived: began, Deadline: late, Estimate: known(8 * time.Second)}, -5 * time.Second, 0},
		"nothing known":                {shutdown.Request{Arrived: began, Deadline: late}, 2 * time.Second, 3 * time.Second},
		"only the objective known":     {shutdown.Request{Arrived: began, Deadline: late, Estimate: shutdown.Estimate{Objective: time.Second}}, 4 * time.Second, 5 * time.Second},
		"few requests known":           {shutdown.Request{Arrived: began, Deadline: late, Estimate: shutdown.Estimate{Objective: time.Second, Longest: 3 * time.Second}}, time.Second, 3 * time.Second},
		"ends by its deadline":         {shutdown.Request{Arrived: at(5 * time.Second), Deadline: at(5700 * time.Millisecond), Estimate: known(time.Hour)}, 5700 * time.Millisecond, 5701 * time.Millisecond},
		"arrived late":                 {shutdown.Request{Arrived: at(2900 * time.Millisecond), Deadline: late, Estimate: known(time.Millisecond)}, 0, 2900 * time.Millisecond},
		"lookup arrived late":          {shutdown.Request{Arrived: at(2900 * time.Millisecond), Deadline: late, Repeatable: true, Estimate: known(time.Millisecond)}, 0, 2900 * time.Millisecond},
		"body streamed":                {shutdown.Request{Deadline: late, Estimate: known(time.Millisecond)}, 0, time.Millisecond},
		"body streamed, ends in time":  {shutdown.Request{Deadline: at(5 * time.Second)}, 4 * time.Second, 5100 * time.Millisecond},
		"arrived late, ends in time":   {shutdown.Request{Arrived: at(4 * time.Second), Deadline: at(5 * time.Second)}, 4 * time.Second, 5100 * time.Millisecond},
		"lookup arrived just in time":  {shutdown.Request{Arrived: at(2850 * time.Millisecond), Deadline: late, Repeatable: true, Estimate: known(time.Second)}, 4 * time.Second, 5 * time.Second},
		"order that takes no time yet": {shutdown.Request{Arrived: began, Deadline: late, Estimate: known(0)}, 5750 * time.Millisecond, 5751 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			latest := schedule.LatestDispatch(c.request)
			NewWithT(t).Expect(latest).To(And(BeTemporally(">=", at(c.before)), BeTemporally("<", at(c.after))))
		})
	}
}

// Guards against a request that is passed on although its target can't be expected to
// answer before the cut.
func TestNoRequestIsPassedOnThatUsuallyEndsAfterTheCut(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		longest := time.Duration(rapid.Int64Range(0, int64(10*time.Second)).Draw(t, "longest"))
		r := shutdown.Request{
			Arrived:    at(time.Duration(rapid.Int64Range(int64(-5*time.Second), int64(6*time.Second)).Draw(t, "arrived"))),
			Deadline:   at(time.Duration(rapid.Int64Range(0, int64(20*time.Second)).Draw(t, "deadline"))),
			Repeatable: rapid.Bool().Draw(t, "repeatable"),
			Estimate:   shutdown.Estimate{Longest: longest, Known: rapid.Bool().Draw(t, "known"), Objective: time.Second},
		}
		latest := schedule.LatestDispatch(r)
		g.Expect(latest).To(BeTemporally("<=", r.Deadline))
		if r.Deadline.After(schedule.CutAt) {
			g.Expect(latest.Add(longest)).To(BeTemporally("<=", schedule.CutAt))
		}
		withMore := r
		withMore.Estimate.Longest += time.Second
		g.Expect(schedule.LatestDispatch(withMore)).To(BeTemporally("<=", latest), "longer work is passed on no later")
	})
}

func TestStopWithoutACutLimitsNothing(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	endless, deadline := shutdown.Schedule{Began: began, LateFrom: began}, at(time.Hour)
	g.Expect(endless.LatestDispatch(shutdown.Request{Deadline: deadline})).To(Equal(deadline))
	g.Expect(endless.LatestArrival(deadline)).To(Equal(deadline))
	g.Expect(endless.AnswerBy(deadline)).To(Equal(deadline))
}

func TestAnswerBy(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	g.Expect(schedule.AnswerBy(at(time.Minute))).To(Equal(schedule.CutAt))
	g.Expect(schedule.AnswerBy(at(time.Second))).To(Equal(at(time.Second)))
	g.Expect(schedule.LatestArrival(at(time.Minute))).To(Equal(schedule.LateFrom))
	g.Expect(schedule.LatestArrival(at(5 * time.Second))).To(Equal(at(5 * time.Second)))
}

func TestDurations(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	var d shutdown.Durations
	kind := shutdown.Kind{Pool: "p", Class: "order", Objective: time.Second}
	g.Expect(d.Estimate(kind)).To(Equal(shutdown.Estimate{Objective: time.Second}))
	d.Record(kind, 3*time.Second)
	g.Expect(d.Estimate(kind)).To(Equal(shutdown.Estimate{Longest: 3 * time.Second, Objective: time.Second}))
	for range 100 {
		d.Record(kind, 2*time.Second)
	}
	g.Expect(d.Estimate(kind)).To(Equal(shutdown.Estimate{Longest: 3 * time.Second, Known: true, Objective: time.Second}))
	for range 50 {
		d.Record(kind, time.Second)
	}
	g.Expect(d.Estimate(kind).Longest).To(Equal(2*time.Second), "a longer duration is forgotten with its window")
	g.Expect(d.Estimate(shutdown.Kind{Pool: "p", Class: "lookup"}).Known).To(BeFalse())
}

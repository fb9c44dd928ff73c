package storesync

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against hosts that all read the store while one of them receives large tables or
// hands them on, and against hosts that wait for tables that nobody brings.
func TestHostLeavesTablesToOthersOnlyWhileTheyBringThem(t *testing.T) {
	g := NewWithT(t)
	start := time.Unix(1_700_000_000, 0)
	// lasts returns how long a host leaves the tables to others who say so every 400 ms.
	lasts := func(position int, say func(w *tablesWait, now time.Time)) time.Duration {
		var w tablesWait
		for now := start; ; now = now.Add(tablesCheckInterval) {
			if now.Sub(start)%syncInterval == 0 {
				say(&w, now)
			}
			if !w.leave(now, position) {
				return now.Sub(start)
			}
		}
	}
	noticed := func(w *tablesWait, now time.Time) { w.noticed(now) }
	offered := func(w *tablesWait, now time.Time) { w.offer(now, offerHolds) }
	g.Expect(lasts(1, func(*tablesWait, time.Time) {})).To(BeZero())
	g.Expect(lasts(1, noticed)).To(Equal(10 * time.Second))
	g.Expect(lasts(5, noticed)).To(Equal(14 * time.Second))
	g.Expect(lasts(5, offered)).To(Equal(14 * time.Second))
	g.Expect(lasts(5, func(w *tablesWait, now time.Time) {
		if now.Sub(start) < 2*time.Second {
			noticed(w, now)
		}
	})).To(Equal(3600*time.Millisecond), "the reader that received them is lost")
	g.Expect(lasts(5, func(w *tablesWait, now time.Time) { offered(w, now); w.failures++ })).To(Equal(syncInterval), "nobody serves them")
	g.Expect(lasts(5, func(w *tablesWait, now time.Time) { w.failures++; w.answered(now, offerHolds) })).To(Equal(14*time.Second), "all are busy serving them")

	w := tablesWait{}
	w.noticed(start)
	w.leave(start, 1)
	later := start.Add(time.Minute)
	w.noticed(later)
	g.Expect(w.leave(later, 1)).To(BeTrue(), "the next version")
}

package fair_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/chestnutfield/chestnutfield/limit/fair"
)

const (
	lookup = iota
	batch
)

func newQueue() *fair.Queue[string] { return fair.New[string](8, 1) }

func always(int) bool { return true }

func counts(q *fair.Queue[string], n int) map[string]int {
	out := map[string]int{}
	for range n {
		v, ok := q.Pop(always)
		if !ok {
			break
		}
		out[v]++
	}
	return out
}

func TestWeightsDivideService(t *testing.T) {
	q := newQueue()
	for range 200 {
		q.Push(batch, "nightly", "batch")
		q.Push(lookup, "a", "lookup")
	}
	got := counts(q, 90)
	if got["lookup"] != 80 || got["batch"] != 10 {
		t.Fatalf("got %v, want 80 lookups and 10 batch", got)
	}
}

func TestFloodingCallerIsOvertaken(t *testing.T) {
	q := newQueue()
	for range 100 {
		q.Push(lookup, "flood", "flood")
	}
	for range 5 {
		q.Push(lookup, "calm", "calm")
	}
	if got := counts(q, 10); got["calm"] != 5 {
		t.Fatalf("got %v, want half of the first 10 for the calm caller", got)
	}
}

func TestIneligibleClassWaits(t *testing.T) {
	q := newQueue()
	q.Push(lookup, "a", "first")
	q.Push(batch, "b", "second")
	v, ok := q.Pop(func(c int) bool { return c != lookup })
	if !ok || v != "second" || q.Len() != 1 {
		t.Fatalf("got %q %v, %d left", v, ok, q.Len())
	}
}

// TestQueueProperties checks that no item is lost or served twice, that the
// items of one caller are served in order, and that Rank predicts how many are
// served before a new item.
func TestQueueProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := newQueue()
		sent, queued := 0, map[string]*fair.Item[string]{}
		last := map[string]string{}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			class := rapid.IntRange(lookup, batch).Draw(t, "class")
			caller := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "caller")
			switch rapid.IntRange(0, 3).Draw(t, "op") {
			case 0, 1:
				value := fmt.Sprintf("%d%s-%06d", class, caller, sent)
				sent++
				queued[value] = q.Push(class, caller, value)
			case 2:
				if v, ok := q.Pop(always); ok {
					if queued[v] == nil || v <= last[v[:2]] {
						t.Fatalf("%s served again or after %s", v, last[v[:2]])
					}
					last[v[:2]] = v
					delete(queued, v)
				}
			case 3:
				if vs := q.Values(class); len(vs) > 0 {
					it := queued[vs[len(vs)-1]]
					if !q.Remove(it) || q.Remove(it) {
						t.Fatal("item was not removed exactly once")
					}
					delete(queued, it.Value)
				}
			}
			if q.Len() != len(queued) {
				t.Fatalf("%d queued, want %d", q.Len(), len(queued))
			}
		}
		rank := q.Rank(lookup, "new")
		q.Push(lookup, "new", "new")
		for i := 0; ; i++ {
			if v, _ := q.Pop(always); v == "new" {
				// Ties between classes may be served in either order.
				if i < rank-1 || i > rank+1 {
					t.Fatalf("served after %d others, Rank predicted %d", i, rank)
				}
				return
			}
		}
	})
}

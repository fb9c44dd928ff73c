package storesync_test

import (
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/chestnutfield/chestnutfield/storesync"
)

// unusableSource is a store whose tables can't be used while unusable is set.
type unusableSource struct {
	source
	unusable *atomic.Bool
	calls    *atomic.Int64
}

func (s unusableSource) Tables(after storesync.Cursor, wait time.Duration) (storesync.TablesReading, error) {
	s.calls.Add(1)
	r, err := s.source.Tables(after, wait)
	if r.Tables != nil && s.unusable.Load() {
		r.Tables, r.Problem = nil, errors.New("not readable")
	}
	return r, err
}

// Guards against all hosts reading the store without end while its tables can't be used.
func TestTablesThatCanNotBeUsedAreReadByFewHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const hosts, seconds = 30, 20
		g := NewWithT(t)
		network = &storesync.MemoryNetwork{}
		defer func() { network.Stop(); network = nil }()
		s := newStore()
		s.put("t", false)
		var unusable atomic.Bool
		var calls atomic.Int64
		var all []*host
		for i := range hosts {
			name := fmt.Sprint("h", i)
			all = append(all, newHost(s, name, func(o *storesync.Options) {
				o.Source = unusableSource{source{s, name}, &unusable, &calls}
			}))
		}
		time.Sleep(5 * time.Second)
		unusable.Store(true)
		s.configure(2)
		time.Sleep(5 * time.Second)
		before := calls.Load()
		time.Sleep(seconds * time.Second)
		reads := calls.Load() - before
		for _, h := range all {
			g.Expect(h.follower.TablesConfirmed()).To(BeFalse(), h.name)
		}
		unusable.Store(false)
		s.configure(1) // the operator takes the change back
		time.Sleep(4 * time.Second)
		for _, h := range all {
			g.Expect(h.follower.TablesConfirmed()).To(BeTrue(), h.name)
		}
		g.Expect(reads).To(BeNumerically("<=", 4*seconds), "readings of the tables by %d hosts in %d s", hosts, seconds)
	})
}

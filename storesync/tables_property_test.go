package storesync_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/storesync"
)

const (
	// lostAfter is when a host gives up a call whose response was lost, on top of the
	// time that the store was asked to wait.
	lostAfter = 600 * time.Millisecond
	// lateBy bounds how late the response of a slow store arrives.
	lateBy = 500 * time.Millisecond
)

// link is how a host reaches the store.
type link uint8

const (
	linkSound link = iota
	// linkSlow delays responses, linkLossy loses every other one.
	linkSlow
	linkLossy
	linkCut
)

// faultySource is the store over a link with faults.
type faultySource struct {
	source
	mu   *sync.Mutex
	rng  *rand.Rand
	link *link
}

// respond delays or loses a response of the store.
func (s faultySource) respond(err error, wait time.Duration) error {
	s.mu.Lock()
	l, draw := *s.link, s.rng.Float64()
	s.mu.Unlock()
	switch {
	case l == linkSlow:
		time.Sleep(time.Duration(draw * float64(lateBy)))
	case l == linkCut || l == linkLossy && draw < 0.5:
		time.Sleep(wait + lostAfter)
		return errUnreachable
	}
	return err
}

func (s faultySource) Tables(after storesync.Cursor, wait time.Duration) (storesync.TablesReading, error) {
	began := time.Now()
	r, err := s.source.Tables(after, wait)
	return r, s.respond(err, wait-time.Since(began))
}

func (s faultySource) Registry() (storesync.RegistryReading, error) {
	r, err := s.source.Registry()
	return r, s.respond(err, 0)
}

// tablesRun is a deployment whose tables change while hosts and links fail.
type tablesRun struct {
	*WithT
	store   *store
	hosts   []*host
	links   map[string]*link
	mu      sync.Mutex
	rng     *rand.Rand
	version uint64
	// accepted are the times at which versions were accepted.
	accepted map[uint64]time.Time
	started  int
}

func (r *tablesRun) start() {
	name := fmt.Sprint("h", r.started)
	r.started++
	r.links[name] = new(link)
	r.hosts = append(r.hosts, newHost(r.store, name, func(o *storesync.Options) {
		o.Source = faultySource{source{r.store, name}, &r.mu, r.rng, r.links[name]}
	}))
}

func (r *tablesRun) configure() {
	r.version += 1 + r.rng.Uint64N(3)
	r.store.configure(r.version)
	r.accepted[r.version] = time.Now()
}

// step makes one random change.
func (r *tablesRun) step() {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch r.rng.IntN(8) {
	case 0, 1, 2:
		r.configure()
	case 3:
		*r.links[r.hosts[r.rng.IntN(len(r.hosts))].name] = link(r.rng.IntN(4))
	case 4:
		l := link(r.rng.IntN(4))
		for _, h := range r.hosts {
			*r.links[h.name] = l
		}
	case 5:
		r.store.mu.Lock()
		r.store.forgotten = true
		r.store.mu.Unlock()
	case 6:
		i := r.rng.IntN(len(r.hosts))
		r.hosts[i].stop()
		r.hosts = append(r.hosts[:i], r.hosts[i+1:]...)
		r.start()
	default:
		r.store.put(fmt.Sprint("t", r.rng.IntN(5)), false)
	}
}

// check compares the tables of all hosts with what the store has accepted.
func (r *tablesRun) check(latest map[string]uint64) {
	const bound = 2*time.Second + lateBy + 50*time.Millisecond
	now := time.Now()
	due := lo.Max(lo.Keys(lo.PickBy(r.accepted, func(_ uint64, at time.Time) bool { return now.Sub(at) > bound })))
	for _, h := range r.hosts {
		confirmed, version := h.follower.TablesConfirmed(), h.tablesVersion()
		r.Expect(version).To(BeNumerically(">=", latest[h.name]), h.name)
		latest[h.name] = version
		if confirmed {
			r.Expect(version).To(BeNumerically(">=", due), "%s says that its tables are the newest", h.name)
		}
	}
}

// Guards against hosts that stay on older tables, or take them for the newest, after a
// feed lost an answer, a reader fell behind or a host started meanwhile.
func TestTablesInForceFollowTheStoreThroughFaults(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			network = &storesync.MemoryNetwork{}
			defer func() { network.Stop(); network = nil }()
			r := &tablesRun{WithT: NewWithT(t), store: newStore(), links: map[string]*link{}, rng: rand.New(rand.NewPCG(seed, 38)), version: 1, accepted: map[uint64]time.Time{1: time.Now()}}
			r.store.put("t0", false)
			for range 6 {
				r.start()
			}
			time.Sleep(3 * time.Second)
			latest := map[string]uint64{}
			for range 60 {
				r.step()
				for end := time.Now().Add(time.Duration(r.rng.Int64N(int64(800 * time.Millisecond)))); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
					r.check(latest)
				}
			}
			r.mu.Lock()
			for _, l := range r.links {
				*l = linkSound
			}
			r.mu.Unlock()
			time.Sleep(3 * time.Second)
			r.mu.Lock()
			r.configure()
			r.mu.Unlock()
			time.Sleep(2500 * time.Millisecond)
			for _, h := range r.hosts {
				r.Expect(h.tablesVersion()).To(Equal(r.version), "seed %d, %s", seed, h.name)
				r.Expect(h.follower.TablesConfirmed()).To(BeTrue(), "seed %d, %s", seed, h.name)
			}
		})
	}
}

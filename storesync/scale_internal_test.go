package storesync

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/samber/lo"
)

// reset forgets what was counted.
func (fl *scaleFleet) reset() {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	for _, h := range fl.hosts {
		h.reads, h.readBytes, h.sentBytes, h.updates, h.tablesReads = nil, 0, 0, 0, 0
	}
}

// scaleCounts is what hosts did since the last reset.
type scaleCounts struct {
	reads, readsFirstSecond, readers int
	readBytes                        int
	sentMax, sentMedian              int
}

// count counts what hosts did since the last reset, at a moment.
func (fl *scaleFleet) count(began time.Time) (c scaleCounts) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	var sent []int
	for _, h := range fl.hosts {
		c.reads += len(h.reads)
		c.readsFirstSecond += lo.CountBy(h.reads, func(at time.Time) bool { return at.Sub(began) <= time.Second })
		c.readers += lo.Ternary(len(h.reads) > 0, 1, 0)
		c.readBytes += h.readBytes
		sent = append(sent, h.sentBytes)
	}
	slices.Sort(sent)
	c.sentMax, c.sentMedian = sent[len(sent)-1], sent[len(sent)/2]
	return c
}

// await returns how long it takes until a condition holds for all hosts, at most limit.
func (fl *scaleFleet) await(hosts []*scaleHost, limit time.Duration, holds func(h *scaleHost) bool) time.Duration {
	began := time.Now()
	for {
		fl.mu.Lock()
		done := lo.EveryBy(hosts, holds)
		fl.mu.Unlock()
		if took := time.Since(began); done || took >= limit {
			return took
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (fl *scaleFleet) knowsAll(h *scaleHost) bool { return len(h.known) == fl.targets-len(fl.leaving) }

// drain makes a target leave and returns how long it takes until no host uses it.
func (fl *scaleFleet) drain(target int, hosts []*scaleHost) time.Duration {
	fl.mu.Lock()
	fl.leaving[target] = true
	fl.mu.Unlock()
	id := targetID(target)
	return fl.await(hosts, 10*time.Second, func(h *scaleHost) bool { return !h.known[id] })
}

// The bounds of section E of the requirements.
const (
	// maxReadsAtLoss is the number of whole readings of the registry by all hosts
	// within a second of a loss or a start.
	maxReadsAtLoss = 8
	// maxDrainDelay is the time in which a draining target gets no new requests.
	maxDrainDelay = 2500 * time.Millisecond
	// maxBack is the time from the start of hosts to when all know the targets: a
	// quarter of the requests must be served 15 s after hosts are back.
	maxBack = 5 * time.Second
)

// Guards against hosts that read the registry each for itself when many start at once
// or lose their reader, and so exceed the store and their links.
func TestFewHostsReadTheRegistry(t *testing.T) {
	for _, hosts := range []int{30, 100, 300} {
		t.Run(fmt.Sprint(hosts, " hosts"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playScale(t, hosts) })
		})
	}
}

func playScale(t *testing.T, hosts int) {
	fl := newScaleFleet(hosts)
	defer fl.Stop()
	// check judges one case: the counts since began.
	check := func(name string, began time.Time, took, limit time.Duration, maxReads int) {
		t.Helper()
		c := fl.count(began)
		t.Logf("%3d hosts, %-22s %4d reads, %4d of them in the first second, by %3d hosts, %8d KB read, sent %7d KB by the busiest and %5d by the middle host; done after %v",
			hosts, name, c.reads, c.readsFirstSecond, c.readers, c.readBytes/1000, c.sentMax/1000, c.sentMedian/1000, took)
		if c.readsFirstSecond > maxReads || c.readers > maxReads || took >= limit {
			t.Errorf("%d hosts, %s: got %d reads in the first second, %d hosts that read and %v; expected at most %d, %d and less than %v",
				hosts, name, c.readsFirstSecond, c.readers, took, maxReads, maxReads, limit)
		}
	}

	began := time.Now()
	fl.firstStart = true
	fl.start(fl.hosts...)
	took := fl.await(fl.hosts, 30*time.Second, fl.knowsAll)
	fl.firstStart = false
	check("first start of all", began, took, maxBack, maxReadsAtLoss)

	time.Sleep(10 * time.Second)
	fl.reset()
	began = time.Now()
	time.Sleep(time.Minute)
	c := fl.count(began)
	check("calm minute", began, 0, maxBack, maxReadsAtLoss)
	if c.readers != 1 || c.reads > 110 {
		t.Errorf("%d hosts, calm minute: got %d reads by %d hosts; expected at most 110 by one", hosts, c.reads, c.readers)
	}

	reader := fl.hosts[0].follower.readerHost()
	first, _ := lo.Find(fl.hosts, func(h *scaleHost) bool { return h.self == reader })
	cut := func(lost bool) {
		fl.mu.Lock()
		defer fl.mu.Unlock()
		first.cut = lost
	}
	fl.reset()
	began = time.Now()
	cut(true)
	check("reader without store", began, fl.drain(2, fl.hosts), maxDrainDelay, maxReadsAtLoss)
	cut(false)
	time.Sleep(10 * time.Second)

	// The failure domain of the reader loses power.
	lost, rest := lo.FilterReject(fl.hosts, func(h *scaleHost, _ int) bool { return h.self.FailureDomain == reader.FailureDomain })
	fl.reset()
	began = time.Now()
	fl.kill(lost...)
	check("drain at a loss", began, fl.drain(1, rest), maxDrainDelay, maxReadsAtLoss)
	time.Sleep(15 * time.Second)
	check("loss of a third, 15 s", began, 0, maxBack, maxReadsAtLoss)
	fl.reset()
	began = time.Now()
	fl.start(lost...)
	check("return of a third", began, fl.await(fl.hosts, 30*time.Second, fl.knowsAll), maxBack, maxReadsAtLoss)

	time.Sleep(10 * time.Second)
	fl.kill(fl.hosts...)
	time.Sleep(2 * time.Second)
	fl.reset()
	began = time.Now()
	fl.start(fl.hosts...)
	check("loss of all", began, fl.await(fl.hosts, 30*time.Second, fl.knowsAll), maxBack, maxReadsAtLoss)
}

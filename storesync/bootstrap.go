package storesync

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/roster"
)

// bootstrap loads everything from another host. The first hosts in the ranking of
// readers read the store when that fails; the others go on asking them until
// bootstrapWait has passed.
func (f *Follower) bootstrap(ctx context.Context, tracker *readTracker) {
	defer close(f.bootstrapped)
	select {
	case <-ctx.Done():
		return
	case <-f.hostsListed:
	}
	for end := f.Clock.Now().Add(f.bootstrapWait()); ctx.Err() == nil; {
		sources, readsItself := f.snapshotSources()
		if len(sources) == 0 || f.fetchSnapshot(sources[rand.IntN(len(sources))]) {
			break
		}
		if (readsItself && !f.FirstStart) || !f.Clock.Now().Before(end) {
			break
		}
		f.sleep(ctx, bootstrapRetryInterval/2+rand.N(bootstrapRetryInterval), nil)
	}
	if f.hasRegistry() || ctx.Err() != nil {
		return
	}
	f.readStore(tracker)
}

// hasRegistry reports whether the registry was loaded from another host or the store.
func (f *Follower) hasRegistry() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.targets != nil
}

// snapshotSources returns the hosts that a host that starts may ask for a snapshot:
// the first of the ranking of readers that are not skipped. None are left for the
// reader itself. readsItself is true for those that read the store when the others
// have nothing yet.
func (f *Follower) snapshotSources() (sources []roster.Host, readsItself bool) {
	ranked := f.Roster.Rank(f.Clock.Now(), readerTask)
	position := slices.IndexFunc(ranked, func(h roster.Host) bool { return h.Name == f.Roster.Self().Name })
	if position >= 0 && position < maxBootstrapReaders {
		return ranked[:position], true
	}
	sources = ranked[:min(len(ranked), maxSnapshotSources)]
	return lo.Reject(sources, func(h roster.Host, _ int) bool { return h.Name == f.Roster.Self().Name }), false
}

const (
	// bootstrapRetryInterval is the time between requests for a snapshot.
	bootstrapRetryInterval = 100 * time.Millisecond
	// firstStartWait is how long hosts wait for the reader when the whole
	// deployment starts for the first time: callers come seconds later.
	firstStartWait = 1500 * time.Millisecond
	// bootstrapWaitPerHost is how long a host that restarts goes on asking for a
	// snapshot, for each host of the deployment, and maxBootstrapWait the longest
	// time: the more hosts restart at once, the longer it takes to serve them.
	bootstrapWaitPerHost = 5 * time.Millisecond
	maxBootstrapWait     = 2 * time.Second
	// maxBootstrapReaders is the number of hosts that read the store when all start
	// at once: one may be lost, and one slow.
	maxBootstrapReaders = 3
	// maxSnapshotSources is the number of hosts among which those that start choose
	// one to ask: a single one has no bandwidth for hundreds of snapshots.
	maxSnapshotSources = 6
)

// bootstrapWait returns how long a host that starts asks others for a snapshot.
func (f *Follower) bootstrapWait() time.Duration {
	if f.FirstStart {
		return firstStartWait
	}
	return min(time.Duration(f.Roster.Count())*bootstrapWaitPerHost, maxBootstrapWait)
}

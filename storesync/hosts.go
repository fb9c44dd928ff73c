package storesync

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/chestnutfield/chestnutfield/roster"
)

// followHosts adds this host to the store's host list and keeps the list up to
// date until the context ends. The reader polls the list; the others read it
// when the reader's hash of the list differs from theirs.
func (f *Follower) followHosts(ctx context.Context) {
	tracker := f.newReadTracker("hosts")
	for ctx.Err() == nil {
		err := f.discoverHosts(ctx)
		if err == nil || !f.awaitsFirstStart() {
			f.closeHostsListed.Do(func() { close(f.hostsListed) })
		}
		if pause := tracker.record(f.Clock.Now(), err); err != nil {
			if f.awaitsFirstStart() {
				pause = announceDelay(tracker.failures, rand.Float64())
			}
			if f.Roster.Count() > 1 {
				// The list is known already; the registry loop notices when the
				// store is back.
				pause = hostsReadInterval
			}
			f.sleep(ctx, pause, nil)
			continue
		}
		f.closeHostsKnown.Do(func() { close(f.hostsKnown) })
		f.removeSilentHosts()
		f.awaitNextHostsRead(ctx)
	}
}

// HostsKnown reports whether the roster holds the list of hosts.
func (f *Follower) HostsKnown() bool {
	select {
	case <-f.hostsKnown:
		return true
	default:
		// The list was read but this host could not be added to it.
		return f.Roster.Count() > 1
	}
}

// discoverHosts reads the host list and adds this host when it is not listed
// under its current address.
func (f *Follower) discoverHosts(ctx context.Context) error {
	if f.awaitsFirstStart() {
		f.sleep(ctx, f.started.Add(f.firstAnnouncement).Sub(f.Clock.Now()), nil)
	} else {
		r, err := f.Source.Hosts()
		if err != nil {
			return err
		}
		hosts := f.restoreHosts(r)
		// After a failure of all hosts, the listed ones are those that restart.
		f.setHosts(hosts)
		if slices.Contains(hosts, f.Roster.Self()) {
			return nil
		}
		f.closeHostsListed.Do(func() { close(f.hostsListed) })
	}
	if err := f.Source.Announce(f.Roster.Self()); err != nil {
		return err
	}
	f.mu.Lock()
	f.announcedAt = f.Clock.Now()
	f.mu.Unlock()
	// The other hosts of a deployment that starts announce themselves meanwhile.
	f.sleep(ctx, discoveryDelay, nil)
	if f.FirstStart {
		f.sleep(ctx, f.started.Add(announceSpread+discoveryDelay).Sub(f.Clock.Now()), nil)
	}
	r, err := f.Source.Hosts()
	if err != nil {
		return err
	}
	f.setHosts(f.restoreHosts(r))
	return nil
}

// restoreHosts returns the hosts of a reading and, when the store was restored
// from an older copy since the last one, those that the copy lacks. The reader
// writes them again for all: many hosts that do so themselves would exceed what
// one part of the store takes.
func (f *Follower) restoreHosts(r HostsReading) []roster.Host {
	f.logHostProblems(r.Problems)
	f.mu.Lock()
	known, restored := f.knownHosts, f.hostsVersion != 0 && Era(r.Version) > Era(f.hostsVersion)
	f.mu.Unlock()
	_, lost := lo.Difference(r.Hosts, known)
	lost = lo.Reject(lost, func(h roster.Host, _ int) bool {
		return lo.ContainsBy(r.Hosts, func(listed roster.Host) bool { return listed.Name == h.Name })
	})
	hosts := slices.Concat(r.Hosts, lost)
	if !restored {
		hosts = r.Hosts
	} else if f.isReader() && !f.announceAgain(lost) {
		// The next reading tries again.
		return hosts
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hostsVersion = r.Version
	return hosts
}

// logHostProblems logs the number of invalid rows in the host list if it has changed.
func (f *Follower) logHostProblems(problems []error) {
	if before := f.hostProblems.Swap(int64(len(problems))); before == int64(len(problems)) {
		return
	}
	var first error
	if len(problems) > 0 {
		first = problems[0]
	}
	f.Logger.Info("number of invalid rows in the host list changed; they count as no hosts", zap.Int("rows", len(problems)), zap.Error(first))
}

// announceAgain writes the rows of other hosts again; false when that failed.
func (f *Follower) announceAgain(lost []roster.Host) bool {
	for _, chunk := range lo.Chunk(lost, MaxAnnounced) {
		err := f.Source.Announce(chunk...)
		f.Logger.Info("announcing hosts again that the restored copy of the store lacks", zap.Int("hosts", len(chunk)), zap.Error(err))
		if err != nil {
			return false
		}
	}
	return true
}

// awaitsFirstStart reports whether the whole deployment starts for the first
// time and this host has not announced itself yet. It then knows no other host,
// and would read the store like a reader.
func (f *Follower) awaitsFirstStart() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.FirstStart && f.announcedAt.IsZero() && f.Clock.Now().Sub(f.started) < maxFirstStartWait
}

const (
	// announceSpread is the time over which the hosts of a deployment that starts
	// for the first time announce themselves. The store applies some 250
	// transactions a second to one table, one after another.
	announceSpread = 2 * time.Second
	// maxAnnounceDelay bounds the pause before an announcement is tried again.
	maxAnnounceDelay = 4 * time.Second
	// maxFirstStartWait is how long a host that can't announce itself waits before
	// it reads the store without knowing the other hosts.
	maxFirstStartWait = 6 * time.Second
)

// announceDelay returns the pause before a host announces itself, after the
// given number of failures, as a share u, 0 to 1, of the longest: without any
// failure announceSpread, then twice as long each time (full jitter). Hosts that
// start at the same moment neither overload the store nor retry in step.
func announceDelay(failures int, u float64) time.Duration {
	return time.Duration(u * float64(min(announceSpread<<min(failures, 8), maxAnnounceDelay)))
}

const (
	// discoveryDelay is the time from announcing a host to reading the host list:
	// hosts that start together announce themselves within 0.3 s.
	discoveryDelay = 400 * time.Millisecond
	// maxDiscoveryWait is how long a host waits for the host list before it reads
	// the store itself.
	maxDiscoveryWait = time.Second
)

// awaitHostsKnown returns when the host list is known, at the latest
// maxDiscoveryWait after the start.
func (f *Follower) awaitHostsKnown(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-f.hostsKnown:
	case <-f.Clock.After(f.started.Add(maxDiscoveryWait).Sub(f.Clock.Now())):
	}
}

// awaitNextHostsRead returns when the host list should be read from the store
// again.
func (f *Follower) awaitNextHostsRead(ctx context.Context) {
	for ctx.Err() == nil {
		if f.isReader() {
			f.sleep(ctx, hostsReadInterval, nil)
			return
		}
		select {
		case <-ctx.Done():
		case <-f.hostsWake:
			if !f.fetchSnapshot(f.readerHost()) {
				return
			}
			if f.removedFromHosts() {
				// Many hosts may notice this at the same moment.
				f.sleep(ctx, announceDelay(0, rand.Float64()), nil)
				return
			}
		case <-f.Clock.After(hostsReadInterval):
		}
	}
}

// removedFromHosts reports whether this host announced itself some time ago but
// is missing from the host list: the reader removed it as silent.
func (f *Follower) removedFromHosts() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !slices.Contains(f.knownHosts, f.Roster.Self()) && f.Clock.Now().Sub(f.announcedAt) > 2*hostsReadInterval
}

func (f *Follower) setHosts(hosts []roster.Host) {
	f.mu.Lock()
	f.knownHosts, f.hostsHash = hosts, hashHosts(hosts)
	f.mu.Unlock()
	if f.Roster.SetHosts(hosts) {
		f.Logger.Info("host list changed", zap.Int("hosts", f.Roster.Count()))
	}
}

// hashHosts returns a hash over hosts that does not depend on their order.
func hashHosts(hosts []roster.Host) uint64 {
	sorted := slices.SortedFunc(slices.Values(hosts), func(a, b roster.Host) int { return strings.Compare(a.Name, b.Name) })
	var d xxhash.Digest
	d.Reset()
	for _, h := range sorted {
		_, _ = d.WriteString(h.Name)
		addr := h.Addr.Addr().As16()
		_, _ = d.Write(binary.BigEndian.AppendUint16(addr[:], h.Addr.Port()))
	}
	return d.Sum64()
}

package storesync

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/chestnutfield/chestnutfield/hostmsg"
	"github.com/chestnutfield/chestnutfield/registry"
	"github.com/chestnutfield/chestnutfield/roster"
)

func toWireAll(entries []registry.Entry) []entry { return lo.Map(entries, toWire) }

// followRegistry keeps the targets up to date until the context ends.
func (f *Follower) followRegistry(ctx context.Context) {
	tracker := f.newReadTracker("register")
	f.bootstrap(ctx, tracker)
	f.awaitHostsKnown(ctx)
	for ctx.Err() == nil {
		next := f.Clock.Now().Add(f.syncRegistry(ctx, tracker))
		f.storeLost.Store(tracker.failures > 0)
		if expiry, ok := f.nextExpiry(); ok && expiry.Before(next) {
			f.sleep(ctx, expiry.Sub(f.Clock.Now()), nil)
			f.expireEntries()
		}
		f.sleep(ctx, next.Sub(f.Clock.Now()), f.registryWake)
	}
}

// syncRegistry brings the registry up to date, from the reader or from the
// store, and returns the pause before the next call.
func (f *Follower) syncRegistry(ctx context.Context, tracker *readTracker) time.Duration {
	if tracker.failures > 0 {
		f.recheckSkippedReader(ctx)
		f.askForEvacuations()
	}
	var staleReaders []roster.Host
	if !f.isReader() {
		var result syncResult
		result, staleReaders = f.syncWithReaders(ctx, tracker.failures > 0)
		if result == upToDate {
			// With a reader that took the place of stale ones, the store may still be
			// unreachable: the next attempt to read it waits as before.
			if len(staleReaders) == 0 {
				tracker.failures = 0
			}
			return syncInterval
		}
		if f.deferToReader(result, tracker) {
			return syncInterval
		}
		if tracker.failures == 0 && f.awaitsNextReader() {
			return nextReaderInterval
		}
	} else {
		if f.deferAsSubstitute(tracker) {
			return syncInterval
		}
		f.syncAsFailingReader(ctx, tracker)
	}
	pause, ok := f.readStore(tracker)
	if !ok {
		return pause
	}
	for _, reader := range staleReaders {
		f.skipReader(reader, "its data is stale")
	}
	return lo.Ternary(f.isReader(), registryReadInterval, syncInterval)
}

const (
	// nextReaderInterval is the time between sync requests of a follower that waits
	// for the next reader.
	nextReaderInterval = 100 * time.Millisecond
	// maxDataAge is the age of its data at which a follower without a reader reads the
	// store itself: with the reading and a randomized delay of maxDataAgeSpread, a
	// change is in force within 2.5 s.
	maxDataAge       = 1400 * time.Millisecond
	maxDataAgeSpread = 300 * time.Millisecond
	// turnInterval is the time between the turns of the candidates for reader that
	// read the store while those before them respond with stale data.
	turnInterval = 100 * time.Millisecond
)

// awaitsNextReader reports whether this host leaves the store to another candidate
// for reader, as its own data is recent enough. Hundreds of hosts lose their reader at
// the same moment; the first candidate left reads the store at once.
func (f *Follower) awaitsNextReader() bool {
	now := f.Clock.Now()
	position := slices.IndexFunc(f.Roster.Rank(now, readerTask), func(h roster.Host) bool { return h.Name == f.Roster.Self().Name })
	limit := min(maxRegistryAge+time.Duration(max(position-1, 0))*turnInterval, maxDataAge+f.dataAgeDelay)
	f.mu.Lock()
	defer f.mu.Unlock()
	return position > 0 && f.targets != nil && now.Sub(f.registry.readAt) < limit
}

// syncAsFailingReader brings a reader that can't read the store up to date from
// other hosts that can. It goes on trying the store.
func (f *Follower) syncAsFailingReader(ctx context.Context, tracker *readTracker) {
	now := f.Clock.Now()
	if tracker.failures == 0 || now.Sub(tracker.lastSync) < syncInterval {
		return
	}
	tracker.lastSync = now
	if result, _ := f.syncWithReaders(ctx, true); result == upToDate {
		f.reads.WithLabelValues("news", "substitute").Inc()
	}
}

// deferToReader reports whether this host should not try the store now: it
// failed to read it a short time ago, and others keep trying.
func (f *Follower) deferToReader(result syncResult, tracker *readTracker) bool {
	return (result == noResponse || result == staleResponse) && f.failedLately(tracker)
}

// failedLately reports whether this host failed to read the store a short time
// ago, so that another attempt is left to the reader. A host that has no data yet
// tries again sooner.
func (f *Follower) failedLately(tracker *readTracker) bool {
	interval := lo.Ternary(f.Configured(), followerRetryInterval, syncInterval)
	return tracker.failures > 0 && f.Clock.Now().Sub(tracker.lastAttempt) < interval
}

// deferAsSubstitute reports whether this host, the reader only because it skips
// others, should not try the store now. The skipped reader may be trying too:
// one missed response must not double the load on a failing store.
func (f *Follower) deferAsSubstitute(tracker *readTracker) bool {
	return tracker.failures > 0 && f.Roster.First(f.Clock.Now(), readerTask).Name != f.Roster.Self().Name &&
		f.Clock.Now().Sub(tracker.lastAttempt) < syncInterval
}

// recheckSkippedReader asks the reader that this host skips whether it is alive,
// and follows it again if so. While the store fails, the host that is left as
// reader would otherwise try the store at the reader's rate until the reader is
// no longer skipped.
func (f *Follower) recheckSkippedReader(ctx context.Context) {
	first := f.Roster.First(f.Clock.Now(), readerTask)
	if first.Name == f.Roster.Self().Name || first.Name == f.readerHost().Name {
		return
	}
	if f.syncWithReader(ctx, first) == noResponse {
		return
	}
	f.Roster.MarkHealthy(readerKind, first.Name)
	f.Logger.Info("skipped reader responds again; following it", zap.String("reader", first.Name))
}

// readStore reads the registry from the store; after a failure it returns the
// pause before the next attempt.
func (f *Follower) readStore(tracker *readTracker) (pause time.Duration, ok bool) {
	began := f.Clock.Now()
	tracker.lastAttempt = began
	r, err := f.Source.Registry()
	if pause = tracker.record(f.Clock.Now(), err); err != nil {
		return pause, false
	}
	f.logProblems(r.Problems)
	f.applyReading(r, began)
	return 0, true
}

// applyReading applies a reading of the store that began at the given time.
func (f *Follower) applyReading(r RegistryReading, began time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.noteEra(began, r.Version)
	outdated, entries := lo.FilterReject(r.Entries, func(e registry.Entry, _ int) bool { return f.tracker.Outdated(e) })
	f.registry.replace(r.Version, began, entries, lo.Map(outdated, func(e registry.Entry, _ int) string { return e.ID })...)
	f.applyChanges(f.tracker.ApplyListing(began, f.registry.list()))
}

// noteEra prepares for data of a version whose era this host has not seen yet:
// the store was restored from an older copy. The caller holds f.mu.
func (f *Follower) noteEra(readAt time.Time, version uint64) {
	before := f.registry.version
	if before == 0 || Era(version) <= Era(before) {
		return
	}
	f.tracker.StoreRestored(readAt)
	f.Logger.Warn("store was restored from an older copy; missing targets stay in use for now, and those that had gone are left out",
		zap.Uint64("era", Era(version)), zap.Uint64("era_before", Era(before)), zap.Uint64("number", Number(version)), zap.Uint64("number_before", Number(before)),
		zap.Uint64("tables_in_force", f.Current().Version))
}

// syncResult is the outcome of a sync request.
type syncResult uint8

const (
	// noResponse: no reader responded.
	noResponse syncResult = iota
	// staleResponse: the readers that responded had stale data.
	staleResponse
	// upToDate: this host's registry equals the reader's.
	upToDate
	// needsSnapshot: the reader's data is recent, but the response does not hold
	// the changes that this host lacks.
	needsSnapshot
)

// syncWithReaders sends a sync request to the reader, and to the next candidate
// when that one does not help. If none had recent data, it also returns those
// that responded with stale data: whether they or the store failed is then not
// known. storeFailing is true when this host could not read the store lately: then
// readers are tried until one has recent data.
func (f *Follower) syncWithReaders(ctx context.Context, storeFailing bool) (syncResult, []roster.Host) {
	var staleReaders []roster.Host
	silent := 0
	for i, reader := range f.Roster.Rank(f.Clock.Now(), readerTask) {
		self := reader.Name == f.Roster.Self().Name
		if self && storeFailing {
			continue
		}
		if self || silent == maxReadersTried || i >= maxReadersTried && !storeFailing || i >= maxStaleReadersTried {
			break
		}
		switch result := f.syncWithReader(ctx, reader); result {
		case noResponse:
			silent++
			f.skipReader(reader, "no response")
		case staleResponse:
			staleReaders = append(staleReaders, reader)
		default:
			f.Roster.MarkHealthy(readerKind, reader.Name)
			f.reads.WithLabelValues("news", "ok").Inc()
			for _, stale := range staleReaders {
				f.skipReader(stale, "its data is stale")
			}
			if result == needsSnapshot && f.fetchRegistry(reader) {
				result = upToDate
			}
			return result, staleReaders
		}
	}
	return lo.Ternary(len(staleReaders) > 0, staleResponse, noResponse), staleReaders
}

// skipReader marks a reader as failed in the roster, so that others come before
// it for a while.
func (f *Follower) skipReader(reader roster.Host, why string) {
	f.Roster.MarkFailed(f.Clock.Now(), readerKind, reader.Name)
	f.reads.WithLabelValues("news", "failed").Inc()
	f.Logger.Info("reader is skipped for a while; trying the next one or the store", zap.String("reader", reader.Name), zap.String("why", why))
}

// syncWithReader sends one host a sync request, once more when no response
// comes, and applies the response.
func (f *Follower) syncWithReader(ctx context.Context, reader roster.Host) syncResult {
	f.mu.Lock()
	q := syncRequest{RegistryVersion: f.registry.version}
	f.mu.Unlock()
	for range 2 {
		began := f.Clock.Now()
		if r, ok := f.requestChanges(ctx, reader, q); ok {
			f.tellSilentReader(reader)
			return f.applyResponse(reader, began, r)
		}
	}
	return noResponse
}

// requestChanges sends a sync request and returns the response put together
// from its parts; false when it does not arrive in time or is malformed.
func (f *Follower) requestChanges(ctx context.Context, reader roster.Host, q syncRequest) (syncResponse, bool) {
	pending, err := f.Node.Request(reader.Addr, kindSync, q)
	if err != nil {
		f.Logger.Debug("sync request could not be sent; it is sent once more, then the reader is skipped", zap.String("reader", reader.Name), zap.Error(err))
		return syncResponse{}, false
	}
	defer pending.Close()
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	var whole responseParts
	for {
		select {
		case raw := <-pending.Responses():
			var part syncResponse
			if err := hostmsg.Decode(raw, &part); err != nil {
				f.Logger.Warn("sync response is malformed; the request is sent once more, then the reader is skipped", zap.String("reader", reader.Name), zap.Error(err))
				return syncResponse{}, false
			}
			if whole.add(part) {
				return whole.syncResponse, true
			}
		case <-ctx.Done():
			return syncResponse{}, false
		}
	}
}

// applyResponse applies a reader's response to a sync request sent at the given
// time.
func (f *Follower) applyResponse(reader roster.Host, requestedAt time.Time, r syncResponse) syncResult {
	registryAge := hostmsg.Milliseconds(r.RegistryAge)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.readerTables = r.TablesVersion; r.TablesVersion > f.Current().Version {
		f.tablesWait.offer(f.Clock.Now(), offerHolds)
	}
	f.noteTablesVersion(reader, requestedAt, r.TablesVersion, hostmsg.Milliseconds(r.TablesAge))
	if r.HostsHash != f.hostsHash {
		signal(f.hostsWake)
	}
	switch {
	case registryAge > maxRegistryAge:
		return staleResponse
	case !r.ChangesIncluded || r.RegistryVersion < f.registry.version:
		return needsSnapshot
	}
	readAt := requestedAt.Add(-registryAge)
	f.noteEra(readAt, r.RegistryVersion)
	f.registry.apply(r.RegistryVersion, readAt, r.changed(), r.Removed)
	if len(r.Changed)+len(r.Removed) == 0 && f.targets != nil && f.tracker.ConfirmUnchanged(readAt) {
		return upToDate
	}
	f.applyChanges(f.tracker.ApplyListing(readAt, f.registry.list()))
	return upToDate
}

func (f *Follower) logProblems(problems []error) {
	f.reads.WithLabelValues("entry", "unusable").Add(float64(len(problems)))
	for _, p := range problems[:min(len(problems), maxProblemLogs)] {
		f.Logger.Info("registry entry is invalid; it names no target", zap.Error(p))
	}
	if len(problems) > maxProblemLogs {
		f.Logger.Info("more registry entries are invalid than are logged; they name no targets", zap.Int("entries", len(problems)))
	}
}

// maxChangeLogs bounds the log lines about changes in one reading of the
// registry; if there are more, as at a start, each kind of change gets one line.
const maxChangeLogs = 20

// applyChanges puts changes of the registry in force. The caller holds f.mu.
func (f *Follower) applyChanges(changes []registry.Change) {
	f.logChanges(changes)
	if len(changes) == 0 && f.targets != nil {
		return
	}
	f.targets = f.tracker.Targets()
	f.OnChange(f.targets, f.Current())
}

func (f *Follower) logChanges(changes []registry.Change) {
	if len(changes) <= maxChangeLogs {
		for _, c := range changes {
			f.Logger.Info("target "+c.Kind.String(), zap.String("target", c.ID), zap.String("service", c.Service),
				zap.Stringer("address", c.Addr), zap.Int64("born", c.StartedMillis), zap.Int64("sequence", c.Sequence), zap.Duration("warmup_left", c.WarmupLeft),
				zap.Uint64("register", f.registry.version))
		}
		return
	}
	byKind := lo.GroupBy(changes, func(c registry.Change) registry.ChangeKind { return c.Kind })
	for _, kind := range slices.Sorted(maps.Keys(byKind)) {
		ids := lo.Map(byKind[kind], func(c registry.Change, _ int) string { return c.ID })
		f.Logger.Info("targets "+kind.String(), zap.Int("count", len(ids)), zap.Strings("targets", ids),
			zap.Uint64("register", f.registry.version))
	}
}

func (f *Follower) nextExpiry() (time.Time, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	end, ok := f.tracker.GraceEnd()
	if evacuationsEnd, inGrace := f.evacuations.graceEnd(f.Clock.Now()); inGrace && (!ok || evacuationsEnd.Before(end)) {
		return evacuationsEnd, true
	}
	return end, ok
}

func (f *Follower) expireEntries() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Clock.Now()
	f.applyChanges(f.tracker.RemoveExpired(now))
	f.enforceEvacuations(now, fromGraceEnd, "")
}

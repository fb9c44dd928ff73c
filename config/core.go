package config

import (
	"math/rand/v2"
	"time"

	"github.com/chestnutfield/chestnutfield/table"
)

const (
	// DefaultDiscoveryTimeout is how long a starting host collects versions
	// from other sources while the table service does not answer.
	DefaultDiscoveryTimeout = 3 * time.Second
	// DefaultCatchUpTimeout is how long after its start a host waits for the
	// highest version it learned of before it installs the highest version
	// that it could fetch.
	DefaultCatchUpTimeout = 30 * time.Second

	// breakerThreshold is the number of failed polls in a row that opens the
	// circuit breaker of the table service: until a poll succeeds, no tables
	// are fetched from it.
	breakerThreshold = 3
	// snapshotFallbackThreshold is the number of failed fetches in a row from
	// the table service after which a host looks for a snapshot.
	snapshotFallbackThreshold = 2
	// locateSnapshotInterval is the time between two lookups of the latest
	// snapshot.
	locateSnapshotInterval = 5 * time.Second
)

// loadedTables is one version of the tables, decoded and encoded, and the
// source that it was fetched from.
type loadedTables struct {
	tables  *table.Tables
	encoded []byte
	source  source
}

// action is an operation that core asks Syncer to carry out.
type action interface{ isAction() }

type (
	// pollStore reads the version row; the result goes to handlePollResult.
	pollStore struct{}
	// locateSnapshot looks up the version of the latest snapshot; the result
	// goes to handleSnapshotLocated.
	locateSnapshot struct{}
	// fetch gets encoded tables; the result goes to handleFetchResult.
	fetch struct {
		from    source
		version uint64
	}
	// install makes a version the one that this host serves with.
	install struct{ loadedTables }
)

func (pollStore) isAction()      {}
func (locateSnapshot) isAction() {}
func (fetch) isAction()          {}
func (install) isAction()        {}

// coreOptions are the time limits of a core.
type coreOptions struct {
	discoveryTimeout time.Duration
	catchUpTimeout   time.Duration
}

// storeState is the state of polling the table service.
type storeState struct {
	polling     bool
	answered    bool
	failures    int
	nextPoll    time.Time
	lastContact time.Time
}

// snapshotState is the state of looking up the latest snapshot in the object
// store.
type snapshotState struct {
	locating bool
	located  bool
	failures int
	next     time.Time
}

// core decides when to poll, what to fetch and which version to install. It
// is not safe for concurrent use.
type core struct {
	opts        coreOptions
	rng         *rand.Rand
	started     time.Time
	installed   *loadedTables
	bestFetched *loadedTables
	sources     *sources
	undecodable undecodableVersion
	fetching    bool
	store       storeState
	snapshot    snapshotState
	hosts       int
	// lastAdvance is the time of the last call of advance, which did all that
	// was due by then.
	lastAdvance time.Time
}

func newCore(o coreOptions, now time.Time, rng *rand.Rand) *core {
	return &core{opts: o, rng: rng, started: now, sources: newSources(), hosts: 1}
}

// tick does what is due; it is called at the time that nextTick returned, or
// earlier.
func (c *core) tick(now time.Time) []action { return c.advance(now) }

// handlePeerList takes the current list of peers with their versions, and the
// number of hosts.
func (c *core) handlePeerList(now time.Time, peers []PeerVersion, hosts int) []action {
	c.hosts = max(hosts, 1)
	listed := make(map[string]bool, len(peers))
	for _, p := range peers {
		listed[p.Host] = true
		c.sources.recordVersion(peerSource(p.Host), p.Version)
	}
	c.sources.removePeers(listed, c.floor())
	return c.advance(now)
}

// handlePeerVersion takes a peer's announcement that it installed a version.
func (c *core) handlePeerVersion(now time.Time, from string, version uint64) []action {
	c.sources.recordVersion(peerSource(from), version)
	return c.advance(now)
}

// handlePollResult takes the version or the error that pollStore got.
func (c *core) handlePollResult(now time.Time, version uint64, err error) []action {
	c.store.polling = false
	if err != nil {
		c.store.failures++
		c.store.nextPoll = now.Add(c.jitter(backoff(c.store.failures)))
		return c.advance(now)
	}
	c.store.answered, c.store.failures, c.store.lastContact = true, 0, now
	c.store.nextPoll = now.Add(c.jitter(PollInterval(c.hosts)))
	c.sources.recordVersion(storeSource, version)
	return c.advance(now)
}

// handleSnapshotLocated takes the version or the error that locateSnapshot got;
// version 0 means that there is no snapshot.
func (c *core) handleSnapshotLocated(now time.Time, version uint64, err error) []action {
	c.snapshot.locating = false
	if err != nil {
		c.snapshot.failures++
		c.snapshot.next = now.Add(c.jitter(backoff(c.snapshot.failures)))
		return c.advance(now)
	}
	c.snapshot.located, c.snapshot.failures = true, 0
	c.snapshot.next = now.Add(c.jitter(locateSnapshotInterval))
	c.sources.recordVersion(snapshotSource, version)
	return c.advance(now)
}

// handleFetchResult takes the tables or the error that fetch got. Tables that
// are no newer than those at hand count as a failure of the source.
func (c *core) handleFetchResult(now time.Time, from source, t *table.Tables, encoded []byte, err error) []action {
	c.fetching = false
	if err != nil || t.Version <= c.floor() {
		report := c.recordUndecodable(now, from, err)
		c.sources.recordFailure(from, now.Add(c.jitter(backoff(c.sources.get(from).failures+1))))
		return append(report, c.advance(now)...)
	}
	c.sources.recordSuccess(from)
	c.sources.recordVersion(from, t.Version)
	if from == storeSource {
		c.store.lastContact = now
	}
	loaded := loadedTables{tables: t, encoded: encoded, source: from}
	if c.installed != nil {
		return append(c.installIfNewer(loaded), c.advance(now)...)
	}
	c.bestFetched = &loaded
	return c.advance(now)
}

// handleAcceptedChange takes a version that the table service accepted from
// this host.
func (c *core) handleAcceptedChange(now time.Time, t *table.Tables, encoded []byte) []action {
	c.store.lastContact = now
	c.sources.recordVersion(storeSource, t.Version)
	loaded := loadedTables{tables: t, encoded: encoded, source: storeSource}
	return append(c.installIfNewer(loaded), c.advance(now)...)
}

// installIfNewer installs a version if it is newer than the installed one.
func (c *core) installIfNewer(l loadedTables) []action {
	if c.installed != nil && l.tables.Version <= c.installed.tables.Version {
		return nil
	}
	c.installed, c.bestFetched = &l, nil
	if c.undecodable.version <= l.tables.Version {
		c.undecodable = undecodableVersion{}
	}
	return []action{install{l}}
}

// floor is the version that a fetch must exceed to be of use.
func (c *core) floor() uint64 {
	switch {
	case c.installed != nil:
		return c.installed.tables.Version
	case c.bestFetched != nil:
		return c.bestFetched.tables.Version
	default:
		return 0
	}
}

// advance returns all actions that are due now and marks them as started.
func (c *core) advance(now time.Time) []action {
	c.lastAdvance = now
	acts := c.installFirst(now)
	if !c.fetching {
		if src, version, ok := c.sources.pick(now, c.floor(), func(src source) bool { return c.mayFetchFrom(now, src) }, c.rng.IntN); ok {
			c.fetching = true
			acts = append(acts, fetch{from: src, version: version})
		}
	}
	if !c.store.polling && !now.Before(c.store.nextPoll) {
		c.store.polling = true
		acts = append(acts, pollStore{})
	}
	if c.needsSnapshot() && !c.snapshot.locating && !now.Before(c.snapshot.next) {
		c.snapshot.locating = true
		acts = append(acts, locateSnapshot{})
	}
	return acts
}

// installFirst returns the install action of a host that has no version
// installed yet, or nil while it must wait.
func (c *core) installFirst(now time.Time) []action {
	if c.installed != nil || !c.discoveryDone(now) {
		return nil
	}
	catchUpExpired := !now.Before(c.started.Add(c.opts.catchUpTimeout))
	switch {
	case c.bestFetched != nil && (c.bestFetched.tables.Version >= c.sources.highest || catchUpExpired):
		return c.installIfNewer(*c.bestFetched)
	case c.sources.highest == 0 && c.store.answered:
		return c.installIfNewer(loadedTables{tables: table.Empty(), source: storeSource})
	default:
		return nil
	}
}

// discoveryDone reports whether a starting host may choose a version: the
// table service answered or the discovery timeout passed. A table service that
// holds no version is trusted only once the object store has answered too, as
// it may hold the snapshot of a version that the table service lost.
func (c *core) discoveryDone(now time.Time) bool {
	if !now.Before(c.started.Add(c.opts.discoveryTimeout)) {
		return true
	}
	return c.store.answered && (c.sources.get(storeSource).version > 0 || c.snapshot.located)
}

// needsSnapshot reports whether the snapshot may be the only source of a newer
// version.
func (c *core) needsSnapshot() bool {
	if c.installed == nil {
		return !c.snapshot.located || c.storeFetchFailing()
	}
	return c.storeFetchFailing() && c.sources.highest > c.floor()
}

// storeFetchFailing reports whether fetches of tables from the table service
// fail or are stopped by the open breaker.
func (c *core) storeFetchFailing() bool {
	return c.breakerOpen() || c.sources.get(storeSource).failures >= snapshotFallbackThreshold
}

// breakerOpen reports whether the circuit breaker of the table service is
// open.
func (c *core) breakerOpen() bool { return c.store.failures >= breakerThreshold }

// mayFetchFrom reports whether tables may be fetched from src: not from the table
// service while its breaker is open, nor a version that could not be decoded a short
// time ago.
func (c *core) mayFetchFrom(now time.Time, src source) bool {
	if src == storeSource && c.breakerOpen() {
		return false
	}
	return c.sources.get(src).version != c.undecodable.version || !now.Before(c.undecodable.retryAt)
}

func (c *core) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + jitterShare*(2*c.rng.Float64()-1)))
}

// nextTick returns the time at which tick must be called next.
func (c *core) nextTick() time.Time {
	at := c.lastAdvance.Add(MaxPollInterval)
	consider := func(t time.Time) {
		if t.After(c.lastAdvance) && t.Before(at) {
			at = t
		}
	}
	consider(c.store.nextPoll)
	consider(c.snapshot.next)
	consider(c.undecodable.retryAt)
	if c.installed == nil {
		consider(c.started.Add(c.opts.discoveryTimeout))
		consider(c.started.Add(c.opts.catchUpTimeout))
	}
	c.sources.eachRetryTime(consider)
	return at
}

package config

import (
	"math/rand/v2"
	"time"

	"github.com/chestnutfield/chestnutfield/table"
)

const (
	// DefaultStartWait is how long a starting host collects versions while
	// the table service does not answer.
	DefaultStartWait = 3 * time.Second
	// DefaultGiveUp is how long after its start a host insists on the highest
	// version it learned of before it takes the highest it could fetch.
	DefaultGiveUp = 30 * time.Second

	// breakerFailures opens the breaker: until a poll succeeds no body is
	// fetched from the table service.
	breakerFailures = 3
	// stuckFailures of fetching a body from the table service make a host look
	// for a snapshot.
	stuckFailures = 2
	// locateInterval is the least time between two looks for a snapshot.
	locateInterval = 5 * time.Second
)

// held is one version with its packed form.
type held struct {
	tables *table.Tables
	packed []byte
	source source
}

// action is something that the shell carries out.
type action interface{ isAction() }

type (
	// pollStore reads the version row and reports with polled.
	pollStore struct{}
	// locateSnapshot looks for the latest snapshot and reports with located.
	locateSnapshot struct{}
	// fetch gets packed tables and reports with fetched.
	fetch struct {
		from    source
		version uint64
	}
	// install puts a version in force.
	install struct{ held }
)

func (pollStore) isAction()      {}
func (locateSnapshot) isAction() {}
func (fetch) isAction()          {}
func (install) isAction()        {}

// coreOptions are the times of a core.
type coreOptions struct {
	startWait time.Duration
	giveUp    time.Duration
}

// storeView is what is known of the table service.
type storeView struct {
	polling     bool
	answered    bool
	failures    int
	nextPoll    time.Time
	lastContact time.Time
}

// snapshotView is what is known of the object store.
type snapshotView struct {
	locating bool
	located  bool
	failures int
	next     time.Time
}

// core decides which version is in force. It is not safe for concurrent use.
type core struct {
	opts     coreOptions
	rng      *rand.Rand
	started  time.Time
	inForce  *held
	best     *held
	sources  *sources
	fetching bool
	store    storeView
	snapshot snapshotView
	hosts    int
	// decided is the time of the last decision: what was due then is done.
	decided time.Time
}

func newCore(o coreOptions, now time.Time, rng *rand.Rand) *core {
	return &core{opts: o, rng: rng, started: now, sources: newSources(), hosts: 1}
}

// tick is called at the time that wake named, or earlier.
func (c *core) tick(now time.Time) []action { return c.advance(now) }

// peersSeen takes the peers' versions as they are listed now, and the number
// of hosts.
func (c *core) peersSeen(now time.Time, peers []PeerVersion, hosts int) []action {
	c.hosts = max(hosts, 1)
	listed := make(map[string]bool, len(peers))
	for _, p := range peers {
		listed[p.Host] = true
		c.sources.learn(peerSource(p.Host), p.Version)
	}
	c.sources.forgetPeers(listed, c.floor())
	return c.advance(now)
}

// heard takes the news that a peer has a version in force.
func (c *core) heard(now time.Time, from string, version uint64) []action {
	c.sources.learn(peerSource(from), version)
	return c.advance(now)
}

// polled takes the result of pollStore.
func (c *core) polled(now time.Time, version uint64, err error) []action {
	c.store.polling = false
	if err != nil {
		c.store.failures++
		c.store.nextPoll = now.Add(c.jitter(backoff(c.store.failures)))
		return c.advance(now)
	}
	c.store.answered, c.store.failures, c.store.lastContact = true, 0, now
	c.store.nextPoll = now.Add(c.jitter(PollInterval(c.hosts)))
	c.sources.learn(storeSource, version)
	return c.advance(now)
}

// located takes the result of locateSnapshot; version 0 means that there is
// no snapshot.
func (c *core) located(now time.Time, version uint64, err error) []action {
	c.snapshot.locating = false
	if err != nil {
		c.snapshot.failures++
		c.snapshot.next = now.Add(c.jitter(backoff(c.snapshot.failures)))
		return c.advance(now)
	}
	c.snapshot.located, c.snapshot.failures = true, 0
	c.snapshot.next = now.Add(c.jitter(locateInterval))
	c.sources.learn(snapshotSource, version)
	return c.advance(now)
}

// fetched takes the result of fetch.
func (c *core) fetched(now time.Time, from source, t *table.Tables, packed []byte, err error) []action {
	c.fetching = false
	if err != nil || t.Version <= c.floor() {
		c.sources.failed(from, now.Add(c.jitter(backoff(c.sources.get(from).failures+1))))
		return c.advance(now)
	}
	c.sources.succeeded(from)
	c.sources.learn(from, t.Version)
	if from == storeSource {
		c.store.lastContact = now
	}
	got := held{tables: t, packed: packed, source: from}
	if c.inForce != nil {
		return append(c.force(got), c.advance(now)...)
	}
	c.best = &got
	return c.advance(now)
}

// accepted takes a version that this host itself got accepted by the store.
func (c *core) accepted(now time.Time, t *table.Tables, packed []byte) []action {
	c.store.lastContact = now
	c.sources.learn(storeSource, t.Version)
	got := held{tables: t, packed: packed, source: storeSource}
	return append(c.force(got), c.advance(now)...)
}

// force puts a version in force unless it is not newer.
func (c *core) force(h held) []action {
	if c.inForce != nil && h.tables.Version <= c.inForce.tables.Version {
		return nil
	}
	c.inForce, c.best = &h, nil
	return []action{install{h}}
}

// floor is the version that a fetch must exceed to be of use.
func (c *core) floor() uint64 {
	switch {
	case c.inForce != nil:
		return c.inForce.tables.Version
	case c.best != nil:
		return c.best.tables.Version
	default:
		return 0
	}
}

// advance decides all that can be decided now.
func (c *core) advance(now time.Time) []action {
	c.decided = now
	acts := c.start(now)
	if !c.fetching {
		if src, version, ok := c.sources.pick(now, c.floor(), c.usable, c.rng.IntN); ok {
			c.fetching = true
			acts = append(acts, fetch{from: src, version: version})
		}
	}
	if !c.store.polling && !now.Before(c.store.nextPoll) {
		c.store.polling = true
		acts = append(acts, pollStore{})
	}
	if c.wantSnapshot() && !c.snapshot.locating && !now.Before(c.snapshot.next) {
		c.snapshot.locating = true
		acts = append(acts, locateSnapshot{})
	}
	return acts
}

// start decides whether a host without tables takes some.
func (c *core) start(now time.Time) []action {
	if c.inForce != nil || !c.collected(now) {
		return nil
	}
	gaveUp := !now.Before(c.started.Add(c.opts.giveUp))
	switch {
	case c.best != nil && (c.best.tables.Version >= c.sources.highest || gaveUp):
		return c.force(*c.best)
	case c.sources.highest == 0 && c.store.answered:
		return c.force(held{tables: table.Empty(), source: storeSource})
	default:
		return nil
	}
}

// collected is true once everything was heard that a starting host waits for:
// the table service or the end of the wait. A table service that says that
// nothing was ever accepted is believed once the object store says the same.
func (c *core) collected(now time.Time) bool {
	if !now.Before(c.started.Add(c.opts.startWait)) {
		return true
	}
	return c.store.answered && (c.sources.get(storeSource).version > 0 || c.snapshot.located)
}

// wantSnapshot is true while the snapshot may be the only way forward.
func (c *core) wantSnapshot() bool {
	if c.inForce == nil {
		return !c.snapshot.located || c.stuck()
	}
	return c.stuck() && c.sources.highest > c.floor()
}

// stuck is true while the table service can't be counted on for a body.
func (c *core) stuck() bool {
	return c.broken() || c.sources.get(storeSource).failures >= stuckFailures
}

// broken is true while the breaker of the table service is open.
func (c *core) broken() bool { return c.store.failures >= breakerFailures }

func (c *core) usable(src source) bool { return src != storeSource || !c.broken() }

func (c *core) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + jitterShare*(2*c.rng.Float64()-1)))
}

// wake is the next time at which tick may have something to decide.
func (c *core) wake() time.Time {
	at := c.decided.Add(MaxPoll)
	consider := func(t time.Time) {
		if t.After(c.decided) && t.Before(at) {
			at = t
		}
	}
	consider(c.store.nextPoll)
	consider(c.snapshot.next)
	if c.inForce == nil {
		consider(c.started.Add(c.opts.startWait))
		consider(c.started.Add(c.opts.giveUp))
	}
	c.sources.eachRetry(consider)
	return at
}

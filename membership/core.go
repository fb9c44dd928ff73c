package membership

import (
	"math/rand/v2"
	"time"
)

// CoreOptions configures a Core.
type CoreOptions struct {
	// Self describes this host; Heartbeat and State are set by the core.
	Self   Member
	Timing Timing
	// Seed is the seed of the random choice of peers and of the jitter.
	Seed uint64
	// AssumedHosts is the least value of ShareDivisor until a row read has
	// succeeded or a peer's message has arrived.
	AssumedHosts int
}

// peerRecord is what this host knows of another one. Member.Heartbeat is the highest
// heartbeat that arrived through peers, without those read from rows, so that
// its growth proves that the network between hosts works.
type peerRecord struct {
	Member
	// rowHeartbeat is the highest heartbeat seen in the host's row.
	rowHeartbeat uint64
	id           uint32
	// changedAt is when this host recorded the current incarnation and state.
	changedAt time.Time
	// advancedAt is when the heartbeat last grew, through rows or peers.
	advancedAt time.Time
	// heardAt is the start of the latest exchange with a peer that showed
	// heartbeat growth.
	heardAt time.Time
	// firstSilentRead is the start of the first row read after advancedAt that
	// showed no growth; zero while there is none.
	firstSilentRead time.Time
}

// tombstone records a host that is no longer counted, so that outdated entries
// do not bring it back.
type tombstone struct {
	Member
	at time.Time
}

// Core is the state machine of the membership as one host sees it. It does no
// I/O: events and the time go in, actions come out. It is not safe for
// concurrent use.
type Core struct {
	opt        CoreOptions
	rng        *rand.Rand
	self       Member
	peers      map[string]*peerRecord
	byID       map[uint32]*peerRecord
	tombstones map[string]tombstone
	lease      leaseState

	started       time.Time
	lastTick      time.Time
	nextWrite     time.Time
	nextRead      time.Time
	selfChangedAt time.Time
	writing       bool
	reading       bool
	// pausedAt is when the last pause of this process was detected.
	pausedAt time.Time
	// firstReadDone is true once the first row read has succeeded or failed.
	firstReadDone bool
	// informed is true once a row read has succeeded or a peer's message has
	// arrived.
	informed   bool
	superseded bool
	// listed is true once a row read has returned a row.
	listed bool
	// grownAt is when a host was last counted that was not counted before.
	grownAt  time.Time
	counters Counters
}

// Counters are totals since the start of the process.
type Counters struct {
	// Pauses is the number of gaps between ticks that were longer than allowed.
	Pauses uint64
	// Lapses is the number of times that the lease was lost for lack of
	// renewal.
	Lapses uint64
	// Expired is the number of hosts dropped because they were silent.
	Expired uint64
	// Refused is the number of invalid entries from peers or rows, and of
	// entries beyond the maximum number of hosts.
	Refused uint64
	// DropsWithheld is the number of times that a silent host was not dropped
	// because too many hosts were silent at once.
	DropsWithheld uint64
}

// Action is a step that the caller of Core carries out.
type Action interface{ action() }

// WriteHeartbeat asks the caller to write this host's row and then to call
// HandleRenewal or HandleRenewalFailure.
type WriteHeartbeat struct{ Member Member }

// ReadRows asks the caller to read all rows and then to call HandleRows or
// HandleReadFailure.
type ReadRows struct{}

// Expired reports that a host was dropped because it was silent.
type Expired struct{ Member Member }

// Superseded reports that another process runs under this host's name.
type Superseded struct{ Incarnation uint64 }

func (WriteHeartbeat) action() {}
func (ReadRows) action()       {}
func (Expired) action()        {}
func (Superseded) action()     {}

// NewCore returns the Core of a host that starts at now.
func NewCore(opt CoreOptions, now time.Time) *Core {
	const stream = 0x6d656d62
	c := &Core{
		opt: opt, rng: rand.New(rand.NewPCG(opt.Seed, stream)), self: opt.Self,
		peers: map[string]*peerRecord{}, byID: map[uint32]*peerRecord{}, tombstones: map[string]tombstone{},
		started: now, lastTick: now, nextWrite: now, nextRead: now, selfChangedAt: now,
	}
	c.self.State, c.self.Heartbeat = Live, 0
	return c
}

// Tick advances the time and returns the actions that are due. It must be
// called at least once a second.
func (c *Core) Tick(now time.Time) []Action {
	c.checkTime(now)
	c.lastTick = now
	c.refresh(now)
	c.dropOldTombstones(now)
	if c.self.State == Gone {
		return nil
	}
	var out []Action
	if !now.Before(c.nextRead) && !c.reading {
		c.reading = true
		c.nextRead = now.Add(c.jitter(c.opt.Timing.ReadInterval(c.hostCount())))
		out = append(out, ReadRows{})
	}
	// The rows are read before the first write, because they may hold a later
	// incarnation of this host.
	if c.firstReadDone && !now.Before(c.nextWrite) {
		c.nextWrite = now.Add(c.jitter(c.opt.Timing.HeartbeatInterval(c.hostCount())))
		out = append(out, c.nextHeartbeat()...)
	}
	return out
}

// checkTime detects a lapse of the lease and a pause of this process. Every
// event handler calls it first.
func (c *Core) checkTime(now time.Time) {
	c.lapse(now)
	if elapsed(c.lastTick, now) <= c.opt.Timing.pauseLimit(c.hostCount()) {
		return
	}
	c.counters.Pauses++
	c.pausedAt, c.lastTick = now, now
	c.nextWrite, c.nextRead = now, now
}

// nextHeartbeat increments this host's heartbeat and asks for a write of the
// row unless one is in progress.
func (c *Core) nextHeartbeat() []Action {
	c.self.Heartbeat++
	if c.writing || c.superseded {
		return nil
	}
	c.writing = true
	return []Action{WriteHeartbeat{Member: c.self}}
}

// jitter shortens d by up to a tenth, so that the hosts do not act at the same
// time.
func (c *Core) jitter(d time.Duration) time.Duration {
	const jitterDivisor = 10
	return d - time.Duration(c.rng.Int64N(int64(d)/jitterDivisor+1))
}

// HandleRenewal records that a heartbeat write sent at sent was acknowledged.
func (c *Core) HandleRenewal(sent, now time.Time) {
	c.checkTime(now)
	c.writing = false
	if sent.After(c.lease.renewed) {
		c.lease.renewed = sent
	}
	c.refresh(now)
}

// HandleRenewalFailure records that a heartbeat write failed or was not
// acknowledged.
func (c *Core) HandleRenewalFailure(now time.Time) {
	c.checkTime(now)
	c.writing = false
	c.refresh(now)
}

// HandleReadFailure records that the rows could not be read.
func (c *Core) HandleReadFailure(now time.Time) {
	c.checkTime(now)
	c.reading, c.firstReadDone = false, true
	c.refresh(now)
}

// Leave sets this host's state to Leaving, or to Gone when gone is true. The
// returned write of the row tells the other hosts; there is none when another
// process runs under this host's name.
func (c *Core) Leave(now time.Time, gone bool) []Action {
	if gone {
		c.self.State = Gone
	} else if c.self.State == Live {
		c.self.State = Leaving
	}
	c.selfChangedAt = now
	c.self.Heartbeat++
	if c.superseded {
		return nil
	}
	c.writing = true
	return []Action{WriteHeartbeat{Member: c.self}}
}

// Self returns this host's own entry.
func (c *Core) Self() Member { return c.self }

// Counters returns the totals since the start of the process.
func (c *Core) Counters() Counters { return c.counters }

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
	// Seed drives the choice of peers.
	Seed uint64
	// AssumedHosts is the least share count while no other host and no row
	// could be read.
	AssumedHosts int
}

// entry is what is known of another host. Member.Heartbeat is the highest that
// came through peers alone, so that its growth proves that the network between
// hosts works.
type entry struct {
	Member
	// rowBeat is the highest heartbeat seen in the host's row.
	rowBeat uint64
	id      uint32
	// learned is when life or state last changed here.
	learned time.Time
	// advanced is when the heartbeat last grew, by any path.
	advanced time.Time
	// witnessed is the start of the exchange that last showed growth.
	witnessed time.Time
	// silentRead is the start of the first read since that showed no growth.
	silentRead time.Time
}

// tombstone remembers a host that is no longer counted.
type tombstone struct {
	Member
	at time.Time
}

// Core is the pure state of the membership of one host. It is not safe for
// concurrent use.
type Core struct {
	opt   CoreOptions
	rng   *rand.Rand
	self  Member
	peers map[string]*entry
	byID  map[uint32]*entry
	tombs map[string]tombstone
	hold  hold

	started     time.Time
	lastTick    time.Time
	nextBeat    time.Time
	nextRead    time.Time
	selfChanged time.Time
	writing     bool
	reading     bool
	// pausedAt is when the last pause was noticed.
	pausedAt time.Time
	// answered is true once the first read of the rows has ended.
	answered bool
	// informed is true once a row read succeeded or a peer answered.
	informed   bool
	superseded bool
	counts     Counts
}

// Counts are totals since the start.
type Counts struct {
	// Pauses is the number of gaps between ticks that were too long.
	Pauses uint64
	// Lapses is the number of times that the lease ran out.
	Lapses uint64
	// Expired is the number of hosts dropped after silence.
	Expired uint64
	// Refused is the number of absurd entries from peers or rows.
	Refused uint64
	// Kept is the number of drops withheld because too many hosts were silent.
	Kept uint64
}

// Action is something for the shell to do.
type Action interface{ action() }

// WriteHeartbeat asks to write this host's row; answer with Renewed or
// RenewFailed.
type WriteHeartbeat struct{ Member Member }

// ReadRows asks to read all rows; answer with RowsRead or ReadFailed.
type ReadRows struct{}

// Expired tells that a host is no longer counted after silence.
type Expired struct{ Member Member }

// Superseded tells that another process runs under this host's name.
type Superseded struct{ Incarnation uint64 }

func (WriteHeartbeat) action() {}
func (ReadRows) action()       {}
func (Expired) action()        {}
func (Superseded) action()     {}

// NewCore returns the state of a host that starts now.
func NewCore(opt CoreOptions, now time.Time) *Core {
	const stream = 0x6d656d62
	c := &Core{
		opt: opt, rng: rand.New(rand.NewPCG(opt.Seed, stream)), self: opt.Self,
		peers: map[string]*entry{}, byID: map[uint32]*entry{}, tombs: map[string]tombstone{},
		started: now, lastTick: now, nextBeat: now, nextRead: now, selfChanged: now,
	}
	c.self.State, c.self.Heartbeat = Live, 0
	return c
}

// Tick advances the time. Call it at least once a second.
func (c *Core) Tick(now time.Time) []Action {
	c.observe(now)
	c.lastTick = now
	c.refresh(now)
	c.buryOld(now)
	if c.self.State == Gone {
		return nil
	}
	var out []Action
	if !now.Before(c.nextRead) && !c.reading {
		c.reading = true
		c.nextRead = now.Add(c.jitter(c.opt.Timing.Read(c.count())))
		out = append(out, ReadRows{})
	}
	// Rows are read before the first write: they may hold a later incarnation.
	if c.answered && !now.Before(c.nextBeat) {
		c.nextBeat = now.Add(c.jitter(c.opt.Timing.Heartbeat(c.count())))
		out = append(out, c.beat()...)
	}
	return out
}

// observe notices a lapse of the lease and a pause of this process. Every event
// passes it first.
func (c *Core) observe(now time.Time) {
	c.lapse(now)
	if elapsed(c.lastTick, now) <= c.opt.Timing.pauseLimit(c.count()) {
		return
	}
	c.counts.Pauses++
	c.pausedAt, c.lastTick = now, now
	c.nextBeat, c.nextRead = now, now
}

// beat advances the own heartbeat and writes it unless a write is under way.
func (c *Core) beat() []Action {
	c.self.Heartbeat++
	if c.writing || c.superseded {
		return nil
	}
	c.writing = true
	return []Action{WriteHeartbeat{Member: c.self}}
}

// jitter shortens d by up to a tenth, so that hosts do not act in step.
func (c *Core) jitter(d time.Duration) time.Duration {
	const part = 10
	return d - time.Duration(c.rng.Int64N(int64(d)/part+1))
}

// Renewed reports that a heartbeat write sent at sent was acknowledged.
func (c *Core) Renewed(sent, now time.Time) {
	c.observe(now)
	c.writing = false
	if sent.After(c.hold.renewed) {
		c.hold.renewed = sent
	}
	c.refresh(now)
}

// RenewFailed reports that a heartbeat write failed or was not acknowledged.
func (c *Core) RenewFailed(now time.Time) {
	c.observe(now)
	c.writing = false
	c.refresh(now)
}

// ReadFailed reports that the rows could not be read.
func (c *Core) ReadFailed(now time.Time) {
	c.observe(now)
	c.reading, c.answered = false, true
	c.refresh(now)
}

// Leave starts the planned stop of this host, or ends it when gone is true.
// The returned write spreads it through the rows.
func (c *Core) Leave(now time.Time, gone bool) []Action {
	if gone {
		c.self.State = Gone
	} else if c.self.State == Live {
		c.self.State = Leaving
	}
	c.selfChanged = now
	c.self.Heartbeat++
	if c.superseded {
		return nil
	}
	c.writing = true
	return []Action{WriteHeartbeat{Member: c.self}}
}

// Self returns this host's own entry.
func (c *Core) Self() Member { return c.self }

// Counts returns the totals since the start.
func (c *Core) Counts() Counts { return c.counts }

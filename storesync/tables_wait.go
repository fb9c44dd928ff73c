package storesync

import (
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/chestnutfield/chestnutfield/hostmsg"
	"github.com/chestnutfield/chestnutfield/roster"
)

// kindTablesArriving is the message kind of a tablesNotice. Hosts of older releases
// ignore it.
const kindTablesArriving hostmsg.Kind = 23

// tablesNotice tells a host that sent a sync request that the store's response with the
// tables is arriving at the sender. Its age is in milliseconds.
type tablesNotice struct {
	_   struct{} `cbor:",toarray"`
	Age int64
}

const (
	// maxArrivalAge is the time since a part of the tables last arrived up to which the
	// reader tells others that they are arriving.
	maxArrivalAge = 2 * time.Second
	// noticeHolds is how long a host leaves the tables to a reader that said so. When the
	// reader is lost, another one begins to read them, and says so, within some 1.5 s.
	noticeHolds = 5 * syncInterval
	// offerHolds is how long a host leaves the tables to others after one said that it
	// has newer ones, or that it is busy.
	offerHolds = syncInterval
	// maxTablesWait is how long the second host in the ranking of readers leaves the
	// tables to others, and tablesTurn the further time of each next one: where no host
	// hands them on, all read the store, but not at once.
	maxTablesWait = 10 * time.Second
	tablesTurn    = time.Second
	// maxFetchFailures is the number of failed attempts to get tables from another host
	// after which this host reads the store: others may answer sync requests and serve no
	// snapshots.
	maxFetchFailures = 2
	// firstTablesWait is how long a host that got the registry from another one waits for
	// that host's tables: the reader reads both when all hosts start.
	firstTablesWait = 600 * time.Millisecond
)

// tablesWait decides whether a host that knows its tables to be unconfirmed leaves
// reading them to others. It does no I/O and is not safe for concurrent use.
type tablesWait struct {
	// arriving is how long the tables are expected at the reader, offered how long others
	// are expected to hand them on, since when this wait began, asked when leave was last
	// called.
	arriving, offered, since, asked time.Time
	// failures counts the attempts to get them from another host that failed in a row.
	failures int
}

// noticed records that the tables are arriving at the reader.
func (w *tablesWait) noticed(now time.Time) { w.arriving = now.Add(noticeHolds) }

// offer records that another host has newer tables, for a time.
func (w *tablesWait) offer(now time.Time, d time.Duration) {
	if until := now.Add(d); until.After(w.offered) {
		w.offered = until
	}
}

// answered records that another host handed tables on, or will soon.
func (w *tablesWait) answered(now time.Time, d time.Duration) {
	w.failures = 0
	w.offer(now, d)
}

// leave reports whether a host with a position in the ranking of readers leaves the tables
// to others now.
func (w *tablesWait) leave(now time.Time, position int) bool {
	if w.since.IsZero() || now.Sub(w.asked) > noticeHolds {
		w.since = now
	}
	w.asked = now
	if now.Sub(w.since) >= maxTablesWait+time.Duration(max(position-1, 0))*tablesTurn {
		return false
	}
	return now.Before(w.arriving) || now.Before(w.offered) && w.failures < maxFetchFailures
}

// leavesTables reports whether this host leaves reading the tables to others.
func (f *Follower) leavesTables() bool {
	now := f.Clock.Now()
	_, position, _ := lo.FindIndexOf(f.Roster.Rank(now, readerTask), func(h roster.Host) bool { return h.Name == f.Roster.Self().Name })
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.Current().Version == 0 && position >= maxBootstrapReaders && now.Sub(f.loadedAt) < firstTablesWait {
		return true
	}
	return f.tablesWait.leave(now, position)
}

// seekNewerTables makes a random host the next one to ask for tables, if this host still
// lacks those that the reader has: the reader may be busy or lost.
func (f *Follower) seekNewerTables() {
	others := f.Roster.Others()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.readerTables <= f.Current().Version || len(others) == 0 {
		return
	}
	if f.newerTablesReader.Name == "" {
		f.newerTablesReader = lo.Sample(others)
	}
}

// tellTablesArriving tells a host that the tables are arriving here, if they are.
func (f *Follower) tellTablesArriving(to roster.Host) {
	source, ok := f.Source.(ProgressSource)
	if !ok {
		return
	}
	now := f.Clock.Now()
	arrived := now.Sub(source.TablesArrivedAt())
	if arrived > maxArrivalAge {
		return
	}
	if err := f.Node.Notify(to.Addr, kindTablesArriving, tablesNotice{Age: max(arrived, 0).Milliseconds()}); err != nil {
		f.Logger.Debug("host not told that tables are arriving; it may read the store itself", zap.Stringer("to", to.Addr), zap.Error(err))
	}
}

func (f *Follower) handleTablesArriving(m hostmsg.Message) {
	var n tablesNotice
	if err := m.Decode(&n); err != nil {
		f.Logger.Debug("malformed notice of arriving tables dropped", zap.Stringer("from", m.From), zap.Error(err))
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tablesWait.noticed(f.Clock.Now())
}

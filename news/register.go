package news

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/chestnutfield/chestnutfield/mesh"
	"github.com/chestnutfield/chestnutfield/registry"
	"github.com/chestnutfield/chestnutfield/roster"
)

func mapWire(entries []registry.Entry) []entry { return lo.Map(entries, toWire) }

// followRegister keeps the targets until the context ends.
func (f *Follower) followRegister(ctx context.Context) {
	d := f.dependency("register")
	f.join(ctx, d)
	f.awaitMeeting(ctx)
	for ctx.Err() == nil {
		next := f.Clock.Now().Add(f.readRegister(ctx, d))
		f.lost.Store(d.failures > 0)
		if until, ok := f.waitsUntil(); ok && until.Before(next) {
			f.sleep(ctx, until.Sub(f.Clock.Now()), nil)
			f.expire()
		}
		f.sleep(ctx, next.Sub(f.Clock.Now()), nil)
	}
}

// join takes all that the reader knows. A host that starts serves as soon as
// it can: without a reader that answers at once it reads the store.
func (f *Follower) join(ctx context.Context, d *dependency) {
	defer close(f.joined)
	select {
	case <-ctx.Done():
		return
	case <-f.listed:
	}
	for wait := f.joinTime(); ; wait -= joinEvery {
		reader := f.readerHost()
		if reader.Name == f.Roster.Self().Name {
			break
		}
		if f.fetch(reader) {
			return
		}
		if wait <= 0 || ctx.Err() != nil {
			break
		}
		f.sleep(ctx, joinEvery, nil)
	}
	f.readOnce(d)
}

const (
	// joinEvery is the time between two questions for all that the reader knows.
	joinEvery = 100 * time.Millisecond
	// joinFirst is how long hosts wait for the reader when the whole deployment
	// starts for the first time: callers come seconds later.
	joinFirst = 1500 * time.Millisecond
)

// joinTime is how long a host that starts waits for the reader.
func (f *Follower) joinTime() time.Duration {
	if f.FirstStart {
		return joinFirst
	}
	return 0
}

// readRegister brings the register up to date, by the reader or from the
// store, and returns the pause before the next time.
func (f *Follower) readRegister(ctx context.Context, d *dependency) time.Duration {
	var behind []roster.Host
	if !f.isReader() {
		var result told
		result, behind = f.askReaders(ctx)
		if result == upToDate {
			d.failures = 0
			return syncEvery
		}
		if f.leaveToReader(result, d) {
			return syncEvery
		}
	}
	pause, ok := f.readOnce(d)
	if !ok {
		return pause
	}
	for _, reader := range behind {
		f.passOver(reader, "its news are old")
	}
	return lo.Ternary(f.isReader(), registerEvery, syncEvery)
}

// leaveToReader says that this host need not try to read the store now: it
// failed to a short time ago, and others try.
func (f *Follower) leaveToReader(result told, d *dependency) bool {
	tried := f.Clock.Now().Sub(d.tried)
	switch result {
	case nothing:
		return d.idle() && tried < retryIdle
	case stale:
		return d.failures > 0 && tried < retryBehind
	default:
		return false
	}
}

// readOnce reads the register from the store; after a failure it returns the
// pause before the next attempt.
func (f *Follower) readOnce(d *dependency) (pause time.Duration, ok bool) {
	began := f.Clock.Now()
	d.tried = began
	r, err := f.Source.Register()
	if pause = d.read(f.Clock.Now(), err); err != nil {
		return pause, false
	}
	f.noteProblems(r.Problems)
	f.takeReading(r, began)
	return 0, true
}

// takeReading takes a reading of the store that began at a time.
func (f *Follower) takeReading(r RegisterReading, began time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.journal.take(r.Version, began, r.Entries)
	f.takeChanges(f.book.Take(began, r.Entries))
}

// told is what asking for news led to.
type told uint8

const (
	// nothing: nobody answers.
	nothing told = iota
	// stale: who answers has old news.
	stale
	// upToDate: the register is known as the reader knows it.
	upToDate
	// lacking: the reader's news are recent, but too much has changed.
	lacking
)

// askReaders asks for news. It also returns the readers that answered with old
// ones, if no other had better: whether they or the store are to blame is not
// known then.
func (f *Follower) askReaders(ctx context.Context) (told, []roster.Host) {
	var behind []roster.Host
	for i, reader := range f.Roster.Order(f.Clock.Now(), task) {
		if i == readersTried || reader.Name == f.Roster.Self().Name {
			break
		}
		switch result := f.askReader(ctx, reader); result {
		case nothing:
			f.passOver(reader, "no answer")
		case stale:
			behind = append(behind, reader)
		default:
			f.Roster.Fit(kind, reader.Name)
			f.reads.WithLabelValues("news", "ok").Inc()
			for _, b := range behind {
				f.passOver(b, "its news are old")
			}
			if result == lacking && f.fetch(reader) {
				result = upToDate
			}
			return result, nil
		}
	}
	return lo.Ternary(len(behind) > 0, stale, nothing), behind
}

// passOver leaves a reader alone for a while.
func (f *Follower) passOver(reader roster.Host, why string) {
	f.Roster.Unfit(f.Clock.Now(), kind, reader.Name)
	f.reads.WithLabelValues("news", "failed").Inc()
	f.Logger.Info("reader passed over", zap.String("reader", reader.Name), zap.String("why", why))
}

// askReader asks one host, once more when no answer comes, and takes what it
// tells.
func (f *Follower) askReader(ctx context.Context, reader roster.Host) told {
	f.mu.Lock()
	q := question{Register: f.journal.version}
	f.mu.Unlock()
	for range 2 {
		began := f.Clock.Now()
		if a, ok := f.collect(ctx, reader, q); ok {
			return f.takeNews(reader, began, a)
		}
	}
	return nothing
}

// collect asks and joins the parts of the answer.
func (f *Follower) collect(ctx context.Context, reader roster.Host, q question) (answer, bool) {
	asked, err := f.Node.Ask(reader.Addr, kindSync, q)
	if err != nil {
		f.Logger.Debug("reader can't be asked", zap.String("reader", reader.Name), zap.Error(err))
		return answer{}, false
	}
	defer asked.Close()
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	var whole joined
	for {
		select {
		case raw := <-asked.Answers():
			var a answer
			if err := mesh.Decode(raw, &a); err != nil {
				f.Logger.Warn("news are malformed", zap.String("reader", reader.Name), zap.Error(err))
				return answer{}, false
			}
			if whole.add(a) {
				return whole.answer, true
			}
		case <-ctx.Done():
			return answer{}, false
		}
	}
}

// takeNews takes a reader's answer to a question that was asked at a time.
func (f *Follower) takeNews(reader roster.Host, asked time.Time, a answer) told {
	registerAge := mesh.Millis(a.RegisterAge)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hearTables(reader, asked, a.Tables, mesh.Millis(a.TablesAge))
	if a.Hosts != f.hosts {
		signal(f.rehost)
	}
	switch {
	case registerAge > registerOld:
		return stale
	case !a.Known || a.Register < f.journal.version:
		return lacking
	}
	readAt := asked.Add(-registerAge)
	f.journal.apply(a.Register, readAt, a.changed(), a.Dropped)
	if len(a.Changed)+len(a.Dropped) == 0 && f.targets != nil && f.book.Unchanged(readAt) {
		return upToDate
	}
	f.takeChanges(f.book.Take(readAt, f.journal.list()))
	return upToDate
}

func (f *Follower) noteProblems(problems []error) {
	for i, p := range problems {
		f.reads.WithLabelValues("entry", "unusable").Inc()
		if i < mostProblems {
			f.Logger.Debug("entry names no target", zap.Error(p))
		}
	}
}

// mostChangeLines bounds the log lines about one reading of the register; more
// changes at once, as at a start, share one line.
const mostChangeLines = 20

// takeChanges puts what changed in the register in force. The caller holds the
// lock.
func (f *Follower) takeChanges(changes []registry.Change) {
	f.logChanges(changes)
	if len(changes) == 0 && f.targets != nil {
		return
	}
	f.targets = f.book.Targets()
	f.Place(f.targets, f.Current())
}

func (f *Follower) logChanges(changes []registry.Change) {
	if len(changes) <= mostChangeLines {
		for _, c := range changes {
			f.Logger.Info("target "+c.Kind.String(), zap.String("target", c.ID), zap.String("service", c.Service),
				zap.Stringer("address", c.Addr), zap.Int64("born", c.Born), zap.Int64("sequence", c.Sequence),
				zap.Uint64("register", f.journal.version))
		}
		return
	}
	byKind := lo.GroupBy(changes, func(c registry.Change) registry.ChangeKind { return c.Kind })
	for _, kind := range slices.Sorted(maps.Keys(byKind)) {
		ids := lo.Map(byKind[kind], func(c registry.Change, _ int) string { return c.ID })
		f.Logger.Info("targets "+kind.String(), zap.Int("count", len(ids)), zap.Strings("targets", ids),
			zap.Uint64("register", f.journal.version))
	}
}

func (f *Follower) waitsUntil() (time.Time, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.book.WaitsUntil()
}

func (f *Follower) expire() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.takeChanges(f.book.Expire(f.Clock.Now()))
}

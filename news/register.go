package news

import (
	"context"
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
	// A host that starts serves as soon as it can, and joins the others then.
	f.readOnce(d)
	f.awaitMeeting(ctx)
	for ctx.Err() == nil {
		next := f.Clock.Now().Add(f.readRegister(ctx, d))
		if until, ok := f.waitsUntil(); ok && until.Before(next) {
			f.sleep(ctx, until.Sub(f.Clock.Now()), nil)
			f.expire()
		}
		f.sleep(ctx, next.Sub(f.Clock.Now()), nil)
	}
}

// readRegister brings the register up to date, by the reader or from the
// store, and returns the pause before the next time.
func (f *Follower) readRegister(ctx context.Context, d *dependency) time.Duration {
	if !f.isReader() {
		result := f.askReaders(ctx)
		if result == upToDate {
			d.failures = 0
			return syncEvery
		}
		if result == nothing && d.idle() && f.Clock.Now().Sub(d.tried) < retryIdle {
			return syncEvery
		}
	}
	if pause, ok := f.readOnce(d); !ok {
		return pause
	}
	return lo.Ternary(f.isReader(), registerEvery, syncEvery)
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
	// nothing: nobody has news that are recent.
	nothing told = iota
	// upToDate: the register is known as the reader knows it.
	upToDate
	// lacking: the reader's news are recent, but too much has changed.
	lacking
)

// askReaders asks for news.
func (f *Follower) askReaders(ctx context.Context) told {
	for i, reader := range f.Roster.Order(f.Clock.Now(), task) {
		if i == readersTried || reader.Name == f.Roster.Self().Name {
			return nothing
		}
		if result := f.askReader(ctx, reader); result != nothing {
			f.Roster.Fit(kind, reader.Name)
			f.reads.WithLabelValues("news", "ok").Inc()
			return result
		}
		f.Roster.Unfit(f.Clock.Now(), kind, reader.Name)
		f.reads.WithLabelValues("news", "failed").Inc()
		f.Logger.Info("reader passed over", zap.String("reader", reader.Name))
	}
	return nothing
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
			return f.takeNews(began, a)
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

// takeNews takes an answer to a question that was asked at a time.
func (f *Follower) takeNews(asked time.Time, a answer) told {
	registerAge := time.Duration(a.RegisterAge) * time.Millisecond
	tablesAge := time.Duration(a.TablesAge) * time.Millisecond
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hearTables(asked, a.Tables, tablesAge)
	if a.Hosts != f.hosts {
		signal(f.rehost)
	}
	switch {
	case registerAge > registerOld:
		return nothing
	case !a.Known || a.Register < f.journal.version:
		return lacking
	}
	readAt := asked.Add(-registerAge)
	f.journal.apply(a.Register, readAt, a.changed(), a.Dropped)
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

// takeChanges puts what changed in the register in force. The caller holds the
// lock.
func (f *Follower) takeChanges(changes []registry.Change) {
	for _, c := range changes {
		f.Logger.Info("target "+c.Kind.String(), zap.String("target", c.ID), zap.String("service", c.Service),
			zap.Stringer("address", c.Addr), zap.Int64("born", c.Born), zap.Int64("sequence", c.Sequence))
	}
	if len(changes) == 0 && f.targets != nil {
		return
	}
	f.targets = f.book.Targets()
	f.Place(f.targets, f.Current())
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

package quarantine

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/chestnutfield/chestnutfield/roster"
)

// reloadTask is the task of reading the stored records while there are suspects:
// hosts that don't reach each other learn in this way what the others found.
var reloadTask = roster.Task{Kind: "crash", Name: "reload"}

const (
	// maxRows is the number of rows in one change of the store.
	maxRows = 50
	// maxStoredAge is the age from which a stored loss is deleted: the longest time
	// that it counts.
	maxStoredAge = 2 * maxHold
)

// Run loads the stored records and shares what this host knows until the context
// ends.
func (g *Guard) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { g.writeStore(ctx) })
	loaded := g.FirstStart
	for ctx.Err() == nil {
		if !loaded {
			loaded = g.load()
		}
		g.repeat()
		g.book.Forget(g.Clock.Now())
		select {
		case <-ctx.Done():
		case <-g.Clock.After(tickInterval):
		}
	}
	loops.Wait()
}

// load merges the stored records; false when the store can't be read.
func (g *Guard) load() bool {
	rows, err := g.Store.Suspects()
	if err != nil {
		g.Logger.Info("stored records of requests that end targets can't be read; trying again", zap.Error(err))
		return false
	}
	now := g.Clock.Now()
	var outdated []string
	malformed := map[string]error{}
	for key, value := range rows {
		r, err := decodeRow(now, key, value)
		if err != nil {
			malformed[key] = err
			continue
		}
		if now.Sub(r.lastLoss()) > maxStoredAge {
			outdated = append(outdated, key)
			continue
		}
		if merged, changed := g.book.Merge(now, r); changed && merged.suspect() {
			g.Logger.Info("loaded from the store that targets ended under requests with the same content", zap.String("content", r.Content.key()),
				zap.Int("targets", len(merged.Losses)), zap.Bool("refused", merged.refused()))
		}
	}
	for _, keys := range lo.Chunk(outdated, maxRows) {
		g.write(storeWrite{deletes: keys})
	}
	g.logMalformed(malformed)
	return true
}

// maxMalformedLogs bounds the lines about single malformed rows after one reading.
const maxMalformedLogs = 3

// logMalformed logs the malformed rows of a reading that the last one did not have.
func (g *Guard) logMalformed(malformed map[string]error) {
	added := lo.Filter(lo.Keys(malformed), func(key string, _ int) bool { return g.malformed[key] == nil })
	g.malformed = malformed
	slices.Sort(added)
	for _, key := range added[:min(len(added), maxMalformedLogs)] {
		g.Logger.Warn("stored end of a target under a request is malformed and left out", zap.String("key", key), zap.Error(malformed[key]))
	}
	if len(added) > maxMalformedLogs {
		g.Logger.Warn("more stored ends of targets are malformed than are logged; all are left out", zap.Int("rows", len(added)))
	}
}

// repeat tells all hosts of the suspects again, and reads those that others stored,
// if this is the host to do so. Hosts that were not listed the last time are told at
// once: notices have passed them by.
func (g *Guard) repeat() {
	now, added := g.Clock.Now(), g.addedHosts()
	recent := lo.Filter(g.book.Suspects(now), func(r Record, _ int) bool { return now.Sub(r.lastLoss()) < repeatFor })
	if len(recent) == 0 || g.Roster.Rank(now, reloadTask)[0].Name != g.Roster.Self().Name {
		return
	}
	hosts := added
	if now.Sub(g.repeatedAt) >= repeatInterval {
		g.repeatedAt, hosts = now, g.Roster.Others()
		g.load()
	}
	if len(hosts) == 0 {
		return
	}
	for _, r := range g.book.Suspects(now)[:min(len(recent), maxRepeated)] {
		g.tell(r, hosts)
	}
}

// addedHosts returns the other hosts that were not listed at the last call.
func (g *Guard) addedHosts() []roster.Host {
	others := g.Roster.Others()
	added, _ := lo.Difference(others, g.listedHosts)
	g.listedHosts = others
	return added
}

// write queues a change of the store.
func (g *Guard) write(w storeWrite) {
	select {
	case g.writes <- w:
	default:
		g.Logger.Warn("too many records of requests that end targets wait for the store; one is not stored", zap.Int("rows", len(w.rows)+len(w.deletes)))
	}
}

// writeStore makes the queued changes of the store, each until it succeeds or a few
// tries have failed.
func (g *Guard) writeStore(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case w := <-g.writes:
			g.writeRow(ctx, w)
		}
	}
}

const (
	// writeTries is the number of times that a write is tried, writePause the time
	// between two tries.
	writeTries = 20
	writePause = 500 * time.Millisecond
)

func (g *Guard) writeRow(ctx context.Context, w storeWrite) {
	var err error
	for range writeTries {
		if len(w.rows) > 0 {
			err = g.Store.SaveSuspects(w.rows)
		} else {
			err = g.Store.DeleteSuspects(w.deletes)
		}
		if err == nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-g.Clock.After(writePause):
		}
	}
	g.Logger.Warn("record of a request that ends targets was not stored; a restart of all hosts forgets it", zap.Int("rows", len(w.rows)+len(w.deletes)), zap.Error(err))
}

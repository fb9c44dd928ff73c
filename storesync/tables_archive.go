package storesync

import (
	"bytes"
	"compress/gzip"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/chestnutfield/chestnutfield/table"
)

const (
	// maxTablesSteps is the number of versions back from which this host can send other
	// hosts the changes alone.
	maxTablesSteps = 16
	// maxChangedShare is the share of all entries above which the tables are sent whole.
	maxChangedShare = 0.5
	// encodedTablesIdle is how long the encoded tables are kept after they were last
	// sent: most hosts want them within seconds of a change.
	encodedTablesIdle = 30 * time.Second
)

// tablesArchive holds what other hosts need to get from their version of the tables to
// that of this host: the encoded tables, or the names of the entries that changed since.
// It is safe for concurrent use.
type tablesArchive struct {
	mu sync.Mutex
	// tables are those that were last in force here, digest their digest.
	tables *table.Tables
	digest uint64
	// steps lead to tables from the versions before, oldest first.
	steps []tablesStep
	// whole are the encoded tables, nil until a host needs them, usedAt when one last did.
	whole  *wholeTables
	usedAt time.Time
}

// tablesStep is a change from tables with the digest base to the next.
type tablesStep struct {
	base  uint64
	names table.Names
}

// wholeTables are encoded tables as a gzip member of a content, which all contents with
// them share, and their sizes before and after table.EncodeTransfer.
type wholeTables struct {
	member             []byte
	plainBytes, packed int
}

// tablesEncoding is what a host needs to get to tables: nothing, changes or the whole.
type tablesEncoding struct {
	tables  *table.Tables
	changes []byte
	whole   *wholeTables
}

// refresh takes in the tables in force and returns them with their digest. changed are
// the entries that differ from base, nil if unknown.
func (a *tablesArchive) refresh(inForce func() *table.Tables, base *table.Tables, changed *table.Names) (*table.Tables, uint64, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t, before := inForce(), a.tables
	if t == before {
		return t, a.digest, nil
	}
	a.tables, a.whole = t, nil
	if before != nil && before.SameRoutes(t) {
		return t, a.digest, nil
	}
	if changed != nil && (base == nil || before == nil || !before.SameRoutes(base)) {
		changed = nil
	}
	err := a.addStep(before, t, changed)
	if err != nil {
		a.digest, a.steps = 0, nil
	}
	return t, a.digest, err
}

// addStep records the step from one version to the next. The caller holds a.mu.
func (a *tablesArchive) addStep(before, t *table.Tables, changed *table.Names) (err error) {
	base := a.digest
	if before == nil || before.Version == 0 || base == 0 {
		a.steps = nil
		a.digest, err = table.Digest(t)
		return err
	}
	if changed == nil {
		names := table.ChangedNames(before, t)
		changed = &names
	}
	a.digest, err = table.UpdateDigest(base, before, t, *changed)
	a.steps = append(a.steps, tablesStep{base, *changed})
	a.steps = slices.Clone(a.steps[max(len(a.steps)-maxTablesSteps, 0):])
	return err
}

// encode returns what a host with the given versions needs to get to the tables of
// the last refresh. The tables whole are encoded once.
func (a *tablesArchive) encode(now time.Time, has peerVersions) (e tablesEncoding, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	e.tables = a.tables
	if has.tables == a.tables.Version || a.tables.Version == 0 {
		return e, nil
	}
	if e.changes, err = a.changesFrom(has.base); err != nil || e.changes != nil {
		return e, err
	}
	if a.usedAt = now; a.whole == nil {
		a.whole, err = encodeWhole(a.tables)
	}
	e.whole = a.whole
	return e, err
}

// changesFrom returns the encoded changes from tables with a digest; nil when they are
// unknown or too many. The caller holds a.mu.
func (a *tablesArchive) changesFrom(base uint64) ([]byte, error) {
	_, first, found := lo.FindIndexOf(a.steps, func(s tablesStep) bool { return s.base == base })
	if base == 0 || !found {
		return nil, nil
	}
	var names table.Names
	for _, step := range a.steps[first:] {
		names.Pools = append(names.Pools, step.names.Pools...)
		names.Routes = append(names.Routes, step.names.Routes...)
		names.Workspaces = append(names.Workspaces, step.names.Workspaces...)
	}
	total := len(a.tables.Pools) + len(a.tables.Routes) + len(a.tables.Workspaces)
	if float64(names.Count()) > maxChangedShare*float64(total) {
		return nil, nil
	}
	return table.EncodeChanges(table.NewChanges(base, names, a.tables))
}

// release drops the encoded tables if no host needed them lately.
func (a *tablesArchive) release(now time.Time) (released bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.whole == nil || now.Sub(a.usedAt) < encodedTablesIdle {
		return false
	}
	a.whole = nil
	return true
}

// archiveInterval is the time between the checks of maintainArchive.
const archiveInterval = time.Second

// maintainArchive keeps the archive up to date until the context ends, so that the next
// version is compared with the one in force, and drops what no host needs any more.
func (f *Follower) maintainArchive(ctx context.Context) {
	for ctx.Err() == nil {
		f.sleep(ctx, archiveInterval, nil)
		if _, _, err := f.archive.refresh(f.Current, nil, nil); err != nil {
			f.Logger.Error("digest of the tables in force failed; other hosts get them whole", zap.Error(err))
		}
		if f.archive.release(f.Clock.Now()) {
			f.mu.Lock()
			f.snapshotCache = snapshotCache{}
			f.mu.Unlock()
		}
	}
}

func encodeWhole(t *table.Tables) (*wholeTables, error) {
	data, plainBytes, err := table.EncodeTransfer(t)
	if err != nil {
		return nil, err
	}
	item, err := cbor.Marshal(data)
	if err != nil {
		return nil, errors.Wrap(err, "encode tables for a snapshot")
	}
	member, err := compress(item, gzip.NoCompression)
	return &wholeTables{member: member, plainBytes: plainBytes, packed: len(data)}, err
}

// compress returns a gzip member. Members may follow each other in one stream.
func compress(plain []byte, level int) ([]byte, error) {
	var packed bytes.Buffer
	z, err := gzip.NewWriterLevel(&packed, level)
	if err != nil {
		return nil, errors.Wrap(err, "compress snapshot content")
	}
	if _, err := z.Write(plain); err != nil {
		return nil, errors.Wrap(err, "compress snapshot content")
	}
	if err := z.Close(); err != nil {
		return nil, errors.Wrap(err, "compress snapshot content")
	}
	return packed.Bytes(), nil
}

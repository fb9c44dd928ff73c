package news

import (
	"net"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"github.com/samber/lo"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/chestnutfield/chestnutfield/internal/logging"
	"github.com/chestnutfield/chestnutfield/roster"
	"github.com/chestnutfield/chestnutfield/table"
)

const (
	// snapshotPath is where a host serves all that it knows.
	snapshotPath = "/news"
	// snapshotTimeout bounds the fetching of a snapshot: with a reading of the
	// store after it, a change is in force within two seconds.
	snapshotTimeout = 400 * time.Millisecond
	// snapshotDial bounds the opening of a connection to a host.
	snapshotDial = 100 * time.Millisecond
	// snapshotsAtOnce bounds the snapshots that a host sends at the same time;
	// who comes then reads the store.
	snapshotsAtOnce = 64
	// maxSnapshot bounds the bytes of a snapshot.
	maxSnapshot = 4 << 20
)

// snapshot is all that a host knows of the store: for a host that starts or
// lacks more than the messages between hosts carry. Ages are in milliseconds.
type snapshot struct {
	_           struct{} `cbor:",toarray"`
	Register    uint64
	RegisterAge int64
	Entries     []entry
	Tables      uint64
	TablesAge   int64
	// Packed are the tables as table.Encode packs them, empty for version 0.
	Packed []byte
	Hosts  []roster.Host
}

// packedTables are the tables of a version as they are sent.
type packedTables struct {
	version uint64
	packed  []byte
}

// Serve answers other hosts that ask for a snapshot until Shutdown.
func (f *Follower) Serve(ln net.Listener) error {
	return errors.Wrap(f.server.Serve(ln), "serve snapshots")
}

// Shutdown ends Serve.
func (f *Follower) Shutdown() error { return errors.WithStack(f.server.Shutdown()) }

func (f *Follower) newServer() *fasthttp.Server {
	return &fasthttp.Server{
		NoDefaultServerHeader: true, NoDefaultDate: true, Logger: logging.Quiet{},
		ReadTimeout: snapshotTimeout, WriteTimeout: 2 * snapshotTimeout, Concurrency: snapshotsAtOnce,
		Handler: func(ctx *fasthttp.RequestCtx) {
			if string(ctx.Path()) != snapshotPath {
				ctx.SetStatusCode(http.StatusNotFound)
				return
			}
			body, err := f.snapshot()
			if err != nil {
				f.Logger.Error("snapshot can't be made", zap.Error(err))
				ctx.SetStatusCode(http.StatusInternalServerError)
				return
			}
			ctx.SetBody(body)
		},
	}
}

// snapshot encodes all that this host knows.
func (f *Follower) snapshot() ([]byte, error) {
	tables, err := f.packTables()
	if err != nil {
		return nil, err
	}
	now := f.Clock.Now()
	f.mu.Lock()
	s := snapshot{
		Register: f.journal.version, RegisterAge: age(now, f.journal.at), Entries: mapWire(f.journal.list()),
		Tables: tables.version, TablesAge: age(now, f.tablesAt), Packed: tables.packed, Hosts: f.known,
	}
	f.mu.Unlock()
	body, err := cbor.Marshal(s)
	return body, errors.Wrap(err, "encode snapshot")
}

// packTables packs the tables in force, once a version.
func (f *Follower) packTables() (packedTables, error) {
	f.packing.Lock()
	defer f.packing.Unlock()
	t := f.Current()
	if t.Version == f.packed.version {
		return f.packed, nil
	}
	packed, err := table.Encode(t)
	if err != nil {
		return packedTables{}, err
	}
	f.packed = packedTables{t.Version, packed}
	return f.packed, nil
}

// fetch takes a snapshot of a reader; false when it does not answer or its
// news are old.
func (f *Follower) fetch(reader roster.Host) bool {
	asked := f.Clock.Now()
	s, err := f.fetchSnapshot(reader)
	if err != nil {
		f.reads.WithLabelValues("snapshot", "failed").Inc()
		f.Logger.Info("no snapshot of the reader", zap.String("reader", reader.Name), zap.Error(err))
		return false
	}
	t, err := s.tables()
	if err != nil {
		f.reads.WithLabelValues("snapshot", "unusable").Inc()
		f.Logger.Error("tables of a snapshot can't be used", zap.String("reader", reader.Name), zap.Error(err))
		return false
	}
	f.reads.WithLabelValues("snapshot", "ok").Inc()
	return f.takeSnapshot(asked, s, t)
}

func (f *Follower) fetchSnapshot(reader roster.Host) (s snapshot, err error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + reader.Addr.String() + snapshotPath)
	req.SetConnectionClose()
	if err := f.client.DoTimeout(req, resp, snapshotTimeout); err != nil {
		return s, errors.Wrap(err, "fetch snapshot")
	}
	if resp.StatusCode() != http.StatusOK {
		return s, errors.Errorf("fetch snapshot: status %d", resp.StatusCode())
	}
	return s, errors.Wrap(cbor.Unmarshal(resp.Body(), &s), "decode snapshot")
}

func newSnapshotClient() *fasthttp.Client {
	return &fasthttp.Client{
		Dial:                      func(addr string) (net.Conn, error) { return fasthttp.DialTimeout(addr, snapshotDial) },
		MaxResponseBodySize:       maxSnapshot,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
}

// tables unpacks the tables; nil for version 0.
func (s snapshot) tables() (*table.Tables, error) {
	if s.Tables == 0 {
		return nil, nil
	}
	t, err := table.Decode(s.Packed)
	if err != nil {
		return nil, err
	}
	if t.Version != s.Tables {
		return nil, errors.Errorf("tables of version %d where %d was expected", t.Version, s.Tables)
	}
	return t, nil
}

// takeSnapshot takes what a reader knew when it was asked; false when its
// register is old.
func (f *Follower) takeSnapshot(asked time.Time, s snapshot, t *table.Tables) bool {
	recent := millis(s.RegisterAge) <= registerOld
	if recent && len(s.Hosts) > 0 {
		f.takeHosts(s.Hosts)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if t != nil {
		f.adopt(t, asked.Add(-millis(s.TablesAge)))
	}
	if !recent {
		return false
	}
	readAt := asked.Add(-millis(s.RegisterAge))
	if s.Register >= f.journal.version {
		entries := lo.Map(s.Entries, fromWire)
		f.journal.take(s.Register, readAt, entries)
		f.takeChanges(f.book.Take(readAt, entries))
	}
	return true
}

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

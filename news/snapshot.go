package news

import (
	"bytes"
	"compress/gzip"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"github.com/samber/lo"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/chestnutfield/chestnutfield/internal/logging"
	"github.com/chestnutfield/chestnutfield/mesh"
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

// snapshot is all that an asker lacks: for a host that starts or lacks more
// than the messages between hosts carry. Ages are in milliseconds.
type snapshot struct {
	_                      struct{} `cbor:",toarray"`
	RegisterAge, TablesAge int64
	// Content is a packed content.
	Content []byte
}

// content is what a snapshot holds. It is the same for all who lack the same.
type content struct {
	_ struct{} `cbor:",toarray"`
	// Register is the version of the reading. Entries are those that changed
	// since the asker's version, and Dropped those that went; when Whole is true
	// they are all there are.
	Register uint64
	Whole    bool
	Entries  []entry
	Dropped  []string
	// Tables is the version in force; Packed are the tables as table.Encode packs
	// them, empty when the asker has them.
	Tables uint64
	Packed []byte
	// Hosts are the hosts known, empty when the asker knows the same.
	Hosts []roster.Host
}

// having is what an asker has. It is sent as the query of a request.
type having struct {
	register, tables, hosts uint64
}

const (
	registerQuery = "register"
	tablesQuery   = "tables"
	hostsQuery    = "hosts"
)

func (h having) query(args *fasthttp.Args) {
	args.Set(registerQuery, strconv.FormatUint(h.register, 10))
	args.Set(tablesQuery, strconv.FormatUint(h.tables, 10))
	args.Set(hostsQuery, strconv.FormatUint(h.hosts, 10))
}

// readHaving reads a query; what can't be read counts as nothing that the asker
// has.
func readHaving(args *fasthttp.Args) having {
	number := func(name string) uint64 {
		n, err := strconv.ParseUint(string(args.Peek(name)), 10, 64)
		if err != nil {
			return 0
		}
		return n
	}
	return having{register: number(registerQuery), tables: number(tablesQuery), hosts: number(hostsQuery)}
}

// packed keeps the contents that were packed at one version of the register:
// most hosts lack the same at the same time.
type packed struct {
	at       having
	contents map[having][]byte
}

// contentsKept bounds the contents that are kept.
const contentsKept = 32

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
			body, err := f.snapshot(readHaving(ctx.QueryArgs()))
			if err != nil {
				f.Logger.Error("snapshot can't be made", zap.Error(err))
				ctx.SetStatusCode(http.StatusInternalServerError)
				return
			}
			ctx.SetBody(body)
		},
	}
}

// snapshot encodes what this host knows beyond what an asker has.
func (f *Follower) snapshot(has having) ([]byte, error) {
	tables, err := f.packTables()
	if err != nil {
		return nil, err
	}
	now := f.Clock.Now()
	f.mu.Lock()
	s := snapshot{RegisterAge: age(now, f.journal.at), TablesAge: age(now, f.tablesAt)}
	at := having{f.journal.version, tables.version, f.hosts}
	if f.snapshots.contents == nil || f.snapshots.at != at {
		f.snapshots = packed{at: at, contents: map[having][]byte{}}
	}
	var lacks content
	kept, ok := f.snapshots.contents[has]
	if !ok {
		lacks = f.contentFor(has, tables)
	}
	f.mu.Unlock()
	if !ok {
		if kept, err = pack(lacks); err != nil {
			return nil, err
		}
		f.keep(at, has, kept)
	}
	s.Content = kept
	body, err := cbor.Marshal(s)
	return body, errors.Wrap(err, "encode snapshot")
}

// contentFor is what an asker lacks. The caller holds the lock.
func (f *Follower) contentFor(has having, tables packedTables) content {
	c := content{Register: f.journal.version, Tables: tables.version}
	changed, dropped, ok := f.journal.since(has.register)
	if ok {
		c.Entries, c.Dropped = mapWire(changed), dropped
	} else {
		c.Whole, c.Entries = true, mapWire(f.journal.list())
	}
	if has.tables != tables.version {
		c.Packed = tables.packed
	}
	if has.hosts != f.hosts {
		c.Hosts = f.known
	}
	return c
}

// keep keeps a packed content as long as nothing has changed.
func (f *Follower) keep(at, has having, body []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.snapshots.at == at && len(f.snapshots.contents) < contentsKept {
		f.snapshots.contents[has] = body
	}
}

// pack compresses a content: entries are much alike.
func pack(c content) ([]byte, error) {
	plain, err := cbor.Marshal(c)
	if err != nil {
		return nil, errors.Wrap(err, "encode content")
	}
	return fasthttp.AppendGzipBytesLevel(nil, plain, fasthttp.CompressBestSpeed), nil
}

// unpack reads a packed content.
func unpack(body []byte) (c content, err error) {
	z, err := gzip.NewReader(bytes.NewReader(body))
	if err != nil {
		return c, errors.Wrap(err, "unpack content")
	}
	plain, err := io.ReadAll(io.LimitReader(z, maxSnapshot))
	if err != nil {
		return c, errors.Wrap(err, "unpack content")
	}
	return c, errors.Wrap(cbor.Unmarshal(plain, &c), "decode content")
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
	f.mu.Lock()
	has := having{f.journal.version, f.Current().Version, f.hosts}
	f.mu.Unlock()
	s, c, err := f.fetchSnapshot(reader, has)
	if err != nil {
		f.reads.WithLabelValues("snapshot", "failed").Inc()
		f.Logger.Info("no snapshot of the reader", zap.String("reader", reader.Name), zap.Error(err))
		return false
	}
	t, err := c.tables()
	if err != nil {
		f.reads.WithLabelValues("snapshot", "unusable").Inc()
		f.Logger.Error("tables of a snapshot can't be used", zap.String("reader", reader.Name), zap.Error(err))
		return false
	}
	f.reads.WithLabelValues("snapshot", "ok").Inc()
	return f.takeSnapshot(asked, has, s, c, t)
}

func (f *Follower) fetchSnapshot(reader roster.Host, has having) (s snapshot, c content, err error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + reader.Addr.String() + snapshotPath)
	has.query(req.URI().QueryArgs())
	req.SetConnectionClose()
	if err := f.client.DoTimeout(req, resp, snapshotTimeout); err != nil {
		return s, c, errors.Wrap(err, "fetch snapshot")
	}
	if resp.StatusCode() != http.StatusOK {
		return s, c, errors.Errorf("fetch snapshot: status %d", resp.StatusCode())
	}
	if err := cbor.Unmarshal(resp.Body(), &s); err != nil {
		return s, c, errors.Wrap(err, "decode snapshot")
	}
	c, err = unpack(s.Content)
	return s, c, err
}

func newSnapshotClient() *fasthttp.Client {
	return &fasthttp.Client{
		Dial:                      func(addr string) (net.Conn, error) { return fasthttp.DialTimeout(addr, snapshotDial) },
		MaxResponseBodySize:       maxSnapshot,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
}

// tables unpacks the tables; nil when the asker has them.
func (c content) tables() (*table.Tables, error) {
	if len(c.Packed) == 0 || c.Tables == 0 {
		return nil, nil
	}
	t, err := table.Decode(c.Packed)
	if err != nil {
		return nil, err
	}
	if t.Version != c.Tables {
		return nil, errors.Errorf("tables of version %d where %d was expected", t.Version, c.Tables)
	}
	return t, nil
}

// takeSnapshot takes what a reader knew when it was asked by who had something;
// false when its register is old.
func (f *Follower) takeSnapshot(asked time.Time, had having, s snapshot, c content, t *table.Tables) bool {
	recent := mesh.Millis(s.RegisterAge) <= registerOld
	if recent && len(c.Hosts) > 0 {
		f.takeHosts(c.Hosts)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	confirmed := asked.Add(-mesh.Millis(s.TablesAge))
	switch {
	case t != nil:
		f.adopt(t, confirmed)
	case c.Tables == f.Current().Version && confirmed.After(f.tablesAt):
		f.tablesAt = confirmed
	}
	if !recent {
		return false
	}
	readAt := asked.Add(-mesh.Millis(s.RegisterAge))
	entries := lo.Map(c.Entries, fromWire)
	switch {
	case c.Register < f.journal.version:
		// A reading of this host's own is newer.
		return true
	case c.Whole:
		f.journal.take(c.Register, readAt, entries)
	case had.register != f.journal.version:
		return false
	default:
		f.journal.apply(c.Register, readAt, entries, c.Dropped)
	}
	f.takeChanges(f.book.Take(readAt, f.journal.list()))
	return true
}

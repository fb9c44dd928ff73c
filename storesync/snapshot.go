package storesync

import (
	"bytes"
	"compress/gzip"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"github.com/samber/lo"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/chestnutfield/chestnutfield/hostmsg"
	"github.com/chestnutfield/chestnutfield/internal/logging"
	"github.com/chestnutfield/chestnutfield/roster"
	"github.com/chestnutfield/chestnutfield/table"
)

const (
	// snapshotPath is the path where a host serves its snapshot.
	snapshotPath = "/news"
	// snapshotTimeout bounds the fetching of a snapshot: if it times out and a
	// reading of the store follows, a change is still in force within two
	// seconds.
	snapshotTimeout = 400 * time.Millisecond
	// snapshotDialTimeout bounds connecting to a host.
	snapshotDialTimeout = 100 * time.Millisecond
	// maxConcurrentSnapshots bounds the snapshots that a host serves at the same
	// time; hosts that get none read the store.
	maxConcurrentSnapshots = 64
	// maxSnapshotBytes bounds a compressed snapshot, maxContentBytes its content:
	// 10,000 entries with the longest texts, some 2300 bytes each.
	maxSnapshotBytes = 4 << 20
	maxContentBytes  = 32 << 20
)

// errHostUnreachable means that no connection to a host was possible.
var errHostUnreachable = errors.New("host is unreachable")

// snapshot is everything that the requesting host lacks. It serves hosts that
// start or lack more than UDP messages can carry. Ages are in milliseconds.
type snapshot struct {
	_                      struct{} `cbor:",toarray"`
	RegistryAge, TablesAge int64
	// Content is a content, encoded as CBOR and compressed with gzip.
	Content []byte
}

// content is the part of a snapshot that is the same for all hosts with the
// same peerVersions.
type content struct {
	_ struct{} `cbor:",toarray"`
	// RegistryVersion is the version of the sender's last reading. Entries are
	// those that changed since the receiver's version, and Removed the IDs of
	// those that were deleted; when Whole is true, Entries is the whole registry.
	RegistryVersion uint64
	Whole           bool
	Entries         []entry
	Removed         []string
	// TablesVersion is the version in force; EncodedTables are the tables as
	// encoded by table.Encode, empty when the receiver has them.
	TablesVersion uint64
	EncodedTables []byte
	// Hosts is the host list, empty when the receiver has the same.
	Hosts []roster.Host
}

// peerVersions identifies the data that a host has. It is sent as the query of
// a snapshot request.
type peerVersions struct {
	registry, tables, hostsHash uint64
}

const (
	registryQuery = "register"
	tablesQuery   = "tables"
	hostsQuery    = "hosts"
)

func (v peerVersions) writeQuery(args *fasthttp.Args) {
	args.Set(registryQuery, strconv.FormatUint(v.registry, 10))
	args.Set(tablesQuery, strconv.FormatUint(v.tables, 10))
	args.Set(hostsQuery, strconv.FormatUint(v.hostsHash, 10))
}

// parseVersions parses a query; a missing or invalid number counts as 0, which
// means that the requesting host has nothing.
func parseVersions(args *fasthttp.Args) peerVersions {
	number := func(name string) uint64 {
		n, err := strconv.ParseUint(string(args.Peek(name)), 10, 64)
		if err != nil {
			return 0
		}
		return n
	}
	return peerVersions{registry: number(registryQuery), tables: number(tablesQuery), hostsHash: number(hostsQuery)}
}

// snapshotCache holds contents encoded for the current versions of this host's
// data, by the versions of the requesting host: at any time most hosts lack the
// same.
type snapshotCache struct {
	current  peerVersions
	tables   *table.Tables
	contents map[peerVersions][]byte
}

// maxCachedContents bounds the number of cached contents.
const maxCachedContents = 32

// encodedTables holds tables as encoded by table.Encode.
type encodedTables struct {
	tables  *table.Tables
	version uint64
	data    []byte
}

// Serve serves snapshots to other hosts until Shutdown.
func (f *Follower) Serve(ln net.Listener) error {
	return errors.Wrap(f.server.Serve(ln), "serve snapshots")
}

// Shutdown ends Serve.
func (f *Follower) Shutdown() error { return errors.WithStack(f.server.Shutdown()) }

func (f *Follower) newServer() *fasthttp.Server {
	return &fasthttp.Server{
		NoDefaultServerHeader: true, NoDefaultDate: true, Logger: logging.Discard{},
		ReadTimeout: snapshotTimeout, WriteTimeout: 2 * snapshotTimeout, Concurrency: maxConcurrentSnapshots,
		Handler: func(ctx *fasthttp.RequestCtx) {
			if string(ctx.Path()) != snapshotPath {
				ctx.SetStatusCode(http.StatusNotFound)
				return
			}
			body, err := f.snapshot(parseVersions(ctx.QueryArgs()))
			if err != nil {
				f.Logger.Error("encoding a snapshot failed; responding with status 500", zap.Error(err))
				ctx.SetStatusCode(http.StatusInternalServerError)
				return
			}
			ctx.SetBody(body)
		},
	}
}

// snapshot returns an encoded snapshot for a host that has the given versions.
func (f *Follower) snapshot(has peerVersions) ([]byte, error) {
	tables, err := f.encodeTables()
	if err != nil {
		return nil, err
	}
	now := f.Clock.Now()
	f.mu.Lock()
	s := snapshot{RegistryAge: age(now, f.registry.readAt), TablesAge: age(now, f.tablesConfirmedAt)}
	current := peerVersions{f.registry.version, tables.version, f.hostsHash}
	if f.snapshotCache.contents == nil || f.snapshotCache.current != current || f.snapshotCache.tables != tables.tables {
		f.snapshotCache = snapshotCache{current: current, tables: tables.tables, contents: map[peerVersions][]byte{}}
	}
	var missing content
	encoded, ok := f.snapshotCache.contents[has]
	if !ok {
		missing = f.missingContent(has, tables)
	}
	f.mu.Unlock()
	if !ok {
		if encoded, err = encodeContent(missing); err != nil {
			return nil, err
		}
		f.cacheContent(current, tables.tables, has, encoded)
	}
	s.Content = encoded
	body, err := cbor.Marshal(s)
	return body, errors.Wrap(err, "encode snapshot")
}

// missingContent returns the content for a host that has the given versions.
// The caller holds f.mu.
func (f *Follower) missingContent(has peerVersions, tables encodedTables) content {
	c := content{RegistryVersion: f.registry.version, TablesVersion: tables.version}
	changed, removed, ok := f.registry.since(has.registry)
	if ok {
		c.Entries, c.Removed = toWireAll(changed), removed
	} else {
		c.Whole, c.Entries = true, toWireAll(f.registry.list())
	}
	if has.tables != tables.version {
		c.EncodedTables = tables.data
	}
	if has.hostsHash != f.hostsHash {
		c.Hosts = f.knownHosts
	}
	return c
}

// cacheContent caches an encoded content, unless this host's data has changed
// since it was made.
func (f *Follower) cacheContent(current peerVersions, tables *table.Tables, has peerVersions, body []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.snapshotCache.current == current && f.snapshotCache.tables == tables && len(f.snapshotCache.contents) < maxCachedContents {
		f.snapshotCache.contents[has] = body
	}
}

// encodeContent encodes and compresses a content: entries resemble each other,
// so they compress well.
func encodeContent(c content) ([]byte, error) {
	plain, err := cbor.Marshal(c)
	if err != nil {
		return nil, errors.Wrap(err, "encode snapshot content")
	}
	var packed bytes.Buffer
	z, err := gzip.NewWriterLevel(&packed, gzip.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compress snapshot content")
	}
	if _, err := z.Write(plain); err != nil {
		return nil, errors.Wrap(err, "compress snapshot content")
	}
	err = z.Close()
	return packed.Bytes(), errors.Wrap(err, "compress snapshot content")
}

// decodeContent reverses encodeContent.
func decodeContent(body []byte) (c content, err error) {
	z, err := gzip.NewReader(bytes.NewReader(body))
	if err != nil {
		return c, errors.Wrap(err, "decompress snapshot content")
	}
	plain, err := io.ReadAll(io.LimitReader(z, maxContentBytes))
	if err != nil {
		return c, errors.Wrap(err, "decompress snapshot content")
	}
	return c, errors.Wrap(cbor.Unmarshal(plain, &c), "decode snapshot content")
}

// encodeTables returns the tables in force encoded, and encodes each only
// once.
func (f *Follower) encodeTables() (encodedTables, error) {
	f.encodeMu.Lock()
	defer f.encodeMu.Unlock()
	t := f.Current()
	if t == f.encodedTables.tables {
		return f.encodedTables, nil
	}
	data, err := table.Encode(t)
	if err != nil {
		return encodedTables{}, err
	}
	f.encodedTables = encodedTables{t, t.Version, data}
	return f.encodedTables, nil
}

// fetchSnapshot fetches a snapshot from a reader and applies it; false when the
// reader does not respond, the snapshot is invalid or stale, or this host's
// registry has changed meanwhile.
func (f *Follower) fetchSnapshot(reader roster.Host) bool {
	requestedAt := f.Clock.Now()
	f.mu.Lock()
	has := peerVersions{f.registry.version, f.Current().Version, f.hostsHash}
	f.mu.Unlock()
	body, err := f.fetchBody(reader.Addr, has)
	var s snapshot
	var c content
	if err == nil {
		s, c, err = decodeSnapshot(body)
	}
	if errors.Is(err, errHostUnreachable) && !f.hasRegistry() {
		// A host that starts has not yet found out which hosts are lost.
		f.skipReader(reader, "unreachable")
	}
	if err != nil {
		f.reads.WithLabelValues("snapshot", "failed").Inc()
		f.Logger.Info("fetching a snapshot from the reader failed; falling back to the store", zap.String("reader", reader.Name), zap.Error(err))
		return false
	}
	t, err := c.tables()
	if err != nil {
		f.reads.WithLabelValues("snapshot", "unusable").Inc()
		f.Logger.Error("tables in the reader's snapshot are invalid; falling back to the store", zap.String("reader", reader.Name), zap.Error(err))
		return false
	}
	f.reads.WithLabelValues("snapshot", "ok").Inc()
	return f.applySnapshot(requestedAt, has, s, c, t)
}

// requestSnapshot fetches an encoded snapshot from a host.
func (f *Follower) requestSnapshot(from netip.AddrPort, has peerVersions) ([]byte, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + from.String() + snapshotPath)
	has.writeQuery(req.URI().QueryArgs())
	req.SetConnectionClose()
	if err := f.client.DoTimeout(req, resp, snapshotTimeout); err != nil {
		if dial := new(net.OpError); errors.Is(err, fasthttp.ErrDialTimeout) || errors.As(err, &dial) && dial.Op == "dial" {
			return nil, errors.Wrap(errHostUnreachable, err.Error())
		}
		return nil, errors.Wrap(err, "fetch snapshot")
	}
	if resp.StatusCode() != http.StatusOK {
		return nil, errors.Errorf("fetch snapshot: got status %d; expected 200", resp.StatusCode())
	}
	return bytes.Clone(resp.Body()), nil
}

// decodeSnapshot decodes a snapshot with its content.
func decodeSnapshot(body []byte) (s snapshot, c content, err error) {
	if err := cbor.Unmarshal(body, &s); err != nil {
		return s, c, errors.Wrap(err, "decode snapshot")
	}
	c, err = decodeContent(s.Content)
	return s, c, err
}

func newSnapshotClient() *fasthttp.Client {
	return &fasthttp.Client{
		Dial:                      func(addr string) (net.Conn, error) { return fasthttp.DialTimeout(addr, snapshotDialTimeout) },
		MaxResponseBodySize:       maxSnapshotBytes,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
}

// tables decodes the tables; nil when the content holds none.
func (c content) tables() (*table.Tables, error) {
	if len(c.EncodedTables) == 0 || c.TablesVersion == 0 {
		return nil, nil
	}
	t, err := table.Decode(c.EncodedTables)
	if err != nil {
		return nil, err
	}
	if t.Version != c.TablesVersion {
		return nil, errors.Errorf("snapshot holds tables of version %d; expected version %d", t.Version, c.TablesVersion)
	}
	return t, nil
}

// applySnapshot applies a reader's snapshot. requestedAt is when it was
// requested and had what this host had then; t are the decoded tables, nil when
// the snapshot holds none. It returns false when the reader's registry is stale
// or this host's has changed meanwhile.
func (f *Follower) applySnapshot(requestedAt time.Time, had peerVersions, s snapshot, c content, t *table.Tables) bool {
	recent := hostmsg.Milliseconds(s.RegistryAge) <= maxRegistryAge
	if recent && len(c.Hosts) > 0 {
		f.setHosts(c.Hosts)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	confirmed := requestedAt.Add(-hostmsg.Milliseconds(s.TablesAge))
	switch {
	case t != nil:
		f.install(t, confirmed)
	case c.TablesVersion == f.Current().Version && confirmed.After(f.tablesConfirmedAt):
		f.confirmTables(confirmed)
	}
	if !recent {
		return false
	}
	readAt := requestedAt.Add(-hostmsg.Milliseconds(s.RegistryAge))
	entries := lo.Map(c.Entries, fromWire)
	if c.RegistryVersion < f.registry.version {
		// This host has read a newer registry itself.
		return true
	}
	f.noteEra(readAt, c.RegistryVersion)
	switch {
	case c.Whole:
		f.registry.replace(c.RegistryVersion, readAt, entries)
	case had.registry != f.registry.version:
		return false
	default:
		f.registry.apply(c.RegistryVersion, readAt, entries, c.Removed)
	}
	f.applyChanges(f.tracker.ApplyListing(readAt, f.registry.list()))
	return true
}

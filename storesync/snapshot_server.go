package storesync

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/samber/lo"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/chestnutfield/chestnutfield/internal/logging"
	"github.com/chestnutfield/chestnutfield/internal/transfer"
	"github.com/chestnutfield/chestnutfield/table"
)

// snapshotCache holds contents encoded for the current versions of this host's
// data, by the versions of the requesting host: at any time most hosts lack the
// same. Contents with the tables whole share them.
type snapshotCache struct {
	current  peerVersions
	tables   *table.Tables
	contents map[peerVersions][][]byte
}

// maxCachedContents bounds the number of cached contents.
const maxCachedContents = 32

// Serve serves snapshots to other hosts until Shutdown.
func (f *Follower) Serve(ln net.Listener) error {
	return errors.Wrap(f.server.Serve(transfer.Listener{Listener: ln, Stall: snapshotStall}), "serve snapshots")
}

// Shutdown ends Serve.
func (f *Follower) Shutdown() error { return errors.WithStack(f.server.Shutdown()) }

func (f *Follower) newServer() *fasthttp.Server {
	large := make(chan struct{}, maxLargeSnapshots)
	return &fasthttp.Server{
		NoDefaultServerHeader: true, NoDefaultDate: true, Logger: logging.Discard{},
		GetOnly: true, MaxRequestBodySize: 1,
		ReadTimeout: snapshotTimeout, WriteTimeout: 2 * snapshotTimeout, Concurrency: maxConcurrentSnapshots,
		Handler: func(ctx *fasthttp.RequestCtx) {
			if string(ctx.Path()) != snapshotPath {
				ctx.SetStatusCode(http.StatusNotFound)
				return
			}
			parts, err := f.snapshotParts(parseVersions(ctx.QueryArgs()))
			if err != nil {
				f.transferMetrics.served.WithLabelValues("failed").Inc()
				f.Logger.Error("encoding a snapshot failed; responding with status 500", zap.Error(err))
				ctx.SetStatusCode(http.StatusInternalServerError)
				return
			}
			body := newPartsReader(parts)
			if body.size > largeSnapshotBytes {
				select {
				case large <- struct{}{}:
					body.done = func() { <-large }
				default:
					f.transferMetrics.served.WithLabelValues("busy").Inc()
					ctx.SetStatusCode(http.StatusServiceUnavailable)
					return
				}
			}
			f.transferMetrics.served.WithLabelValues("ok").Inc()
			f.transferMetrics.bytes.Add(float64(body.size))
			ctx.SetBodyStream(body, body.size)
		},
	}
}

// partsReader reads the parts of a snapshot, which several responses share.
type partsReader struct {
	io.Reader
	size int
	// done, if not nil, is called once when the response has ended.
	done func()
	end  sync.Once
}

func newPartsReader(parts [][]byte) *partsReader {
	readers := lo.Map(parts, func(part []byte, _ int) io.Reader { return bytes.NewReader(part) })
	return &partsReader{Reader: io.MultiReader(readers...), size: lo.SumBy(parts, func(part []byte) int { return len(part) })}
}

// Close implements io.Closer.
func (r *partsReader) Close() error {
	if r.done != nil {
		r.end.Do(r.done)
	}
	return nil
}

// snapshotParts returns the parts of an encoded snapshot for a host that has the given
// versions.
func (f *Follower) snapshotParts(has peerVersions) ([][]byte, error) {
	tables, _, err := f.archive.refresh(f.Current, nil, nil)
	if err != nil {
		return nil, err
	}
	now := f.Clock.Now()
	f.mu.Lock()
	s := snapshot{RegistryAge: age(now, f.registry.readAt), TablesAge: age(now, f.tablesConfirmedAt)}
	parts, ok := f.snapshotCache.contents[has]
	ok = ok && f.snapshotCache.current == f.ownVersions(tables) && f.snapshotCache.tables == tables
	f.mu.Unlock()
	if !ok {
		if parts, err = f.encodeMissing(now, has); err != nil {
			return nil, err
		}
	}
	return encodeSnapshot(s, parts)
}

// ownVersions returns the versions of this host's data with tables in force. The caller
// holds f.mu.
func (f *Follower) ownVersions(t *table.Tables) peerVersions {
	return peerVersions{registry: f.registry.version, tables: t.Version, hostsHash: f.hostsHash}
}

// encodeMissing encodes the content for a host that has the given versions.
func (f *Follower) encodeMissing(now time.Time, has peerVersions) ([][]byte, error) {
	tables, err := f.archive.encode(now, has)
	if err != nil {
		return nil, err
	}
	if tables.whole != nil {
		f.showTransferSize(tables)
	}
	f.mu.Lock()
	current, missing := f.ownVersions(tables.tables), f.missingContent(has, tables)
	f.mu.Unlock()
	parts, err := encodeContent(missing, tables.whole)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	c := &f.snapshotCache
	if c.contents == nil || c.current != current || c.tables != tables.tables {
		*c = snapshotCache{current: current, tables: tables.tables, contents: map[peerVersions][][]byte{}}
	}
	if len(c.contents) < maxCachedContents {
		c.contents[has] = parts
	}
	return parts, nil
}

// missingContent returns the content for a host that has the given versions, without
// tables that are sent whole. The caller holds f.mu.
func (f *Follower) missingContent(has peerVersions, tables tablesEncoding) content {
	c := content{RegistryVersion: f.registry.version, TablesVersion: tables.tables.Version, EncodedTables: tables.changes}
	changed, removed, ok := f.registry.since(has.registry)
	if ok {
		c.Entries, c.Removed = toWireAll(changed), removed
	} else {
		c.Whole, c.Entries = true, toWireAll(f.registry.list())
	}
	if has.hostsHash != f.hostsHash {
		c.Hosts = f.knownHosts
	}
	return c
}

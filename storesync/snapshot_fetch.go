package storesync

import (
	"bytes"
	"cmp"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"github.com/samber/lo"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/chestnutfield/chestnutfield/hostmsg"
	"github.com/chestnutfield/chestnutfield/http1"
	"github.com/chestnutfield/chestnutfield/internal/transfer"
	"github.com/chestnutfield/chestnutfield/roster"
	"github.com/chestnutfield/chestnutfield/table"
)

// fetchSnapshot fetches a snapshot from a reader and applies it; false when the
// reader does not respond, the snapshot is invalid or stale, or this host's
// registry has changed meanwhile.
func (f *Follower) fetchSnapshot(reader roster.Host) bool {
	base, digest, err := f.archive.refresh(f.Current, nil, nil)
	if err != nil {
		f.Logger.Error("digest of the tables in force failed; getting newer ones whole", zap.Error(err))
		digest = 0
	}
	f.mu.Lock()
	has := peerVersions{registry: f.registry.version, tables: base.Version, hostsHash: f.hostsHash, base: digest}
	f.mu.Unlock()
	applied := f.fetch(reader, has, base)
	f.seekNewerTables()
	return applied
}

// fetchRegistry fetches the registry from a reader as fetchSnapshot does, without the
// tables that the reader has: large ones would hold up the changes of the registry.
func (f *Follower) fetchRegistry(reader roster.Host) bool {
	f.mu.Lock()
	has := peerVersions{registry: f.registry.version, tables: cmp.Or(f.readerTables, f.Current().Version), hostsHash: f.hostsHash}
	f.mu.Unlock()
	return f.fetch(reader, has, f.Current())
}

// fetch fetches what this host lacks, which has the given versions and tables.
func (f *Follower) fetch(reader roster.Host, has peerVersions, base *table.Tables) bool {
	requestedAt := f.Clock.Now()
	body, err := f.fetchBody(reader.Addr, has)
	var s snapshot
	var c content
	if err == nil {
		s, c, err = decodeSnapshot(body)
	}
	if err != nil {
		f.noteFailedFetch(reader, err)
		return false
	}
	t, changed, err := c.tables(base, has.base)
	if err != nil {
		f.reads.WithLabelValues("snapshot", "unusable").Inc()
		f.Logger.Error("tables in the reader's snapshot are invalid; falling back to the store", zap.String("reader", reader.Name), zap.Error(err))
		return false
	}
	f.reads.WithLabelValues("snapshot", "ok").Inc()
	applied := f.applySnapshot(requestedAt, has, s, c, t)
	if changed != nil {
		if _, _, err := f.archive.refresh(f.Current, base, changed); err != nil {
			f.Logger.Error("digest of the tables in force failed; the next are sent whole", zap.Error(err))
		}
	}
	return applied
}

// noteFailedFetch counts and logs a failed fetch of a snapshot.
func (f *Follower) noteFailedFetch(reader roster.Host, err error) {
	if errors.Is(err, errHostUnreachable) && !f.hasRegistry() {
		// A host that starts has not yet found out which hosts are lost.
		f.skipReader(reader, "unreachable")
	}
	busy := errors.Is(err, errHostBusy)
	f.mu.Lock()
	if f.tablesWait.failures++; busy {
		f.tablesWait.answered(f.Clock.Now(), offerHolds)
	}
	f.mu.Unlock()
	if busy {
		f.reads.WithLabelValues("snapshot", "busy").Inc()
		f.Logger.Debug("host is busy serving snapshots; asking another one", zap.String("host", reader.Name))
		return
	}
	f.reads.WithLabelValues("snapshot", "failed").Inc()
	f.Logger.Info("fetching a snapshot from another host failed; trying others, then the store", zap.String("reader", reader.Name), zap.Error(err))
}

// requestSnapshot fetches an encoded snapshot from a host.
func (f *Follower) requestSnapshot(from netip.AddrPort, has peerVersions) ([]byte, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + from.String() + snapshotPath)
	has.writeQuery(req.URI().QueryArgs())
	req.SetConnectionClose()
	timeout := snapshotTimeout + time.Duration(len(f.Current().Routes))*snapshotTimePerRoute
	if err := f.client.DoTimeout(req, resp, timeout); err != nil {
		if dial := new(net.OpError); errors.Is(err, fasthttp.ErrDialTimeout) || errors.As(err, &dial) && dial.Op == "dial" {
			return nil, errors.Wrap(errHostUnreachable, err.Error())
		}
		return nil, errors.Wrap(err, "fetch snapshot")
	}
	if resp.StatusCode() == http.StatusServiceUnavailable {
		return nil, errHostBusy
	}
	if resp.StatusCode() != http.StatusOK {
		return nil, errors.Errorf("fetch snapshot: got status %d; expected 200", resp.StatusCode())
	}
	return bytes.Clone(resp.Body()), nil
}

// newSnapshotClient returns a client for snapshots. responses, which may be nil, records
// the responses that are not HTTP/1.1.
func newSnapshotClient(responses *http1.Monitor) *fasthttp.Client {
	return &fasthttp.Client{
		Dial: func(addr string) (net.Conn, error) {
			c, err := fasthttp.DialTimeout(addr, snapshotDialTimeout)
			if err != nil {
				return nil, err
			}
			bounded := transfer.NewConn(c, snapshotStall, nil).WithMaxBytes(maxSnapshotBytes + maxFramingBytes)
			return http1.NewConn(bounded, responses.Observer(http1.Snapshot, addr)), nil
		},
		MaxResponseBodySize:       maxSnapshotBytes,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
}

// tables decodes the tables; nil when the content holds none. base are those that this
// host had, with their digest. changed are the names of the entries that differ from
// base, nil if unknown.
func (c content) tables(base *table.Tables, digest uint64) (t *table.Tables, changed *table.Names, err error) {
	if len(c.EncodedTables) == 0 || c.TablesVersion == 0 {
		return nil, nil, nil
	}
	if table.IsChanges(c.EncodedTables) {
		changes, err := table.DecodeChanges(c.EncodedTables)
		if err != nil {
			return nil, nil, err
		}
		if digest == 0 || changes.Base != digest {
			return nil, nil, errors.Errorf("snapshot holds changes from tables with digest %x; expected %x", changes.Base, digest)
		}
		names := changes.Names()
		t, changed = changes.Apply(base), &names
	} else if t, err = table.DecodeTransfer(c.EncodedTables); err != nil {
		return nil, nil, err
	}
	if t.Version != c.TablesVersion {
		return nil, nil, errors.Errorf("snapshot holds tables of version %d; expected version %d", t.Version, c.TablesVersion)
	}
	return t, changed, nil
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
	if f.loadedAt.IsZero() {
		f.loadedAt = f.Clock.Now()
	}
	confirmed := requestedAt.Add(-hostmsg.Milliseconds(s.TablesAge))
	switch {
	case t != nil:
		f.install(t, confirmed)
		// Large tables were confirmed when they were requested; the next sync response
		// confirms them again.
		f.tablesWait.answered(f.Clock.Now(), noticeHolds)
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

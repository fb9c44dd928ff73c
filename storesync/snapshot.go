package storesync

import (
	"bytes"
	"compress/gzip"
	"encoding/binary"
	"io"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"github.com/samber/lo"
	"github.com/valyala/fasthttp"

	"github.com/chestnutfield/chestnutfield/roster"
)

const (
	// snapshotPath is the path where a host serves its snapshot.
	snapshotPath = "/news"
	// snapshotTimeout bounds the time to the response with a snapshot: if it times out
	// and a reading of the store follows, a change is still in force within two
	// seconds.
	snapshotTimeout = 400 * time.Millisecond
	// snapshotTimePerRoute is added to snapshotTimeout for each route: a host of 0.16 of a
	// core encodes tables of 10,000 routes for others in 0.4 s.
	snapshotTimePerRoute = 50 * time.Microsecond
	// snapshotStall is the longest time without progress of a snapshot on its way. Tables
	// of 10,000 routes take 0.4 s over a link of 10 Mbit/s that carries nothing else.
	snapshotStall = 2 * time.Second
	// snapshotDialTimeout bounds connecting to a host.
	snapshotDialTimeout = 100 * time.Millisecond
	// maxConcurrentSnapshots bounds the snapshots that a host serves at the same
	// time; hosts that get none read the store.
	maxConcurrentSnapshots = 64
	// maxSnapshotBytes bounds a compressed snapshot, maxContentBytes its content, to
	// protect the memory of the receiver: 10,000 entries with the longest texts take some
	// 2300 bytes each, and tables, compressed in both, 1 MB with 20,000 routes.
	maxSnapshotBytes = 32 << 20
	// maxFramingBytes is what the header, chunk sizes and trailers of a response may add.
	maxFramingBytes = 4 << 20
	maxContentBytes = 64 << 20
	// largeSnapshotBytes is the size from which snapshots are served maxLargeSnapshots at
	// a time: the first are sooner done than if all share the link, and serve others.
	largeSnapshotBytes = 64 << 10
	maxLargeSnapshots  = 4
)

// errSnapshotTooLarge means that the content of a snapshot exceeds maxContentBytes.
var errSnapshotTooLarge = errors.New("content of a snapshot exceeds 67108864 bytes")

// errHostBusy means that a host serves as many snapshots as it can.
var errHostBusy = errors.New("host is busy serving snapshots")

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
	// TablesVersion is the version in force; EncodedTables are the tables as encoded by
	// table.EncodeTransfer, or table.EncodeChanges if the receiver has the digest of its
	// own in peerVersions, empty when the receiver has them.
	TablesVersion uint64
	EncodedTables []byte
	// Hosts is the host list, empty when the receiver has the same.
	Hosts []roster.Host
}

// peerVersions identifies the data that a host has. It is sent as the query of
// a snapshot request.
type peerVersions struct {
	registry, tables, hostsHash uint64
	// base is the digest of its tables, 0 if unknown. Hosts of older releases don't send
	// it and get the tables whole.
	base uint64
}

const (
	registryQuery = "register"
	tablesQuery   = "tables"
	hostsQuery    = "hosts"
	baseQuery     = "base"
)

func (v peerVersions) writeQuery(args *fasthttp.Args) {
	args.Set(registryQuery, strconv.FormatUint(v.registry, 10))
	args.Set(tablesQuery, strconv.FormatUint(v.tables, 10))
	args.Set(hostsQuery, strconv.FormatUint(v.hostsHash, 10))
	args.Set(baseQuery, strconv.FormatUint(v.base, 10))
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
	return peerVersions{registry: number(registryQuery), tables: number(tablesQuery), hostsHash: number(hostsQuery), base: number(baseQuery)}
}

// encodeContent encodes and compresses a content: entries resemble each other, so they
// compress well. The result is in parts, of which tables whole, if not nil, are the
// second.
func encodeContent(c content, whole *wholeTables) ([][]byte, error) {
	fields := []any{c.RegistryVersion, c.Whole, c.Entries, c.Removed, c.TablesVersion, c.EncodedTables, c.Hosts}
	const tablesField = 5
	plain := []byte{cborArray + byte(len(fields))}
	var parts [][]byte
	for i, field := range fields {
		if whole != nil && i == tablesField {
			first, err := compress(plain, gzip.BestSpeed)
			if err != nil {
				return nil, err
			}
			plain, parts = nil, [][]byte{first, whole.member}
			continue
		}
		item, err := cbor.Marshal(field)
		if err != nil {
			return nil, errors.Wrap(err, "encode snapshot content")
		}
		plain = append(plain, item...)
	}
	last, err := compress(plain, gzip.BestSpeed)
	return append(parts, last), err
}

// encodeSnapshot returns the parts of an encoded snapshot with a content in parts.
func encodeSnapshot(s snapshot, content [][]byte) ([][]byte, error) {
	s.Content = []byte{}
	head, err := cbor.Marshal(s)
	if err != nil {
		return nil, errors.Wrap(err, "encode snapshot")
	}
	// The head of the empty byte string is its last byte.
	head = append(head[:len(head)-1], cborBytes32)
	head = binary.BigEndian.AppendUint32(head, uint32(lo.SumBy(content, func(b []byte) int { return len(b) })))
	return append([][]byte{head}, content...), nil
}

const (
	// cborArray is the first byte of an array, to which its length below 24 is added;
	// cborBytes32 that of a byte string whose length follows in 32 bits.
	cborArray   = 0x80
	cborBytes32 = 0x5a
)

// decodeContent reverses encodeContent.
func decodeContent(body []byte) (c content, err error) {
	z, err := gzip.NewReader(bytes.NewReader(body))
	if err != nil {
		return c, errors.Wrap(err, "decompress snapshot content")
	}
	plain, err := io.ReadAll(io.LimitReader(z, maxContentBytes+1))
	if err != nil {
		return c, errors.Wrap(err, "decompress snapshot content")
	}
	if len(plain) > maxContentBytes {
		return c, errSnapshotTooLarge
	}
	return c, errors.Wrap(cbor.Unmarshal(plain, &c), "decode snapshot content")
}

// decodeSnapshot decodes a snapshot with its content.
func decodeSnapshot(body []byte) (s snapshot, c content, err error) {
	if err := cbor.Unmarshal(body, &s); err != nil {
		return s, c, errors.Wrap(err, "decode snapshot")
	}
	c, err = decodeContent(s.Content)
	return s, c, err
}

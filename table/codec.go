package table

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"maps"

	"github.com/pkg/errors"
)

// Bounds on the size of the encoded and the decoded form.
const (
	// MaxEncodedBytes bounds the gzip-compressed form, which must fit in one
	// row of the table service.
	MaxEncodedBytes = 300 << 10
	// MaxDecodedBytes bounds the JSON form that Decode decompresses.
	MaxDecodedBytes = 8 << 20
)

// Encode returns the form of a version for the table service, peers and the
// object store: gzip-compressed JSON. It returns an error when the JSON exceeds
// MaxDecodedBytes, which Decode would refuse, or the compressed form exceeds
// MaxEncodedBytes.
func Encode(t *Tables) ([]byte, error) {
	plain, err := json.Marshal(t)
	if err != nil {
		return nil, errors.Wrap(err, "encode tables")
	}
	if len(plain) > MaxDecodedBytes {
		return nil, errors.Errorf("tables take %d bytes, at most %d are read", len(plain), MaxDecodedBytes)
	}
	var b bytes.Buffer
	z, err := gzip.NewWriterLevel(&b, gzip.BestCompression)
	if err != nil {
		return nil, errors.Wrap(err, "gzip")
	}
	if _, err := z.Write(plain); err != nil {
		return nil, errors.Wrap(err, "gzip")
	}
	if err := z.Close(); err != nil {
		return nil, errors.Wrap(err, "gzip")
	}
	if b.Len() > MaxEncodedBytes {
		return nil, errors.Errorf("tables take %d bytes packed, at most %d fit", b.Len(), MaxEncodedBytes)
	}
	return b.Bytes(), nil
}

// Decode decodes the output of Encode. It returns an error when data exceeds
// MaxEncodedBytes or its JSON exceeds MaxDecodedBytes. Unknown fields are
// ignored, so that tables written by a newer release can be read.
func Decode(data []byte) (*Tables, error) {
	if len(data) > MaxEncodedBytes {
		return nil, errors.Errorf("packed tables of %d bytes, at most %d", len(data), MaxEncodedBytes)
	}
	z, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, errors.Wrap(err, "gunzip tables")
	}
	plain, err := io.ReadAll(io.LimitReader(z, MaxDecodedBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "gunzip tables")
	}
	if len(plain) > MaxDecodedBytes {
		return nil, errors.Errorf("unpacked tables exceed %d bytes", MaxDecodedBytes)
	}
	t := Empty()
	if err := json.Unmarshal(plain, t); err != nil {
		return nil, errors.Wrap(err, "decode tables")
	}
	if t.Pools == nil || t.Routes == nil {
		return nil, errors.New("decode tables: expected pools and routes")
	}
	return t, nil
}

// Empty returns tables of version 0, without pools and routes.
func Empty() *Tables {
	return &Tables{Pools: map[string]Pool{}, Routes: map[string]Route{}}
}

// Clone returns a copy whose maps can be changed without changing t. The slices
// inside the pools and routes are shared with t: replace a pool or route as a
// whole instead of modifying them.
func (t *Tables) Clone() *Tables {
	out := &Tables{Version: t.Version, Incomplete: t.Incomplete, Limits: t.Limits, Workspaces: maps.Clone(t.Workspaces), Evacuated: t.Evacuated, EvacuatedVersion: t.EvacuatedVersion, Pools: make(map[string]Pool, len(t.Pools)), Routes: make(map[string]Route, len(t.Routes))}
	for k, v := range t.Pools {
		out.Pools[k] = v
	}
	for k, v := range t.Routes {
		out.Routes[k] = v
	}
	return out
}

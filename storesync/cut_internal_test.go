package storesync

import (
	"testing"

	"github.com/jonboulle/clockwork"

	"github.com/chestnutfield/chestnutfield/internal/cuttest"
	"github.com/chestnutfield/chestnutfield/table"
)

// emptyFollower returns a follower that knows nothing, and its snapshot.
func emptyFollower(t *testing.T) (*Follower, []byte) {
	f := &Follower{Options: Options{Clock: clockwork.NewFakeClock()}, registry: newRegistryState(), client: newSnapshotClient(nil)}
	f.tables.Store(table.Empty())
	body, err := f.snapshot(peerVersions{})
	if err != nil {
		t.Fatal(err)
	}
	return f, body
}

// Guards against a snapshot that is applied in part because the response broke off.
func TestCutSnapshotIsNoSnapshot(t *testing.T) {
	f, body := emptyFollower(t)
	s := cuttest.Start(t)
	s.Strict = true
	s.Check(t, string(body), func() (any, error) {
		got, err := f.requestSnapshot(s.Addr, peerVersions{})
		if err != nil {
			return nil, err
		}
		_, c, err := decodeSnapshot(got)
		return c, err
	})
}

// Guards against a snapshot that is read from bytes that are no HTTP/1.1 response.
func TestMalformedResponseIsNoSnapshot(t *testing.T) {
	f, body := emptyFollower(t)
	s := cuttest.Start(t)
	s.CheckMalformed(t, string(body), func() (any, error) { return f.requestSnapshot(s.Addr, peerVersions{}) })
}

package storesync

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/jonboulle/clockwork"
	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/chestnutfield/chestnutfield/hostmsg"
	"github.com/chestnutfield/chestnutfield/registry"
	"github.com/chestnutfield/chestnutfield/roster"
	"github.com/chestnutfield/chestnutfield/table"
)

// FuzzPeerData checks that no snapshot and no response to a sync request makes a host
// crash, and that what a host takes over it can pass on.
func FuzzPeerData(f *testing.F) {
	sent := content{RegistryVersion: 7, Whole: true, Entries: []entry{{ID: "t", Service: "s", Slots: 1}}, Hosts: []roster.Host{{Name: "h"}}}
	f.Add(lo.Must(cbor.Marshal(sent)))
	f.Add(lo.Must(cbor.Marshal(syncResponse{RegistryVersion: 7, ChangesIncluded: true, Parts: 1, Changed: sent.Entries, Removed: []string{"t"}})))
	node := lo.Must(hostmsg.New(zap.NewNop(), nil))
	f.Fuzz(func(t *testing.T, data []byte) {
		clock := clockwork.NewFakeClockAt(time.Unix(1_700_000_000, 0))
		h, err := New(Options{
			Node: node, Roster: roster.New(roster.Host{Name: "self"}), OnChange: func(map[string][]registry.Target, ...*table.Tables) {},
			Clock: clock, Logger: zap.NewNop(),
		})
		if err != nil {
			t.Fatal(err)
		}
		var c content
		if cbor.Unmarshal(data, &c) == nil {
			if tables, err := c.tables(); err == nil {
				h.applySnapshot(clock.Now(), peerVersions{}, snapshot{}, c, tables)
			}
		}
		var r syncResponse
		if cbor.Unmarshal(data, &r) == nil {
			h.applyResponse(roster.Host{Name: "reader"}, clock.Now(), r)
		}
		h.changesSince(0)
		body, err := h.snapshot(peerVersions{})
		if err == nil {
			_, _, err = decodeSnapshot(body)
		}
		if err != nil {
			t.Error(err)
		}
	})
}

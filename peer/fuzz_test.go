package peer

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/chestnutfield/chestnutfield/membership"
	"github.com/chestnutfield/chestnutfield/peer/peerpb"
)

// FuzzMessage checks that any bytes from a peer are either rejected or decode
// to values within the limits that encode and decode again without loss.
func FuzzMessage(f *testing.F) {
	sampleWire, err := proto.Marshal((&message{from: "entry-1", version: 3}).encode())
	if err != nil {
		f.Fatal(err)
	}
	full := sample()
	fullWire, err := proto.Marshal(full.encode())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(sampleWire)
	f.Add(fullWire)
	f.Add([]byte{0x0a, 0x00})
	f.Fuzz(func(t *testing.T, raw []byte) {
		var in peerpb.SyncMessage
		if proto.Unmarshal(raw, &in) != nil {
			return
		}
		m, err := decode(&in)
		if err != nil {
			return
		}
		checkBounds(t, m)
		again, err := decode(m.encode())
		if err != nil {
			t.Fatalf("a decoded message is rejected after encoding it again: %v", err)
		}
		if len(again.loads) != len(m.loads) || len(again.members) != len(m.members) || len(again.drains) != len(m.drains) {
			t.Fatal("entries lost by encoding and decoding again")
		}
	})
}

func checkBounds(t *testing.T, m message) {
	if len(m.from) == 0 || len(m.from) > maxNameBytes || m.loadsWanted > maxEntries {
		t.Fatalf("name of %d bytes, %d loads wanted", len(m.from), m.loadsWanted)
	}
	for _, e := range m.members {
		if e.Name == "" || !e.Addr.IsValid() || e.State < membership.Live || e.State > membership.Gone {
			t.Fatalf("member %+v", e)
		}
	}
	for _, l := range m.loads {
		if l.InFlight < 0 || l.InFlight > maxInFlight || l.Reported < -1 || l.Reported > maxInFlight {
			t.Fatalf("load %+v", l)
		}
		if l.Latency < 0 || l.Latency > maxLatency || l.Age < 0 || l.Age > maxLoadAge {
			t.Fatalf("load %+v", l)
		}
	}
	for _, d := range m.drains {
		if d.age < 0 || d.age > maxDrainAge {
			t.Fatalf("drain %+v", d)
		}
	}
}

package storesync

import (
	"fmt"
	"net/netip"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/registry"
	"github.com/chestnutfield/chestnutfield/roster"
	"github.com/chestnutfield/chestnutfield/table"
)

// The stand-in for the fuel card deployment: six strong hosts, all others weak, and
// three failure domains.
const (
	targetsPerHost = 10
	strongHosts    = 6
	// weakLink is what a weak host sends and receives, in bytes a second.
	weakLink     = 1.25e6
	storeLatency = 20 * time.Millisecond
	// entryBytes is the size of an entry as read from the store, heartbeatInterval the
	// time between two writes of it.
	entryBytes        = 250
	heartbeatInterval = 1500 * time.Millisecond
)

// scaleFleet is a deployment in memory under the virtual time of testing/synctest.
type scaleFleet struct {
	MemoryNetwork
	hosts []*scaleHost
	// listed, leaving and tables are what the store holds.
	listed  map[string]roster.Host
	leaving map[int]bool
	targets int
	// others are further entries of the registry.
	others []registry.Entry
	// firstStart is Options.FirstStart of the hosts that start.
	firstStart bool
	tables     *table.Tables
	version    uint64
	changed    chan struct{}
}

// scaleHost is a host with what it did; counters are guarded by scaleFleet.mu.
type scaleHost struct {
	*MemoryHost
	fleet *scaleFleet
	// cut is true while the host can't reach the store.
	cut bool
	// reads are the moments of readings of the registry.
	reads     []time.Time
	readBytes int
	known     map[string]bool
	// updates counts calls of OnChange.
	updates int
}

func newScaleFleet(hosts int) *scaleFleet {
	fl := &scaleFleet{
		listed: map[string]roster.Host{}, leaving: map[int]bool{}, targets: hosts * targetsPerHost, changed: make(chan struct{}),
		tables: &table.Tables{Version: 1, Pools: map[string]table.Pool{"p": {Name: "p", Service: "s"}}, Routes: map[string]table.Route{}}, version: 1,
	}
	for i := range hosts {
		strong := i < strongHosts
		h := fl.AddHost(roster.Host{Name: fmt.Sprintf("host-%03d", i), Strength: lo.Ternary(strong, 0.8, 0.16), FailureDomain: fmt.Sprint("zone-", i%3)})
		h.link = lo.Ternary(strong, strongLink, weakLink)
		fl.hosts = append(fl.hosts, &scaleHost{MemoryHost: h, fleet: fl})
	}
	return fl
}

// start starts hosts within 0.3 s of each other.
func (fl *scaleFleet) start(hosts ...*scaleHost) {
	for i, h := range hosts {
		time.AfterFunc(300*time.Millisecond*time.Duration(i)/time.Duration(len(hosts)), h.start)
	}
}

func (h *scaleHost) start() {
	h.Start(Options{Source: scaleSource{h}, Roster: roster.New(h.self), OnChange: h.onChange, FirstStart: h.fleet.firstStart})
}

func (fl *scaleFleet) kill(hosts ...*scaleHost) {
	for _, h := range hosts {
		fl.mu.Lock()
		h.known = nil
		fl.mu.Unlock()
		h.Stop()
	}
}

func (h *scaleHost) onChange(targets map[string][]registry.Target, _ ...*table.Tables) {
	known := lo.SliceToMap(targets["s"], func(t registry.Target) (string, bool) { return t.ID, true })
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	h.known = known
	h.updates++
}

// scaleSource is the store as one host reaches it.
type scaleSource struct{ *scaleHost }

// targetID returns the name of a target, of which a part is random as in deployments.
func targetID(i int) string {
	return fmt.Sprintf("target-%08x", xxhash.Sum64String(strconv.Itoa(i))>>32)
}

func (s scaleSource) Registry() (RegistryReading, error) {
	fl := s.fleet
	fl.mu.Lock()
	now := time.Now()
	if s.cut {
		fl.mu.Unlock()
		time.Sleep(storeLatency)
		return RegistryReading{}, errStoreDown
	}
	s.reads = append(s.reads, now)
	r := RegistryReading{Version: uint64(now.UnixMilli()), Entries: make([]registry.Entry, fl.targets)}
	for i := range r.Entries {
		r.Entries[i] = registry.Entry{
			Instance: registry.Instance{ID: targetID(i), StartedMillis: 1796000000000 + int64(i)*7919%100000}, Service: "s", FailureDomain: fmt.Sprint("zone-", i%3), Slots: 6,
			Addr:    netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 2, byte(i / 250), byte(i%250 + 1)}), 80),
			Leaving: fl.leaving[i], Sequence: now.UnixMilli() / heartbeatInterval.Milliseconds(),
		}
	}
	r.Entries = append(r.Entries, fl.others...)
	bytes := entryBytes * fl.targets
	s.readBytes += bytes
	took := s.transfer(nil, bytes)
	fl.mu.Unlock()
	time.Sleep(storeLatency + took)
	return r, nil
}

func (s scaleSource) Tables(after Cursor, wait time.Duration) (TablesReading, error) {
	time.Sleep(storeLatency)
	timeout := time.After(wait)
	for {
		s.fleet.mu.Lock()
		r, changed := TablesReading{Cursor: Cursor(s.fleet.version)}, s.fleet.changed
		if after < r.Cursor {
			r.Tables = s.fleet.tables
		}
		s.fleet.mu.Unlock()
		if r.Tables != nil {
			return r, nil
		}
		select {
		case <-changed:
		case <-timeout:
			return r, nil
		}
	}
}

func (s scaleSource) Announce(hosts ...roster.Host) error {
	time.Sleep(storeLatency)
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	for _, h := range hosts {
		s.fleet.listed[h.Name] = h
	}
	return nil
}

func (s scaleSource) RemoveHost(roster.Host) error { return nil }

func (s scaleSource) Hosts() (HostsReading, error) {
	time.Sleep(storeLatency)
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	return HostsReading{Version: 1, Hosts: lo.Values(s.fleet.listed)}, nil
}

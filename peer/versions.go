package peer

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// HostVersion is the version of the tables that a host last reported as in
// force.
type HostVersion struct {
	Host    string
	Version uint64
	// HeardAt is when this host received the report.
	HeardAt time.Time
}

type peerVersions struct {
	mu   sync.Mutex
	last map[string]HostVersion
}

func newPeerVersions() *peerVersions {
	return &peerVersions{last: map[string]HostVersion{}}
}

func (p *peerVersions) record(host string, version uint64, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, known := p.last[host]; !known && len(p.last) >= maxEntries {
		return
	}
	p.last[host] = HostVersion{Host: host, Version: version, HeardAt: now}
}

// retain removes the hosts that are not in names and returns the others, sorted
// by host.
func (p *peerVersions) retain(names map[string]bool) []HostVersion {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]HostVersion, 0, len(p.last))
	for host, v := range p.last {
		if !names[host] {
			delete(p.last, host)
			continue
		}
		out = append(out, v)
	}
	slices.SortFunc(out, func(a, b HostVersion) int { return cmp.Compare(a.Host, b.Host) })
	return out
}

// Versions returns the version of the tables that each other member last
// reported, sorted by host. A member reports its version in its exchanges with
// this host, so with many hosts a report may be some time old.
func (n *Node) Versions() []HostVersion {
	names := map[string]bool{}
	for _, m := range n.opt.Members.Members() {
		names[m.Name] = true
	}
	return n.versions.retain(names)
}

package peer

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// HostVersion is the version of the tables that a host last said it has in
// force.
type HostVersion struct {
	Host    string
	Version uint64
	HeardAt time.Time
}

type versionBook struct {
	mu   sync.Mutex
	last map[string]HostVersion
}

func newVersionBook() *versionBook {
	return &versionBook{last: map[string]HostVersion{}}
}

func (b *versionBook) heard(host string, version uint64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, known := b.last[host]; !known && len(b.last) >= maxEntries {
		return
	}
	b.last[host] = HostVersion{Host: host, Version: version, HeardAt: now}
}

// keep forgets the hosts that are not in names and returns the others.
func (b *versionBook) keep(names map[string]bool) []HostVersion {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]HostVersion, 0, len(b.last))
	for host, v := range b.last {
		if !names[host] {
			delete(b.last, host)
			continue
		}
		out = append(out, v)
	}
	slices.SortFunc(out, func(a, b HostVersion) int { return cmp.Compare(a.Host, b.Host) })
	return out
}

// Versions returns what the counted hosts last said of their version, sorted
// by host. A version is heard when the two hosts meet, so at many hosts it may
// be some time old.
func (n *Node) Versions() []HostVersion {
	names := map[string]bool{}
	for _, m := range n.opt.Members.Members() {
		names[m.Name] = true
	}
	return n.versions.keep(names)
}

package balance

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// subsetSize is the number of targets that one host uses of n.
func subsetSize(n int) int { return min(max(n/3, 4), n) }

type pairing struct {
	host, target int
	hash         uint64
}

// subsets assigns targets to hosts by rendezvous hashing with bounded load:
// pairs are taken in the order of their hash while the host has room and the
// target isn't shared by more hosts than the mean. It returns the indexes of
// the targets of the named host, nil when the host isn't listed.
func subsets(hosts []string, targets []netip.AddrPort, self string) []int {
	own := slices.Index(hosts, self)
	if own < 0 || len(targets) == 0 {
		return nil
	}
	size := subsetSize(len(targets))
	bound := (len(hosts)*size + len(targets) - 1) / len(targets)
	room, load := make([]int, len(hosts)), make([]int, len(targets))
	var chosen []int
	for _, p := range rankedPairs(hosts, targets) {
		if room[p.host] == size || load[p.target] == bound {
			continue
		}
		room[p.host]++
		load[p.target]++
		if p.host == own {
			chosen = append(chosen, p.target)
		}
	}
	return chosen
}

func rankedPairs(hosts []string, targets []netip.AddrPort) []pairing {
	pairs := make([]pairing, 0, len(hosts)*len(targets))
	for h, host := range hosts {
		seed := xxhash.Sum64String(host)
		for t, addr := range targets {
			key := binary.LittleEndian.AppendUint64(nil, seed)
			key = append(key, addr.String()...)
			pairs = append(pairs, pairing{h, t, xxhash.Sum64(key)})
		}
	}
	slices.SortFunc(pairs, func(a, b pairing) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.host, b.host), cmp.Compare(a.target, b.target))
	})
	return pairs
}

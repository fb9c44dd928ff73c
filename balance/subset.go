package balance

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// subsetSize returns the number of targets that one host uses out of n.
func subsetSize(n int) int { return min(max(n/3, 4), n) }

type hostTarget struct {
	host, target int
	hash         uint64
}

// hostSubset assigns targets to hosts by rendezvous hashing with bounded loads.
// Pairs of host and target are accepted in the order of their hash, as long as
// the host has fewer than subsetSize targets and the target fewer hosts than the
// mean, rounded up. It returns the indexes of the targets of the host self, nil
// when that host isn't listed or there are no targets.
func hostSubset(hosts []string, targets []netip.AddrPort, self string) []int {
	selfIndex := slices.Index(hosts, self)
	if selfIndex < 0 || len(targets) == 0 {
		return nil
	}
	size := subsetSize(len(targets))
	maxHosts := (len(hosts)*size + len(targets) - 1) / len(targets)
	targetsPerHost, hostsPerTarget := make([]int, len(hosts)), make([]int, len(targets))
	var chosen []int
	for _, p := range rankedPairs(hosts, targets) {
		if targetsPerHost[p.host] == size || hostsPerTarget[p.target] == maxHosts {
			continue
		}
		targetsPerHost[p.host]++
		hostsPerTarget[p.target]++
		if p.host == selfIndex {
			chosen = append(chosen, p.target)
		}
	}
	return chosen
}

func rankedPairs(hosts []string, targets []netip.AddrPort) []hostTarget {
	pairs := make([]hostTarget, 0, len(hosts)*len(targets))
	for h, host := range hosts {
		seed := xxhash.Sum64String(host)
		for t, addr := range targets {
			key := binary.LittleEndian.AppendUint64(nil, seed)
			key = append(key, addr.String()...)
			pairs = append(pairs, hostTarget{h, t, xxhash.Sum64(key)})
		}
	}
	slices.SortFunc(pairs, func(a, b hostTarget) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.host, b.host), cmp.Compare(a.target, b.target))
	})
	return pairs
}

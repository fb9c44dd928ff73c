package placement

import (
	"encoding/binary"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/backpressure"
	"github.com/chestnutfield/chestnutfield/registry"
)

// targetsPerPartition is the greatest mean number of targets in the partitions
// of a pool.
// One host queries the targets and places the requests of a partition for all
// hosts: at five queries a request and some four requests a second and target,
// that takes 0.1 to 0.2 of a core.
const targetsPerPartition = 24

// partitions is a pool divided into partitions. Each has its own queue and
// query budget and is served by one host, so that no host's work grows with the
// size of a pool. Partitions are disjoint; when a pool grows or shrinks past a
// multiple of targetsPerPartition, few targets change their partition.
type partitions []*partition

// partitionCount returns the number of partitions of a pool with this many
// targets.
func partitionCount(targets int) int {
	return max((targets+targetsPerPartition-1)/targetsPerPartition, 1)
}

// partitionIndex returns the index of the partition that holds a target, by
// rendezvous hashing of the target's ID.
func partitionIndex(id string, count int) int {
	idHash := xxhash.Sum64String(id)
	return lo.MaxBy(lo.Range(count), func(a, b int) bool { return partitionWeight(idHash, a) > partitionWeight(idHash, b) })
}

func partitionWeight(idHash uint64, index int) uint64 {
	var key [16]byte
	binary.LittleEndian.PutUint64(key[:8], idHash)
	binary.LittleEndian.PutUint64(key[8:], uint64(index))
	return xxhash.Sum64(key[:])
}

// buildPartitions returns the partitions of a pool with its present targets.
// State of targets that remain in their partition is kept.
func (b *Balancer) buildPartitions(pool string, old partitions, spec PoolSpec) partitions {
	n := partitionCount(len(spec.Targets))
	groups := lo.GroupBy(spec.Targets, func(t registry.Target) int { return partitionIndex(t.ID, n) })
	ps := make(partitions, n)
	for i := range ps {
		if i < len(old) {
			ps[i] = old[i]
		} else {
			ps[i] = newPartition(pool, i+1, rand.New(rand.NewPCG(b.opts.Seed, xxhash.Sum64String(pool)+uint64(i))),
				func() backpressure.Role { return (*b.fleet.Load()).Role(pool, i+1) })
			ps[i].warmups.ended = b.logWarm
		}
		ps[i].extended.Store(spec.Extended)
		ps[i].setDomains(spec.Evacuated, b.opts.Regions)
		ps[i].update(b.opts.Clock.Now(), spec, groups[i], b.asked)
	}
	return ps
}

// byNumber returns a partition by its number, from 1; 0 picks any. A host with
// another view of the pool may ask for a partition that does not exist here; it
// gets a random one, and so does one that asks for a partition whose targets are all
// evacuated.
func (ps partitions) byNumber(number int) *partition {
	if number <= 0 || number > len(ps) || ps[number-1].allEvacuated() {
		return ps.pickRandom()
	}
	return ps[number-1]
}

// pickRandom picks a random partition, weighted by the number of targets that are not
// evacuated; nil when the pool is unknown.
func (ps partitions) pickRandom() *partition {
	switch len(ps) {
	case 0:
		return nil
	case 1:
		return ps[0]
	}
	sizes := lo.Map(ps, func(p *partition, _ int) int { return p.servingCount() })
	rest := rand.N(max(lo.Sum(sizes), 1))
	for i, n := range sizes {
		if rest < n {
			return ps[i]
		}
		rest -= n
	}
	return ps[0]
}

// ofTarget returns the partition that holds a target if the pool has it; nil
// when the pool is unknown.
func (ps partitions) ofTarget(id string) *partition {
	if len(ps) == 0 {
		return nil
	}
	return ps[partitionIndex(id, len(ps))]
}

func (ps partitions) servingCount() int { return lo.SumBy(ps, (*partition).servingCount) }

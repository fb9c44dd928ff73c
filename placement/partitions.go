package placement

import (
	"encoding/binary"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/registry"
)

// targetsPerPartition is the mean number of targets that a partition may hold.
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
func (b *Balancer) buildPartitions(name string, old partitions, spec PoolSpec) partitions {
	n := partitionCount(len(spec.Targets))
	groups := lo.GroupBy(spec.Targets, func(t registry.Target) int { return partitionIndex(t.ID, n) })
	d := make(partitions, n)
	for i := range d {
		if i < len(old) {
			d[i] = old[i]
		} else {
			d[i] = newPartition(name, i+1, rand.New(rand.NewPCG(b.opts.Seed, xxhash.Sum64String(name)+uint64(i))))
		}
		d[i].update(spec.HealthPath, groups[i])
	}
	return d
}

// byNumber returns a partition by its number, from 1; 0 picks any. A host with
// another view of the pool may ask for a partition that does not exist here; it
// gets a random one.
func (d partitions) byNumber(number int) *partition {
	if number <= 0 || number > len(d) {
		return d.pickRandom()
	}
	return d[number-1]
}

// pickRandom picks a random partition, weighted by target count; nil when the
// pool is unknown.
func (d partitions) pickRandom() *partition {
	switch len(d) {
	case 0:
		return nil
	case 1:
		return d[0]
	}
	sizes := lo.Map(d, func(p *partition, _ int) int { return p.targetCount() })
	rest := rand.N(max(lo.Sum(sizes), 1))
	for i, n := range sizes {
		if rest < n {
			return d[i]
		}
		rest -= n
	}
	return d[0]
}

// ofTarget returns the partition that holds a target if the pool has it; nil
// when the pool is unknown.
func (d partitions) ofTarget(id string) *partition {
	if len(d) == 0 {
		return nil
	}
	return d[partitionIndex(id, len(d))]
}

func (d partitions) targetCount() int { return lo.SumBy(d, (*partition).targetCount) }

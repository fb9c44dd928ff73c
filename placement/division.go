package placement

import (
	"encoding/binary"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/registry"
)

// partTargets is the number of targets that a part of a pool may hold. One
// host asks and fills a part for all: at five questions a request and some
// four requests a second and target, that is 0.1 to 0.2 of a core.
const partTargets = 24

// division is a pool in parts. Each part has a queue and a budget of its own
// and is filled by a host of its own, so that no host's work grows with the
// size of a pool. Parts are disjoint; where a pool grows or shrinks past a
// multiple of partTargets, few targets change their part.
type division []*pool

// partsOf is the number of parts of a pool of so many targets.
func partsOf(targets int) int { return max((targets+partTargets-1)/partTargets, 1) }

// partOf returns the index of the part that holds a target: rendezvous hashing
// of its name.
func partOf(id string, parts int) int {
	name := xxhash.Sum64String(id)
	return lo.MaxBy(lo.Range(parts), func(a, b int) bool { return partWeight(name, a) > partWeight(name, b) })
}

func partWeight(name uint64, part int) uint64 {
	var key [16]byte
	binary.LittleEndian.PutUint64(key[:8], name)
	binary.LittleEndian.PutUint64(key[8:], uint64(part))
	return xxhash.Sum64(key[:])
}

// divide returns the parts of a pool with its present targets. What is known
// of targets that stay in their part is kept.
func (b *Balancer) divide(name string, before division, spec PoolSpec) division {
	n := partsOf(len(spec.Targets))
	groups := lo.GroupBy(spec.Targets, func(t registry.Target) int { return partOf(t.ID, n) })
	d := make(division, n)
	for i := range d {
		if i < len(before) {
			d[i] = before[i]
		} else {
			d[i] = newPool(name, i+1, rand.New(rand.NewPCG(b.opts.Seed, xxhash.Sum64String(name)+uint64(i))))
		}
		d[i].update(spec.HealthPath, groups[i])
	}
	return d
}

// part returns a part by its number, from 1; 0 is any. A host that has divided
// the pool otherwise may ask for one that does not exist here.
func (d division) part(number int) *pool {
	if number <= 0 || number > len(d) {
		return d.any()
	}
	return d[number-1]
}

// any draws a part, in proportion to the number of its targets; nil when the
// pool is unknown.
func (d division) any() *pool {
	switch len(d) {
	case 0:
		return nil
	case 1:
		return d[0]
	}
	sizes := lo.Map(d, func(p *pool, _ int) int { return p.size() })
	at := rand.N(max(lo.Sum(sizes), 1))
	for i, n := range sizes {
		if at < n {
			return d[i]
		}
		at -= n
	}
	return d[0]
}

// of returns the part that holds a target if the pool does, nil when the pool
// is unknown.
func (d division) of(id string) *pool {
	if len(d) == 0 {
		return nil
	}
	return d[partOf(id, len(d))]
}

// size is the number of targets.
func (d division) size() int { return lo.SumBy(d, (*pool).size) }

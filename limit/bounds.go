package limit

const (
	// startShares is the starting limit as a multiple of this host's share of
	// the pool's slots.
	startShares = 3
	// minStartLimit is the lowest starting limit.
	minStartLimit = 4
	// lowestShares is the lowest limit as a multiple of this host's share; at 1
	// the hosts together may always use the whole pool.
	lowestShares = 1
	// highestPoolFactor is the highest limit of one host as a multiple of the
	// pool's slots.
	highestPoolFactor = 1.5
	// batchFloorShares is the limit that the batch class always keeps, as a
	// multiple of this host's share.
	batchFloorShares = 0.1
	// totalTolerance and batchTolerance are the latency inflations above which
	// the pool's limit and the batch limit decrease.
	totalTolerance = 2.5
	batchTolerance = 1.5
)

// bounds are the starting, lowest and highest limits of one host for one pool,
// and the floor of its batch limit, all in concurrent requests.
type bounds struct {
	start, lowest, highest, batchFloor float64
}

// newBounds derives the bounds from the pool's slots and the number of hosts
// that share them.
func newBounds(slots, hosts int) bounds {
	pool := float64(max(slots, 1))
	share := pool / float64(max(hosts, 1))
	highest := max(highestPoolFactor*pool, 1)
	return bounds{
		start:      min(max(startShares*share, minStartLimit), highest),
		lowest:     lowestShares * share,
		highest:    highest,
		batchFloor: batchFloorShares * share,
	}
}

package limit

const (
	// startShares is the starting limit in shares of the pool's slots.
	startShares = 3
	// minStart is the lowest starting limit.
	minStart = 4
	// lowestShares is the lowest limit in shares: the hosts together may
	// always use the whole pool.
	lowestShares = 1
	// highestPools is the highest limit of one host in pools.
	highestPools = 1.5
	// batchFloorShares is what batch may always use, in shares.
	batchFloorShares = 0.1
	// totalTolerance and batchTolerance are the inflations of latency at which
	// the limits are cut.
	totalTolerance = 2.5
	batchTolerance = 1.5
)

// bounds hold the limits of one host for one pool.
type bounds struct {
	start, lowest, highest, batchFloor float64
}

// newBounds derives the bounds from the pool's slots and the number of hosts
// that share them.
func newBounds(slots, hosts int) bounds {
	pool := float64(max(slots, 1))
	share := pool / float64(max(hosts, 1))
	highest := max(highestPools*pool, 1)
	return bounds{
		start:      min(max(startShares*share, minStart), highest),
		lowest:     lowestShares * share,
		highest:    highest,
		batchFloor: batchFloorShares * share,
	}
}

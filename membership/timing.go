package membership

import "time"

// Timing holds the intervals of the membership protocol. Lease must be the same
// on all hosts. The intervals between heartbeats and between reads grow with
// the number of hosts, which bounds the load on the table service.
type Timing struct {
	// Lease is how long a renewal keeps the lease valid.
	Lease time.Duration
	// HeartbeatIntervalPerHost times the number of hosts is the time between
	// two heartbeats, which is at least MinHeartbeatInterval and at most a
	// third of Lease.
	HeartbeatIntervalPerHost time.Duration
	MinHeartbeatInterval     time.Duration
	// ReadIntervalPerHost times the number of hosts is the time between two
	// reads of the rows, which is at least MinReadInterval.
	ReadIntervalPerHost time.Duration
	MinReadInterval     time.Duration
	// GossipPeriod is how long a change of incarnation or state is sent to
	// peers.
	GossipPeriod time.Duration
	// ForgetAfter is the longest time that a silent host is kept while the rows
	// can be read, however many hosts are silent. Tombstones are kept for as
	// long.
	ForgetAfter time.Duration
	// RowRetention is how long a row is kept after its last renewal.
	RowRetention time.Duration
}

// DefaultTiming returns the intervals for deployments of up to a thousand
// hosts.
func DefaultTiming() Timing {
	return Timing{
		Lease:                    60 * time.Second,
		HeartbeatIntervalPerHost: 100 * time.Millisecond,
		MinHeartbeatInterval:     2 * time.Second,
		ReadIntervalPerHost:      250 * time.Millisecond,
		MinReadInterval:          3 * time.Second,
		GossipPeriod:             12 * time.Second,
		ForgetAfter:              15 * time.Minute,
		RowRetention:             time.Hour,
	}
}

// HeartbeatInterval returns the time between two heartbeats of one host.
func (t Timing) HeartbeatInterval(hosts int) time.Duration {
	const renewalsPerLease = 3
	d := max(time.Duration(hosts)*t.HeartbeatIntervalPerHost, t.MinHeartbeatInterval)
	return min(d, t.Lease/renewalsPerLease)
}

// ReadInterval returns the time between two reads of the rows by one host.
func (t Timing) ReadInterval(hosts int) time.Duration {
	return max(time.Duration(hosts)*t.ReadIntervalPerHost, t.MinReadInterval)
}

// JoinDelay returns the time after which every host that holds its lease knows
// of a new host.
func (t Timing) JoinDelay(hosts int) time.Duration {
	return 3 * t.ReadInterval(hosts)
}

// readValidity returns how long a read of the rows keeps the lease valid. It is
// long enough for one failed read and ends before hosts that joined since the
// read use their shares.
func (t Timing) readValidity(hosts int) time.Duration {
	return t.ReadInterval(hosts) * 5 / 2
}

// peerValidity returns how long heartbeats that arrived through peers keep the
// lease valid. It is shorter than JoinDelay by the time that a change takes to
// reach all hosts, so that a host that does not know of a new host no longer
// holds its lease when that one uses its share.
func (t Timing) peerValidity(hosts int) time.Duration {
	return min(t.Lease/2, t.JoinDelay(hosts)*2/3)
}

// dropAfter returns the least time between the two reads that prove a host
// silent. The margin over Lease allows for clocks that run at different rates.
func (t Timing) dropAfter() time.Duration { return t.Lease + t.Lease/10 }

// pauseLimit returns the longest gap between two ticks that does not count as a
// pause.
func (t Timing) pauseLimit(hosts int) time.Duration {
	return min(t.Lease/4, t.JoinDelay(hosts)/6)
}

// elapsed returns the larger of the monotonic and the wall-clock time between
// two times, because the monotonic clock may stand still while the machine is
// suspended.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

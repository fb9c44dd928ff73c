package membership

import "time"

// Timing holds the intervals. Lease must be the same on all hosts; the
// intervals that grow with the number of hosts bound the load on the table
// service.
type Timing struct {
	// Lease is how long a renewal lasts.
	Lease time.Duration
	// HeartbeatPerHost times the number of hosts is the time between two
	// heartbeats, within HeartbeatMin and a third of Lease.
	HeartbeatPerHost time.Duration
	HeartbeatMin     time.Duration
	// ReadPerHost times the number of hosts is the time between two reads of
	// the rows, at least ReadMin.
	ReadPerHost time.Duration
	ReadMin     time.Duration
	// Spread is how long a change is passed on to peers.
	Spread time.Duration
	// Forget is how long a silent host is kept at most while the rows can be
	// read, however many hosts are silent.
	Forget time.Duration
	// RowRetention is how long a row outlasts its last renewal.
	RowRetention time.Duration
}

// DefaultTiming returns the intervals for deployments up to a thousand hosts.
func DefaultTiming() Timing {
	return Timing{
		Lease:            60 * time.Second,
		HeartbeatPerHost: 100 * time.Millisecond,
		HeartbeatMin:     2 * time.Second,
		ReadPerHost:      250 * time.Millisecond,
		ReadMin:          3 * time.Second,
		Spread:           12 * time.Second,
		Forget:           15 * time.Minute,
		RowRetention:     time.Hour,
	}
}

// Heartbeat returns the time between two heartbeats of one host.
func (t Timing) Heartbeat(hosts int) time.Duration {
	const renewalsPerLease = 3
	d := max(time.Duration(hosts)*t.HeartbeatPerHost, t.HeartbeatMin)
	return min(d, t.Lease/renewalsPerLease)
}

// Read returns the time between two reads of the rows by one host.
func (t Timing) Read(hosts int) time.Duration {
	return max(time.Duration(hosts)*t.ReadPerHost, t.ReadMin)
}

// JoinDelay returns the time after which every host that holds its lease knows
// of a new host.
func (t Timing) JoinDelay(hosts int) time.Duration {
	return 3 * t.Read(hosts)
}

// readHold is how long a read of the rows supports the lease. It spans one
// failed read and ends before those who joined since take their share.
func (t Timing) readHold(hosts int) time.Duration {
	return t.Read(hosts) * 5 / 2
}

// peerHold is how long evidence from peers holds the lease. It is shorter than
// JoinDelay by the time that news takes to spread, so that a host either knows
// of those who joined or no longer holds its lease.
func (t Timing) peerHold(hosts int) time.Duration {
	return min(t.Lease/2, t.JoinDelay(hosts)*2/3)
}

// dropAfter is the time between the two reads that prove a host gone. The
// margin covers clocks of different rate.
func (t Timing) dropAfter() time.Duration { return t.Lease + t.Lease/10 }

// pauseLimit is the gap between two ticks that counts as a pause.
func (t Timing) pauseLimit(hosts int) time.Duration {
	return min(t.Lease/4, t.JoinDelay(hosts)/6)
}

// elapsed returns the larger of the monotonic and the wall time between two
// instants, so that a suspended machine does not count as no time.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

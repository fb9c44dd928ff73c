package upstreamd

import (
	"sync/atomic"
	"time"
)

// counters are the values behind Stats. busy and lastLateWork are nanoseconds.
type counters struct {
	arrivals, runs, shed, failed, cancelled, expired atomic.Int64
	loadProbes, healthProbes                         atomic.Int64
	opened, refused, peakConns                       atomic.Int64
	busy                                             atomic.Int64
	lateWork, lastLateWork                           atomic.Int64
}

// Stats are the counts of a target since it was created.
type Stats struct {
	// Arrivals counts the requests received, Runs those that got a slot.
	Arrivals int64 `json:"arrivals"`
	Runs     int64 `json:"runs"`
	// Shed counts the requests rejected as not run, Failed those that failed
	// because of Behavior.FailFast.
	Shed   int64 `json:"shed"`
	Failed int64 `json:"failed"`
	// Cancelled counts the requests whose connection closed before they ended,
	// Expired those whose deadline passed.
	Cancelled int64 `json:"cancelled"`
	Expired   int64 `json:"expired"`
	// LoadProbes and HealthProbes count the requests to /load and /health.
	LoadProbes   int64 `json:"load_probes"`
	HealthProbes int64 `json:"health_probes"`
	// ConnectionsOpened counts all connections, ConnectionsRefused those
	// closed because of the limit. ConnectionsPeak is the maximum number of
	// connections open at once.
	ConnectionsOpened  int64 `json:"connections_opened"`
	ConnectionsRefused int64 `json:"connections_refused"`
	ConnectionsPeak    int64 `json:"connections_peak"`
	// Busy is the time for which slots were occupied, summed over all slots.
	Busy time.Duration `json:"busy_ns"`
	// LateWork counts the requests that arrived after the grace period of a
	// drain. LastLateWork is the longest time from the start of a drain to
	// such a request.
	LateWork     int64         `json:"late_work"`
	LastLateWork time.Duration `json:"last_late_work_ns"`
}

// Stats returns the current counts.
func (s *Server) Stats() Stats {
	c := &s.counters
	return Stats{
		Arrivals: c.arrivals.Load(), Runs: c.runs.Load(), Shed: c.shed.Load(), Failed: c.failed.Load(),
		Cancelled: c.cancelled.Load(), Expired: c.expired.Load(),
		LoadProbes: c.loadProbes.Load(), HealthProbes: c.healthProbes.Load(),
		ConnectionsOpened: c.opened.Load(), ConnectionsRefused: c.refused.Load(), ConnectionsPeak: c.peakConns.Load(),
		Busy:     time.Duration(c.busy.Load()),
		LateWork: c.lateWork.Load(), LastLateWork: time.Duration(c.lastLateWork.Load()),
	}
}

// Add adds the counts of another target. ConnectionsPeak and LastLateWork become
// the maximum of both.
func (s *Stats) Add(o Stats) {
	s.Arrivals += o.Arrivals
	s.Runs += o.Runs
	s.Shed += o.Shed
	s.Failed += o.Failed
	s.Cancelled += o.Cancelled
	s.Expired += o.Expired
	s.LoadProbes += o.LoadProbes
	s.HealthProbes += o.HealthProbes
	s.ConnectionsOpened += o.ConnectionsOpened
	s.ConnectionsRefused += o.ConnectionsRefused
	s.ConnectionsPeak = max(s.ConnectionsPeak, o.ConnectionsPeak)
	s.Busy += o.Busy
	s.LateWork += o.LateWork
	s.LastLateWork = max(s.LastLateWork, o.LastLateWork)
}

package upstreamd

import (
	"sync/atomic"
	"time"
)

type counters struct {
	arrivals, runs, shed, failed, cancelled, expired atomic.Int64
	loadProbes, healthProbes                         atomic.Int64
	opened, refused, peakConns                       atomic.Int64
	busy                                             atomic.Int64
	lateWork, lastLateWork                           atomic.Int64
}

// Stats is what a target saw since it started.
type Stats struct {
	Arrivals int64 `json:"arrivals"`
	Runs     int64 `json:"runs"`
	// Shed counts refusals as not run, Failed quick failures.
	Shed   int64 `json:"shed"`
	Failed int64 `json:"failed"`
	// Cancelled counts requests whose connection closed, Expired those whose
	// deadline passed.
	Cancelled int64 `json:"cancelled"`
	Expired   int64 `json:"expired"`
	// LoadProbes and HealthProbes count requests that only measure.
	LoadProbes   int64 `json:"load_probes"`
	HealthProbes int64 `json:"health_probes"`
	// Connections opened, refused for the limit, and held at once at most.
	ConnectionsOpened  int64 `json:"connections_opened"`
	ConnectionsRefused int64 `json:"connections_refused"`
	ConnectionsPeak    int64 `json:"connections_peak"`
	// Busy is the time that slots were taken, all slots together.
	Busy time.Duration `json:"busy_ns"`
	// LateWork counts arrivals after the grace of a drain; LastLateWork is
	// the time of the last one since the drain began.
	LateWork     int64         `json:"late_work"`
	LastLateWork time.Duration `json:"last_late_work_ns"`
}

// Stats returns the counts so far.
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

// Add adds the counts of another target; the peaks become the highest.
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

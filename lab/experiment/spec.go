package experiment

import (
	"time"

	"github.com/chestnutfield/chestnutfield/lab/loadgen"
	"github.com/chestnutfield/chestnutfield/lab/workload"
	"github.com/chestnutfield/chestnutfield/table"
)

// Fault is the kind of fault of a scenario, as named in experiment files.
type Fault string

// The faults.
const (
	NoFault Fault = "none"
	// Noisy makes the speed of some targets vary within milliseconds.
	Noisy Fault = "noisy"
	// Slow multiplies the service times of some targets.
	Slow Fault = "slow"
	// SilentDrain makes some targets refuse new requests without announcing it.
	SilentDrain Fault = "drain"
	// FailFast makes some targets return errors immediately.
	FailFast Fault = "fail_fast"
	// Restart cuts the connections of some targets, which are slow for a while after
	// their restart.
	Restart Fault = "restart"
	// FrozenReports stops the updates of the load reports of some targets.
	FrozenReports Fault = "frozen"
	// StoreDown makes the table service and the object store unavailable.
	StoreDown Fault = "store_down"
	// HostKilled kills one entry host without notice.
	HostKilled Fault = "host_killed"
	// Flood multiplies the rate of batch traffic.
	Flood Fault = "flood"
)

// Service is a group of equal targets and the request classes that they serve.
type Service struct {
	Name    string
	Targets int
	// Slots is the number of requests that a target runs at the same time, Queue
	// the number that may wait there, Connections the maximum number of its
	// connections.
	Slots       int
	Queue       int
	Connections int
	ConnectTime time.Duration
	ServiceTime workload.Distribution
	ProbeBudget float64
	Classes     []Class
}

// capacity is the number of requests per second that all slots together can serve.
func (s Service) capacity() float64 {
	return float64(s.Targets*s.Slots) / s.ServiceTime.Mean.Seconds()
}

// Class is a class of requests to a service, with its own route.
type Class struct {
	Name    string
	Service string
	Class   table.Class
	// Share is the class's fraction of the service's load, in slot time.
	Share         float64
	Method        string
	Path          string
	Timeout       time.Duration
	Retries       int
	Callers       int
	ResponseBytes int
	BodyBytes     int
	// CopyShare is the fraction of orders that callers send twice with the same
	// idempotency key.
	CopyShare float64
}

// Cell is a balancing policy at a load.
type Cell struct {
	// Policy is the policy key of the pools. DefaultPolicy and DirectPolicy leave
	// the key out.
	Policy string `json:"policy"`
	// Load is the offered load in percent of the slot capacity; 0 sends no requests.
	Load float64 `json:"load"`
}

// Scenario is one fault and the cells that are run under it.
type Scenario struct {
	Name  string
	Fault Fault
	// Targets is the fraction of each service's targets that the fault affects; the
	// number is rounded up.
	Targets float64
	// Factor multiplies the service times for Slow and the rate of batch traffic
	// for Flood.
	Factor float64
	// From and To are the start and end of the fault, relative to the start of the
	// measured window; a To of 0 is the end of the run.
	From, To time.Duration
	// Duration overrides the length of the experiment's measured window unless 0.
	Duration time.Duration
	Cells    []Cell
}

// Spec describes one experiment.
type Spec struct {
	Name  string
	Hosts int
	// Domains is the number of failure domains, DomainDelay the one-way network
	// delay between them, CallerDelay the one between callers and entry hosts.
	Domains     int
	DomainDelay time.Duration
	CallerDelay time.Duration
	Seed        uint64
	Repeats     int
	// Warmup is the time under load before the measured window, whose length is
	// Duration.
	Warmup   time.Duration
	Duration time.Duration
	// Timeout is the time after which a caller gives up.
	Timeout time.Duration
	// ProbeCost is the assumed cost of one probe for a target.
	ProbeCost time.Duration
	// ReadsPerSecond and WritesPerSecond are the capacity of the table service in
	// items per second; 0 means unlimited.
	ReadsPerSecond  int
	WritesPerSecond int
	Services        []Service
	Scenarios       []Scenario
}

// forScenario returns the spec with the overrides of a scenario.
func (s Spec) forScenario(sc Scenario) Spec {
	if sc.Duration > 0 {
		s.Duration = sc.Duration
	}
	return s
}

// window is the measured window, relative to the start of a run.
func (s Spec) window() loadgen.Window {
	return loadgen.Window{From: s.Warmup, To: s.Warmup + s.Duration}
}

// LoadClasses returns the load classes of all services for a load in percent of the
// slot capacity, with the bursts of the scenario.
func (s Spec) LoadClasses(sc Scenario, load float64) []loadgen.Class {
	var out []loadgen.Class
	for _, svc := range s.Services {
		for _, c := range svc.Classes {
			class := loadgen.Class{
				Name: c.Class, Service: svc.Name, Method: c.Method, Path: c.Path,
				Rate:    svc.capacity() * c.Share * load / 100,
				Callers: c.Callers, ServiceTime: svc.ServiceTime,
				ResponseBytes: c.ResponseBytes, BodyBytes: c.BodyBytes,
				CopyShare: c.CopyShare, CopyDelay: copyDelay,
			}
			if sc.Fault == Flood && c.Class == table.Batch {
				from, to := s.faultTimes(sc)
				class.Bursts = []loadgen.Burst{{From: from, To: to, Factor: sc.Factor}}
			}
			out = append(out, class)
		}
	}
	return out
}

// copyDelay is the time after which a caller sends the copy of an order.
const copyDelay = 5 * time.Millisecond

// faultTimes returns the start and end of the fault relative to the start of the
// run.
func (s Spec) faultTimes(sc Scenario) (from, to time.Duration) {
	to = s.Warmup + s.Duration
	if sc.To > 0 {
		to = s.Warmup + sc.To
	}
	return s.Warmup + sc.From, to
}

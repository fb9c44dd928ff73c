package experiment

import (
	"time"

	"github.com/chestnutfield/chestnutfield/lab/loadgen"
	"github.com/chestnutfield/chestnutfield/lab/workload"
	"github.com/chestnutfield/chestnutfield/table"
)

// Fault is the kind of disturbance of a scenario.
type Fault string

// The faults.
const (
	NoFault Fault = "none"
	// Noisy lets the speed of some targets shift within milliseconds.
	Noisy Fault = "noisy"
	// Slow multiplies the service times of some targets.
	Slow Fault = "slow"
	// Drain lets some targets refuse new work without warning.
	Drain Fault = "drain"
	// FailFast lets some targets answer errors at once.
	FailFast Fault = "fail_fast"
	// Restart cuts the connections of some targets, which start cold.
	Restart Fault = "restart"
	// Frozen freezes the load reports of some targets.
	Frozen Fault = "frozen"
	// StoreDown takes the table service and the object store away.
	StoreDown Fault = "store_down"
	// HostKilled ends one entry host with no word.
	HostKilled Fault = "host_killed"
	// Flood multiplies the rate of batch traffic.
	Flood Fault = "flood"
)

// Service is a group of targets.
type Service struct {
	Name        string
	Targets     int
	Slots       int
	Queue       int
	Connections int
	ConnectTime time.Duration
	ServiceTime workload.Distribution
	ProbeBudget float64
	Classes     []Class
}

// capacity is the number of requests a second that the slots can serve.
func (s Service) capacity() float64 {
	return float64(s.Targets*s.Slots) / s.ServiceTime.Mean.Seconds()
}

// Class is one route to a service.
type Class struct {
	Name    string
	Service string
	Class   table.Class
	// Share is the part of the service's load, in slot time.
	Share       float64
	Method      string
	Path        string
	Timeout     time.Duration
	Retries     int
	Callers     int
	AnswerBytes int
	BodyBytes   int
	CopyShare   float64
}

// Cell is a policy at a load.
type Cell struct {
	// Policy is the name in the pool's row; "default" leaves it out.
	Policy string `json:"policy"`
	// Load is the share of slot capacity in percent; 0 sends nothing.
	Load float64 `json:"load"`
}

// Scenario is one fault and the cells to run under it.
type Scenario struct {
	Name  string
	Fault Fault
	// Targets is the share of each service's targets that is hit, rounded up.
	Targets float64
	// Factor is the slowdown, or the factor on the rate of batch traffic.
	Factor float64
	// From and To bound the fault, from the start of the measured window; a
	// To of 0 is the end of the run.
	From, To time.Duration
	// Duration is the measured window in place of the experiment's, 0 keeps
	// that.
	Duration time.Duration
	Cells    []Cell
}

// Spec is one experiment.
type Spec struct {
	Name  string
	Hosts int
	// Domains is the number of failure domains, DomainDelay the one-way delay
	// between them, CallerDelay that between callers and entry hosts.
	Domains     int
	DomainDelay time.Duration
	CallerDelay time.Duration
	Seed        uint64
	Repeats     int
	// Warmup runs before the measured window of length Duration.
	Warmup   time.Duration
	Duration time.Duration
	// Timeout is the time after which a caller gives up.
	Timeout time.Duration
	// ProbeCost is what one probe is taken to cost a target.
	ProbeCost time.Duration
	// ReadsPerSecond and WritesPerSecond are the capacity of the table
	// service in items; 0 sets no limit.
	ReadsPerSecond  int
	WritesPerSecond int
	Services        []Service
	Scenarios       []Scenario
}

// forScenario is the experiment with what the scenario sets of its own.
func (s Spec) forScenario(sc Scenario) Spec {
	if sc.Duration > 0 {
		s.Duration = sc.Duration
	}
	return s
}

// window is the measured stretch of a run.
func (s Spec) window() loadgen.Window {
	return loadgen.Window{From: s.Warmup, To: s.Warmup + s.Duration}
}

// LoadClasses returns the load of all services at a load in percent, with the
// bursts of the scenario.
func (s Spec) LoadClasses(sc Scenario, load float64) []loadgen.Class {
	var out []loadgen.Class
	for _, svc := range s.Services {
		for _, c := range svc.Classes {
			lc := loadgen.Class{
				Name: c.Class, Service: svc.Name, Method: c.Method, Path: c.Path,
				Rate:    svc.capacity() * c.Share * load / 100,
				Callers: c.Callers, ServiceTime: svc.ServiceTime,
				AnswerBytes: c.AnswerBytes, BodyBytes: c.BodyBytes,
				CopyShare: c.CopyShare, CopyDelay: copyDelay,
			}
			if sc.Fault == Flood && c.Class == table.Batch {
				from, to := s.faultTimes(sc)
				lc.Bursts = []loadgen.Burst{{From: from, To: to, Factor: sc.Factor}}
			}
			out = append(out, lc)
		}
	}
	return out
}

// copyDelay is the time after which a caller sends an order again.
const copyDelay = 5 * time.Millisecond

// faultTimes bounds the fault from the start of the run.
func (s Spec) faultTimes(sc Scenario) (from, to time.Duration) {
	to = s.Warmup + s.Duration
	if sc.To > 0 {
		to = s.Warmup + sc.To
	}
	return s.Warmup + sc.From, to
}

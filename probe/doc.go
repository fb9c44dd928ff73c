// Package probe requests the load or health of targets within a budget that all
// entry hosts share.
//
// The budget is the number of probes per second that one target receives. Time is
// divided into time slots of about one probe each, which the hosts use in turn,
// in the order of the sorted membership. A host probes a target only in the first
// half of its own time slot. Hosts that agree about the membership never exceed
// the budget in any second. When they disagree, time slots may overlap, but each
// host still sends at most one probe per cycle. All hosts together then send at
// most budget × T probes plus one per host in a time T, provided that no host
// divides the budget by less than the number of hosts. If one does, the rate
// exceeds the budget by the ratio of the two numbers.
//
// A host uses its time slot only when the result of the probe is useful, which a
// Source decides. Scheduler computes the time slots without I/O or a clock, and
// Prober sends the requests.
package probe

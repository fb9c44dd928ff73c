// Package probe asks targets for their load or health within a budget that
// all entry hosts share.
//
// The budget is a number of probes a second to one target. Time is cut into
// slots, one probe long, that the hosts take in turn by their place in the
// sorted membership: a host probes a target only in the first half of its own
// slot. Hosts that agree about the membership never exceed the budget in any
// second. When they disagree, slots may overlap, but each host still keeps its
// own pace of one probe per round, so that over a time T all hosts together
// send at most budget times T plus one each, as long as the number that each
// divides by is no lower than the number of hosts. Where it is lower, the rate
// exceeds the budget by the ratio of the two.
//
// A slot is used only for a target whose answer is worth having, which the
// Source decides; the Scheduler is pure and the Prober does the requests.
package probe

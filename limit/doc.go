// Package limit is the admission control of each upstream pool: it admits,
// queues or refuses requests.
//
// Each pool has its own lock, an adaptive concurrency limit, a queue that is
// fair between classes and callers (package fair), and latency estimates. A
// request that is not expected to meet its deadline is refused on arrival; a
// queued one is refused as soon as that becomes clear. A refusal carries a
// retry-after time, and a refused request keeps no place in the queue.
//
// The limit starts at a multiple of this host's share of the pool's slots. It
// grows while the host uses it and latency stays near the uncongested baseline,
// up to 1.5 times the pool's slots, so that a host with more demand than others
// can use the capacity they leave idle. It shrinks on shed requests, timeouts
// and rising latency. The batch class has a second, more cautious limit below
// the first one. A limit below 1 is enforced by pauses between requests.
package limit

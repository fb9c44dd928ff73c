// Package limit admits requests to pools.
//
// Each pool is a shard with its own lock: a concurrency limit that adapts, a
// fair queue by class and caller (package fair), and estimates of latency by
// which a request that can't meet its deadline is refused on arrival. A
// refusal comes at once and says when to come back; nothing is held after it
// has been given up.
//
// The limit starts at a multiple of this host's share of the pool's slots. It
// grows while the host uses it and latency stays near the uncongested one, up
// to the whole pool, so a host with more demand than others uses what they
// leave idle. It shrinks on sheds, timeouts and rising latency. Batch has a
// second, more cautious limit under the first; below one request at a time it
// is kept by pausing between requests.
package limit

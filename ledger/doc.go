// Package ledger is a store of idempotency keys: it ensures that an order is
// dispatched at most once across all entry hosts. It implements lb.Ledger
// over the table service.
//
// Each order's key has one row. Before dispatch, a host writes a claim on the
// condition that no row exists. A claim never expires by a timer, because a
// host that was paused may resume and dispatch. When the request has ended, its
// outcome replaces the claim, on the condition that the claim's revision is
// unchanged:
//
//	absent -> claimed -> done      the order ran; a small response is stored
//	                  -> unknown   the order may have run
//	                  -> released  the order did not run; the key is free
//
// A write whose acknowledgement was lost is repeated under the same writer ID.
// If the repeat fails on its condition, the writer ID of the existing row shows
// who holds the key. When this can't be determined in time, the request is
// refused as not run, and its host writes a released row in place of the claim,
// which may or may not exist. The released row also makes a delayed write of the
// claim fail. A host that dies between claim and outcome leaves the claim, which
// is reported as in flight with an unknown outcome.
//
// Writes of many orders share one transaction (group commit). A write queue
// sends at once when idle and batches what arrives during a call. A circuit
// breaker refuses claims at once while the table service fails; one probe read
// per Options.ProbeInterval (1 s by default) detects its recovery.
//
// Rows expire after Options.Retention, which must exceed every route's timeout:
// a request is dispatched before its deadline or not at all.
package ledger

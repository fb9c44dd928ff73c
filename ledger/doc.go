// Package ledger keeps orders at most once across entry hosts: it implements
// ports.Ledger over the table service.
//
// An order's key has one row. A claim is written before dispatch with the
// condition that no row stands there, and is never taken over on a timer: a
// holder that was paused may wake and dispatch. The end of the request replaces
// the claim, on condition of the claim's revision:
//
//	absent -> claimed -> done      the order ran; small answers are kept
//	                  -> unknown   the order may have run
//	                  -> released  the order did not run; the key is free
//
// A write whose acknowledgement was lost is sent again with the same writer: the
// row that then stands in the way names who holds the key. When that can't be
// learned in time the request is refused as not run, and its host later turns
// what it may have claimed into released; a released row also keeps out a claim
// that arrives late. A host that dies between claim and end leaves the claim,
// which is reported as in flight with an unknown outcome.
//
// Writes of many orders share one transaction. A lane sends at once when idle
// and gathers what arrives meanwhile. A breaker refuses claims at once while
// the table service fails, and one read a second looks for its return.
//
// Rows expire after Options.Retention, which must exceed every route's timeout:
// a request is dispatched before its deadline or never.
package ledger

// Package retry bounds further attempts, so that retries never amplify an
// overload.
//
// A Budget holds one token bucket per pool: every first attempt pays in a
// fraction of a token and every further attempt takes a whole one. A small
// floor a second, shared by the entry hosts, lets pools with little traffic
// retry at all.
//
// A call may pass many hosts on its way down. What it may still spend travels
// with it as an Allowance, which only shrinks: the deadline by the time that
// has passed, the retries to none as soon as one host keeps them for itself.
// So a fault at the bottom is retried by one level alone, and a level that
// loses the headers is still held by its own budget.
package retry

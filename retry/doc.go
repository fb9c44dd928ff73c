// Package retry bounds further attempts, so that retries never amplify an
// overload.
//
// A Budget holds one token bucket per pool: every first attempt pays in a
// fraction of a token and every further attempt takes a whole one. A small
// floor a second, shared by the entry hosts, lets pools with little traffic
// retry at all.
//
// A call may pass many hosts on its way down. An Allowance carries what it may
// still spend, for callers of this package that want a fault at the bottom to
// be retried by one level alone: the deadline shrinks by the time that has
// passed, the retries to none as soon as one host keeps them for itself. The
// project's own forwarding path passes the deadline on likewise, but lets the
// lowest level retry first and withdraws retries from further attempts alone:
// a fault below nine levels with one retry each is met ten times, within the
// budgets.
package retry

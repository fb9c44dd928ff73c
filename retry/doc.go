// Package retry limits retries, so that they never amplify an overload. A
// retry is any further attempt at a request after its first.
//
// A Budget is a retry budget with one token bucket per pool: each first attempt
// deposits a fraction of a token, and each further attempt takes a whole one. A
// small constant rate of tokens, shared by the entry hosts, lets pools with
// little traffic retry at all.
//
// A call may pass through many levels of services. CallLimits carries its
// remaining deadline and retries, for users of this package that want a fault
// at the lowest level to be retried by one level only: the deadline shrinks by
// the elapsed time, and as soon as one host may retry, those below it may not.
// The project's own forwarding path also passes the deadline on, but lets the
// lowest level retry first and withdraws retries only from further attempts: a
// fault below nine levels with one retry each then causes ten attempts at the
// lowest level, within the budgets.
package retry

// Package discovery is the service discovery of pools that name a service: it
// polls the platform's host list and turns it into the pools' targets.
//
// The list lags: a listed target may be gone and a new one unlisted. A target
// that is marked as leaving, or that is no longer listed, gets no new requests
// from then on and is removed after a delay. A list that lost most of a
// service's targets from one read to the next is more often wrong than right.
// Its removals take effect only when the reads agree for a longer time; until
// then the targets are kept, as the requests to them show which still answer.
// A failed read of the list changes nothing.
//
// All decisions are made by catalog, which does no I/O: it takes the lists read
// and the current time and returns the targets. Resolver reads the list for it,
// less often the larger the list is.
package discovery

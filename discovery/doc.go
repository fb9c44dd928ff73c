// Package discovery is the service discovery of pools that name a service: it
// polls the platform's host list and turns it into the pools' targets.
//
// The list lags: a listed target may be gone and a new one unlisted. A target
// that the list marks as leaving, or that is no longer listed, is draining: it
// gets no new requests. An unlisted one is removed after a delay. A list that
// lost most of a service's targets from one read to the next is more often wrong
// than right. Its removals take effect only when the reads agree for a longer
// time; until then the targets keep getting requests, which show which of them
// still answer. A failed read of the list changes nothing.
//
// All decisions are made by catalog, which does no I/O: it takes the lists read
// and the current time and returns the targets. Resolver reads the list for it,
// less often the larger the list is.
package discovery

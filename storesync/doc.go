// Package storesync keeps every host's copy of the store's content up to date
// while only one host, the reader, polls the store.
//
// All hosts compute the same reader from the member list (package roster). The
// others, the followers, send it a sync request several times a second and get
// what changed since the version that they have. A follower reads the store
// itself as soon as the reader does not respond or its data is too old.
//
// Each response carries the age of its data, and a follower counts the time
// since it sent the request on top. So whichever host fails, a follower's data
// is older than its own polling would make it by at most one sync request.
package storesync

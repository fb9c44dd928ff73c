// Package config installs accepted versions of the routing configuration (the
// tables of package table) on every host and never goes back to an older one.
//
// A Syncer learns of versions from three kinds of sources: the table service,
// whose small version row it polls; peers, which announce the version they
// have installed; and the snapshot in the object store. It fetches the encoded
// tables from the reachable source with the highest version. The installed
// version is a single pointer that is swapped atomically and whose version
// only grows.
//
// At startup a host collects versions from all sources for at most the
// discovery timeout. It then installs no version older than the highest it
// learned of, unless that version can't be fetched from any source before the
// longer catch-up timeout. A host that loses contact with its sources keeps
// its installed version and reports the lost contact in Status.
//
// All decisions are made by core, a deterministic state machine without I/O:
// it takes events and the current time and returns actions. Syncer carries
// out the actions.
package config

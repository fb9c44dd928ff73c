// Package placement chooses the target of a request by what the targets say
// of themselves at that moment.
//
// The speed of a target changes many times a second, so that a report on an
// earlier answer says little. Before a request is sent, a few targets are
// asked for their load at the same time (Asker); the one that is expected to
// end the request first gets it (estimate.go). Reports a few milliseconds old
// are used again, with what this host sent since.
//
// Where no target has room, the request waits at this host and the targets are
// asked again, until a target has room or it is plain that the request can't
// be served in time; then it is refused at once (patience.go). Targets whose
// calls fail are set aside and tried again one call at a time (health.go),
// whatever they say of their health.
//
// Targets that tell no load are not asked: there this host's own counts and
// latencies decide.
package placement

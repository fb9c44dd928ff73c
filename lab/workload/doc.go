// Package workload holds what the load tool and the upstream stand-in agree
// on: the headers of a lab request, the distribution of service times, and the
// body that answers a token, so that each side can be checked by the other.
package workload

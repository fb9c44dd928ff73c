// Package quarantine bounds the harm of a request that ends each target that runs
// it. Such a request comes again, with the same content, at any host.
//
// A target may run several requests when it ends, and a connection may be lost
// though its target lives. So a request is judged by what its copies have in common:
// they were lost at several targets that were found to have ended, and none of them
// ever got a response. A Book holds that evidence and decides. A Guard shares it
// among the hosts: the host that lost a request and, independently, a few witnesses
// check that the target has ended; what makes a request suspect goes to all hosts
// and into the store, so that it outlasts restarts and hosts that don't reach each
// other.
package quarantine

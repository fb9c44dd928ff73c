// Package desk lets one host place the requests of a pool, or of a part of a
// large one, for all hosts.
//
// What a target has room for is known exactly by nobody but the one who fills
// it. So the hosts agree on one of them for each part of a pool (package
// roster), its desk. The host that received a request asks the desk for a
// target, sends the request there itself, and tells the desk how it ended, with
// the load that the answer reported. The desk alone looks at the targets, queues
// the requests of all hosts in one order, and knows of a failing target as soon
// as any host does. Only a few short messages cross the network; requests and
// answers take the direct way.
//
// A desk decides nothing about what may be sent again or whether a request
// ran: that stays with the host that received it. So a desk may die, freeze or
// be cut off at any moment, and there may be two. A host that gets no sign of
// life within firstAnswer asks once more, then passes the desk over for a while
// and places the request by looking itself.
package desk

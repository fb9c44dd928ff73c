// Package platformd is a small in-memory stand-in for the platform: the table
// service (DynamoDB JSON 1.0 protocol), the object store (S3 REST protocol,
// path style) and the lagging host list. It speaks just the operations that
// chestnutfield uses and rejects others with the error that the published
// protocol has for it.
//
// All of it is served on one address. A POST to / with an X-Amz-Target header
// is a table call; /hostlist, /faults and /stats belong to the lab; any other
// path names a bucket or an object.
//
// Faults are switched while it runs, by Server.SetFaults or POST /faults.
package platformd

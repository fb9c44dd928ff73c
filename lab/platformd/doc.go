// Package platformd is an in-memory stand-in for the platform in tests and lab
// experiments: the table service (DynamoDB JSON 1.0 protocol), the object store
// (S3 REST protocol, path-style addresses) and the host list, which shows changes
// after a configurable lag. It supports only the operations that chestnutfield
// uses and rejects others with the error that the published protocol defines.
//
// All services share one address. A POST to / with an X-Amz-Target header is a
// table call; /hostlist, /faults and /stats are endpoints of the stand-in itself;
// any other path names a bucket or an object.
//
// Server.SetFaults and POST /faults inject faults at run time.
package platformd

// Package workload defines what the load generator and the stand-in upstreams
// share: the headers of a lab request, the distribution of service times, and
// the body that answers a request. The body follows from the request's token, so
// the load generator can check every response.
package workload

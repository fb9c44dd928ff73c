// Package upstream is the HTTP/1.1 client for targets, and for peers that
// requests are handed over to. It uses the parser of fasthttp on a connection
// pool of its own. It sends each request at most once, never retries, and reuses
// a connection only if the previous exchange on it completed and left no unread
// bytes. A request to a target that is not idempotent gets a new connection, so that
// no copy of an earlier response is taken for its own.
//
// An Exchange is one request to one target. Its owner sends the request with
// Send or Writer, calls ReadHeader, reads the body with Read, and calls
// Close. Cancel may be called from any goroutine and closes the connection.
//
// The number of connections to a target is bounded by OpenOptions.Limit, this
// host's share of the connections that the target accepts.
package upstream

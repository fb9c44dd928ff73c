// Package upstream is the client towards targets: HTTP/1.1 exchanges on the
// codec of fasthttp over connections of its own. It sends each request at most
// once, never retries, and keeps a connection only when the exchange on it
// ended whole and in step.
//
// An Exchange is one request to one target. Its owner calls Send, ReadHeader,
// reads Body and calls Close; Cancel may come from any goroutine and closes
// the connection. The connections of a target are bounded by the limit that
// the caller passes, its share of what the target accepts.
package upstream

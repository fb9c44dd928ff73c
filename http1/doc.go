// Package http1 decides whether bytes are HTTP/1.1 responses (RFC 9110, RFC
// 9112). The parsers of package fasthttp and net/http repair much of what they
// read: they accept a status of 000, cut spaces from the names of header lines and
// leave out lines that they can't read. What comes out may then differ from what
// the sender sent, or from what the next recipient makes of it.
//
// A Validator takes the bytes of a connection as they arrive and accepts or
// rejects them; it repairs nothing, and knows neither clocks nor sockets. A parser
// never gets to see a header or trailer with a rejected line, since the blank line
// at its end is not passed on. Reader and Conn put a Validator between a connection
// and such a parser. CheckRecorded decides the same of a response that was stored.
//
// A Monitor counts and logs the responses that are rejected.
package http1

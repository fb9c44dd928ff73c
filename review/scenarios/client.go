//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var lastID atomic.Int64

// newID returns an ID that no other request has.
func newID() string { return fmt.Sprintf("%016x", 0x1c41d07b00000000+lastID.Add(1)) }

// answer is what a client got.
type answer struct {
	status    int
	signature string
	id        string
	body      string
	header    http.Header
	err       error
}

func (a answer) String() string {
	if a.err != nil {
		return "no complete answer: " + a.err.Error()
	}
	return fmt.Sprintf("%d signature %q body %d bytes", a.status, a.signature, len(a.body))
}

// clientConn is a client's connection to an entry host.
type clientConn struct {
	net.Conn
	br *bufio.Reader
}

func dialClient(addr string) (*clientConn, error) {
	nc, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: nc, br: bufio.NewReader(nc)}, nil
}

// head returns a request header; body lengths below 0 send none.
func head(method, host, path, id string, deadline time.Duration, length int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", method, path, host, id, deadline.Milliseconds())
	if length >= 0 {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", length)
	}
	b.WriteString("\r\n")
	return b.String()
}

// read reads one answer.
func (c *clientConn) read(method string, until time.Time) (a answer) {
	_ = c.SetReadDeadline(until)
	resp, err := http.ReadResponse(c.br, &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	if resp.Close {
		resp.Header.Set("Connection", "close")
	}
	body, err := io.ReadAll(resp.Body)
	a = answer{status: resp.StatusCode, signature: resp.Header.Get("Response-Signature"), id: resp.Header.Get("Request-Id"), body: string(body), header: resp.Header, err: err}
	return a
}

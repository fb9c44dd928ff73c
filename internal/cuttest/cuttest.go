// Package cuttest checks that HTTP clients don't take a part of a response for all of
// it.
package cuttest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
)

// Framing is a way in which a response shows where its body ends.
type Framing string

// The framings of HTTP/1.1.
const (
	Length     Framing = "length"
	Chunked    Framing = "chunked"
	UntilClose Framing = "until the connection is closed"
)

// response returns a response with status 200.
func (f Framing) response(body string) string {
	switch f {
	case Length:
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-A: 1\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	case Chunked:
		half := len(body) / 2
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-A: 1\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%x\r\n%s\r\n0\r\nX-B: 1\r\n\r\n",
			half, body[:half], len(body)-half, body[half:])
	default:
		return "HTTP/1.1 200 OK\r\nX-A: 1\r\n\r\n" + body
	}
}

// Server answers each request with a part of a response and then closes or resets the
// connection.
type Server struct {
	Addr netip.AddrPort

	mu    sync.Mutex
	part  string
	reset bool
}

// Start starts a server that ends with the test.
func Start(t *testing.T) *Server {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	s := &Server{Addr: ln.Addr().(*net.TCPAddr).AddrPort()}
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go s.serve(nc.(*net.TCPConn))
		}
	}()
	return s
}

func (s *Server) serve(nc *net.TCPConn) {
	defer nc.Close()
	r, err := http.ReadRequest(bufio.NewReader(nc))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = io.WriteString(nc, s.part)
	if s.reset {
		_ = nc.SetLinger(0)
	}
}

func (s *Server) set(part string, reset bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.part, s.reset = part, reset
}

// Check makes a call for every part of a response with a body, in all framings, and
// fails the test when one gives a result that differs from that of the whole response.
func (s *Server) Check(t *testing.T, body string, call func() (any, error)) {
	t.Helper()
	s.set(Length.response(body), false)
	want, err := call()
	if err != nil {
		t.Fatalf("the whole response gives %v; expected a result", err)
	}
	for _, f := range []Framing{Length, Chunked, UntilClose} {
		s.checkParts(t, f, f.response(body), fmt.Sprint(want), call)
	}
}

func (s *Server) checkParts(t *testing.T, f Framing, response, want string, call func() (any, error)) {
	t.Helper()
	for n := range len(response) + 1 {
		for _, reset := range []bool{false, true} {
			s.set(response[:n], reset)
			got, err := call()
			switch {
			case err == nil && fmt.Sprint(got) != want:
				t.Errorf("%s, reset %v: %d of %d bytes, %q, give %v; expected an error or %v", f, reset, n, len(response), response[:n], got, want)
				return
			case err != nil && n == len(response) && !reset && f != UntilClose:
				t.Errorf("%s: the whole response gives %v; expected a result", f, err)
			}
		}
	}
}

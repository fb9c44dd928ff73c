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

// response returns a response with status 200 and one more header line.
func (f Framing) response(line, body string) string {
	head := "HTTP/1.1 200 OK\r\n" + line + "\r\n"
	switch f {
	case Length:
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	case Chunked:
		half := len(body) / 2
		return fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%x\r\n%s\r\n0\r\nX-B: 1\r\n\r\n",
			head, half, body[:half], len(body)-half, body[half:])
	default:
		return head + "\r\n" + body
	}
}

// Server answers each request with a part of a response and then closes or resets the
// connection.
type Server struct {
	Addr netip.AddrPort
	// HeaderLine is a line of the header of all responses.
	HeaderLine string
	// Strict is true when a part of a framed response must give an error, even where
	// the result would be that of the whole.
	Strict bool
	// Framings are the framings that Check tries, by default all.
	Framings []Framing

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
	s := &Server{Addr: ln.Addr().(*net.TCPAddr).AddrPort(), HeaderLine: "X-A: 1", Framings: []Framing{Length, Chunked, UntilClose}}
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

// Check makes a call for every part of a response with a body, in each framing, and
// fails the test when one gives a result that differs from that of the whole response.
func (s *Server) Check(t *testing.T, body string, call func() (any, error)) {
	t.Helper()
	s.set(Length.response(s.HeaderLine, body), false)
	want, err := call()
	if err != nil {
		t.Fatalf("the whole response gives %v; expected a result", err)
	}
	for _, f := range s.Framings {
		s.checkParts(t, f, f.response(s.HeaderLine, body), fmt.Sprint(want), call)
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
			case err == nil && s.Strict && n < len(response) && f != UntilClose:
				t.Errorf("%s, reset %v: %d of %d bytes, %q, give a result; expected an error", f, reset, n, len(response), response[:n])
				return
			case err != nil && n == len(response) && !reset && f != UntilClose:
				t.Errorf("%s: the whole response gives %v; expected a result", f, err)
			}
		}
	}
}

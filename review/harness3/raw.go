//go:build review

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// keptConn is a client's connection on which it sends one request after the other.
type keptConn struct {
	net.Conn
	br *bufio.Reader
	// answers is the number of answers so far.
	answers int
}

func dial(addr string) (*keptConn, error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &keptConn{Conn: c, br: bufio.NewReader(c)}, nil
}

// answer is a complete answer.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// requestText returns the bytes of a request.
func requestText(method, path, id string, deadline time.Duration, body string, header ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", method, path, routeHost, id, deadline.Milliseconds())
	for _, line := range header {
		b.WriteString(line + "\r\n")
	}
	if body != "" || method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	return b.String()
}

// send writes a request whole and reads its answer.
func (c *keptConn) send(text string, wait time.Duration) (answer, error) {
	_ = c.SetDeadline(time.Now().Add(wait))
	if _, err := io.WriteString(c, text); err != nil {
		return answer{}, err
	}
	return c.read()
}

// read reads an answer.
func (c *keptConn) read() (answer, error) {
	resp, err := http.ReadResponse(c.br, nil)
	if err != nil {
		return answer{}, err
	}
	defer resp.Body.Close()
	var body bytes.Buffer
	if _, err := io.Copy(&body, resp.Body); err != nil {
		return answer{}, err
	}
	c.answers++
	return answer{status: resp.StatusCode, header: resp.Header, body: body.Bytes()}, nil
}

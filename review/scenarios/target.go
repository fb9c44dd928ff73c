//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

const healthPath = "/healthz"

// target is one target. It serves each connection one request at a time.
type target struct {
	id, service string
	slots       int
	record      *record
	ln          net.Listener
	// serve answers a request; false closes the connection.
	serve func(c *targetConn, q *request) bool

	mu      sync.Mutex
	running int
	conns   map[net.Conn]bool
	nextID  int
}

// targetConn is one connection to a target.
type targetConn struct {
	net.Conn
	br     *bufio.Reader
	target *target
	number int
}

// request is the header of a request.
type request struct {
	line, method, path string
	header             map[string]string
	length             int
	chunked            bool
}

func (q *request) id() string { return q.header["request-id"] }

func newTarget(id, service string, slots int, r *record, serve func(c *targetConn, q *request) bool) (*target, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	t := &target{id: id, service: service, slots: slots, record: r, ln: ln, serve: serve, conns: map[net.Conn]bool{}}
	go t.accept()
	return t, nil
}

func (t *target) addr() string { return t.ln.Addr().String() }

func (t *target) accept() {
	for {
		nc, err := t.ln.Accept()
		if err != nil {
			return
		}
		t.mu.Lock()
		t.nextID++
		c := &targetConn{Conn: nc, br: bufio.NewReaderSize(nc, 64<<10), target: t, number: t.nextID}
		t.conns[nc] = true
		t.mu.Unlock()
		go func() {
			c.loop()
			_ = nc.Close()
			t.mu.Lock()
			delete(t.conns, nc)
			t.mu.Unlock()
		}()
	}
}

// stop closes the listener and all connections.
func (t *target) stop() {
	_ = t.ln.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.conns {
		_ = c.Close()
	}
}

func (c *targetConn) loop() {
	for {
		q, err := readRequest(c.br)
		if err != nil {
			if err != io.EOF {
				c.target.record.add("target %s connection %d: %v", c.target.id, c.number, err)
			}
			return
		}
		if q.method == "GET" && q.path == healthPath {
			c.reply("200 OK", q, "Instance-Id: "+c.target.id+"\r\nServer-Load: "+c.target.load()+"\r\n", "")
			continue
		}
		if want := q.header["expected-instance"]; want != "" && want != c.target.id {
			c.reply("421 Misdirected Request", q, "Instance-Id: "+c.target.id+"\r\nNot-Executed: 1\r\n", "")
			continue
		}
		c.target.enter(1)
		keep := c.target.serve(c, q)
		c.target.enter(-1)
		if !keep {
			return
		}
	}
}

func (t *target) enter(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running += n
}

func (t *target) load() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprintf("%d,0,%d,100", min(t.running, t.slots), t.slots)
}

// reply writes a response with a body of known length.
func (c *targetConn) reply(status string, q *request, lines, body string) {
	var id string
	if q.id() != "" {
		id = "Request-Id: " + q.id() + "\r\n"
	}
	_ = c.SetWriteDeadline(time.Now().Add(5 * time.Second))
	_, _ = io.WriteString(c, "HTTP/1.1 "+status+"\r\n"+id+lines+"Content-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
}

// signature is the line that marks a target's own answer.
func signature(q *request) string { return "Response-Signature: sig-" + q.id() + "\r\n" }

// readRequest reads a request header.
func readRequest(br *bufio.Reader) (*request, error) {
	line, err := br.ReadString('\n')
	if err != nil {
		if line == "" {
			return nil, io.EOF
		}
		return nil, fmt.Errorf("header ends early: %q", line)
	}
	q := &request{line: strings.TrimRight(line, "\r\n"), header: map[string]string{}}
	parts := strings.Split(q.line, " ")
	if len(parts) != 3 || !strings.HasPrefix(parts[2], "HTTP/1.") {
		return nil, fmt.Errorf("no request line: %.60q", line)
	}
	q.method, q.path = parts[0], parts[1]
	for {
		line, err := br.ReadString('\n')
		if err != nil {
			return nil, fmt.Errorf("header ends early: %q", line)
		}
		line = strings.TrimRight(line, "\r\n")
		if line == "" {
			break
		}
		name, value, _ := strings.Cut(line, ":")
		q.header[strings.ToLower(name)] = strings.TrimSpace(value)
	}
	q.length, _ = strconv.Atoi(q.header["content-length"])
	q.chunked = strings.EqualFold(q.header["transfer-encoding"], "chunked")
	return q, nil
}

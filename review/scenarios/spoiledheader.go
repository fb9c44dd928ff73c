//go:build review

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	spoilTargets  = 6
	spoilingOf    = 2
	spoilShare    = 0.02
	spoilSpell    = 5 * time.Second
	spoilCalm     = 2 * time.Second
	spoilSpells   = 3
	lookupClients = 14
	lookupWork    = 8 * time.Millisecond
	lookupPause   = 25 * time.Millisecond
	lookupWait    = 1200 * time.Millisecond
)

// spoiled are the ways in which a target spoils an answer: wrong bytes in its header,
// after which it is no answer in HTTP/1.1 (RFC 9112, sections 4 and 5).
var spoiled = []func(answer string) string{
	// A control byte in the reason of the status line.
	func(a string) string { return strings.Replace(a, " OK\r\n", " O\x00\r\n", 1) },
	// A space in the name of a header line.
	func(a string) string { return strings.Replace(a, "Server-Load", "Server Load", 1) },
	// A control byte in the value of a header line.
	func(a string) string { return strings.Replace(a, "Server-Load: ", "Server-Load: \x00", 1) },
	// A control byte in the name of a header line.
	func(a string) string { return strings.Replace(a, "Server-Load", "Server\x01Load", 1) },
	// A status line without a version.
	func(a string) string { return strings.Replace(a, "HTTP/1.1", "HT\x00P/1.1", 1) },
	// A header line without a colon.
	func(a string) string { return strings.Replace(a, "Server-Load:", "Server-Load", 1) },
}

// spoiledHeader: some targets spoil a few of their answers. The case counts the answers
// that clients get and that are none in the protocol.
func spoiledHeader(d *deployment, trouble bool) (int, error) {
	var spoiling atomic.Bool
	var spoiledCount, bad, answered atomic.Int64
	stop := make(chan struct{})
	defer close(stop)
	body := strings.Repeat("die ", 200)
	serve := func(c *targetConn, q *request) bool {
		time.Sleep(lookupWork)
		a := "HTTP/1.1 200 OK\r\nRequest-Id: " + q.id() + "\r\n" + signature(q) + "Server-Load: " + c.target.load() +
			"\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
		if strings.HasPrefix(c.target.id, "i-spoils") && spoiling.Load() && rand.Float64() < spoilShare {
			n := spoiledCount.Add(1)
			way := int(n) % len(spoiled)
			a = spoiled[way](a)
			d.record.add("target %s spoils its answer to %s in way %d: %.140q", c.target.id, q.id(), way, a)
		}
		d.record.add("target %s runs %s", c.target.id, q.id())
		_, _ = io.WriteString(c, a)
		return true
	}
	for i := range spoilTargets {
		id := fmt.Sprintf("i-%d", i)
		if i < spoilingOf {
			id = fmt.Sprintf("i-spoils-%d", i)
		}
		t, err := newTarget(id, "specbook", 2, d.record, serve)
		if err != nil {
			return 0, err
		}
		defer t.stop()
		d.register(t, stop)
	}
	d.configure(7, []route{
		{Name: "r-lookup", Host: "desk.example", Prefix: "/spec/", Kind: "idempotent", TimeoutS: 1, LatencySloS: 0.2, Priority: 0, Service: "specbook", MaxAttempts: 2},
	}, "specbook")
	if err := d.addHosts(2); err != nil {
		return 0, err
	}
	if err := d.startHosts(); err != nil {
		return 0, err
	}
	end := make(chan struct{})
	var clients sync.WaitGroup
	for i := range lookupClients {
		clients.Go(func() {
			for {
				select {
				case <-end:
					return
				case <-time.After(lookupPause):
				}
				id := newID()
				header, err := lookup(d.hosts[i%len(d.hosts)], id)
				answered.Add(1)
				if err != nil {
					d.record.add("client: GET %s: %v", id, err)
					continue
				}
				problem := checkHeader(header)
				if problem == "" {
					d.record.add("client: GET %s: %.12s", id, header)
					continue
				}
				bad.Add(1)
				d.record.add("client: GET %s: %s: %.200q", id, problem, header)
			}
		})
	}
	time.Sleep(spoilCalm)
	for range spoilSpells {
		spoiling.Store(trouble)
		time.Sleep(spoilSpell)
		spoiling.Store(false)
		time.Sleep(spoilCalm)
	}
	close(end)
	clients.Wait()
	d.record.add("%d answers, %d spoiled by targets, %d that clients got are none in the protocol", answered.Load(), spoiledCount.Load(), bad.Load())
	return int(bad.Load()), nil
}

// lookup sends a request on a new connection and returns the header of the answer with
// its blank line, after the body has arrived completely.
func lookup(h *host, id string) ([]byte, error) {
	c, err := dialClient(h.callers)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(lookupWait))
	if _, err := io.WriteString(c, head("GET", "desk.example", "/spec/1", id, lookupWait, -1)); err != nil {
		return nil, err
	}
	var header []byte
	length := 0
	for {
		line, err := c.br.ReadSlice('\n')
		if err != nil && err != bufio.ErrBufferFull {
			return nil, fmt.Errorf("answer ends early: %w", err)
		}
		header = append(header, line...)
		if string(line) == "\r\n" {
			break
		}
		if name, value, ok := bytes.Cut(line, []byte(":")); ok && strings.EqualFold(string(name), "Content-Length") {
			length, _ = strconv.Atoi(strings.TrimSpace(string(value)))
		}
	}
	_, err = io.CopyN(io.Discard, c.br, int64(length))
	return header, err
}

// checkHeader returns what is wrong with a response header by RFC 9112, "" if nothing.
func checkHeader(header []byte) string {
	lines := strings.Split(strings.TrimSuffix(string(header), "\r\n\r\n"), "\r\n")
	version, reason, _ := strings.Cut(lines[0], " ")
	status, reason, _ := strings.Cut(reason, " ")
	if version != "HTTP/1.1" || len(status) != 3 || !fieldText(reason) {
		return "not a status line"
	}
	for _, line := range lines[1:] {
		name, value, ok := strings.Cut(line, ":")
		if !ok || name == "" || strings.ContainsFunc(name, func(r rune) bool {
			return r <= ' ' || r >= 0x7f || strings.ContainsRune("()<>@,;:\\\"/[]?={}", r)
		}) {
			return "not the name of a header line"
		}
		if !fieldText(value) {
			return "not the value of a header line"
		}
	}
	return ""
}

// fieldText reports whether a text holds no control bytes but tabs.
func fieldText(text string) bool {
	for i := range len(text) {
		if b := text[i]; b < ' ' && b != '\t' || b == 0x7f {
			return false
		}
	}
	return true
}

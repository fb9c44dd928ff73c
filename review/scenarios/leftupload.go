package main

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	leftBody   = 200_000
	leftSent   = 120_000
	leftRounds = 150
)

// leftUpload: clients leave in the middle of a long body that its target has answered
// early. The target keeps the connection and reads on; it counts other bytes that it
// gets where the rest of the body is due.
func leftUpload(d *deployment, trouble bool) (int, error) {
	var foreign, early atomic.Int64
	stop := make(chan struct{})
	defer close(stop)
	serve := func(c *targetConn, q *request) bool {
		if q.length == 0 {
			time.Sleep(2 * time.Millisecond)
			c.reply("200 OK", q, signature(q)+"Server-Load: "+c.target.load()+"\r\n", "fine")
			return true
		}
		// The beginning of the body is enough for the answer.
		first := make([]byte, 1000)
		if _, err := io.ReadFull(c.br, first); err != nil {
			return false
		}
		c.reply("200 OK", q, signature(q)+"Server-Load: "+c.target.load()+"\r\n", "booked")
		early.Add(1)
		rest := make([]byte, q.length-len(first))
		n, err := io.ReadFull(c.br, rest)
		if i := bytes.IndexFunc(rest[:n], func(r rune) bool { return r != 'b' }); i >= 0 {
			foreign.Add(1)
			end := min(i+160, n)
			d.record.add("target %s connection %d: request %s: byte %d of the body is not the client's: %q", c.target.id, c.number, q.id(), len(first)+i, rest[i:end])
		}
		return err == nil
	}
	for _, id := range []string{"i-one", "i-two"} {
		t, err := newTarget(id, "intake", 4, d.record, serve)
		if err != nil {
			return 0, err
		}
		defer t.stop()
		d.register(t, stop)
	}
	d.configure(7, []route{
		{Name: "r-post", Host: "desk.example", Prefix: "/post/", Kind: "non_idempotent", TimeoutS: 3, LatencySloS: 0.8, Priority: 1, Service: "intake", MaxAttempts: 2},
		{Name: "r-view", Host: "desk.example", Prefix: "/view/", Kind: "idempotent", TimeoutS: 2, LatencySloS: 0.6, Priority: 2, Service: "intake", MaxAttempts: 2},
	}, "intake")
	if err := d.addHosts(1); err != nil {
		return 0, err
	}
	if err := d.startHosts(); err != nil {
		return 0, err
	}
	var clients sync.WaitGroup
	end := make(chan struct{})
	for range 4 {
		clients.Go(func() { viewUntil(d, d.hosts[0], end) })
	}
	for range leftRounds {
		if err := postAndLeave(d, d.hosts[0], trouble); err != nil {
			d.record.add("client: %v", err)
		}
		time.Sleep(20 * time.Millisecond)
	}
	close(end)
	clients.Wait()
	d.record.add("%d long requests were answered early", early.Load())
	return int(foreign.Load()), nil
}

// viewUntil sends idempotent requests on a kept connection until end is closed.
func viewUntil(d *deployment, h *host, end <-chan struct{}) {
	var c *clientConn
	for {
		select {
		case <-end:
			return
		case <-time.After(5 * time.Millisecond):
		}
		if c == nil {
			var err error
			if c, err = dialClient(h.callers); err != nil {
				continue
			}
		}
		id := newID()
		_, _ = io.WriteString(c, head("GET", "desk.example", "/view/1", id, 2*time.Second, -1))
		a := c.read("GET", time.Now().Add(2500*time.Millisecond))
		if a.err != nil || a.status != 200 {
			d.record.add("client: GET %s: %v", id, a)
			_ = c.Close()
			c = nil
		}
	}
}

// postAndLeave sends a long request; with trouble, the client leaves before it has sent
// all of it.
func postAndLeave(d *deployment, h *host, trouble bool) error {
	c, err := dialClient(h.callers)
	if err != nil {
		return err
	}
	defer c.Close()
	id := newID()
	if _, err := io.WriteString(c, head("POST", "desk.example", "/post/1", id, 2*time.Second, leftBody)); err != nil {
		return err
	}
	body := bytes.Repeat([]byte("b"), leftBody)
	if _, err := c.Write(body[:leftSent]); err != nil {
		return err
	}
	time.Sleep(60 * time.Millisecond)
	if trouble {
		d.record.add("client: POST %s: leaves after %d of %d bytes", id, leftSent, leftBody)
		return nil
	}
	if _, err := c.Write(body[leftSent:]); err != nil {
		return err
	}
	a := c.read("POST", time.Now().Add(2*time.Second))
	d.record.add("client: POST %s: %v", id, a)
	return nil
}

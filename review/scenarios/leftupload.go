//go:build review

package main

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// The load of the case: a few clients send long requests one after another, others short
// ones to the same service. Clients leave during two spells, within the dose of give_up.
const (
	longClients   = 7
	leavingOfLong = 4
	shortClients  = 7
	longBody      = 200_000
	sentAtLeave   = 120_000
	leaveAfter    = 60 * time.Millisecond
	spell         = 5 * time.Second
	calm          = 3 * time.Second
	spells        = 3
	longDeadline  = 2 * time.Second
)

// leftUpload: clients leave in the middle of a long body that its target has answered
// early. The target keeps the connection and reads on; the case counts the requests in
// whose bodies the target gets other bytes than their client's.
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
			d.record.add("target %s connection %d: request %s: from byte %d of %d on, the body is not its client's: %q", c.target.id, c.number, q.id(), len(first)+i, q.length, rest[i:min(i+160, n)])
		}
		return err == nil
	}
	for _, id := range []string{"i-one", "i-two"} {
		t, err := newTarget(id, "intake", 6, d.record, serve)
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
	var leaving atomic.Bool
	end := make(chan struct{})
	for range shortClients {
		clients.Go(func() { viewUntil(d, d.hosts[0], end) })
	}
	for i := range longClients {
		clients.Go(func() { postUntil(d, d.hosts[0], i < leavingOfLong, &leaving, end) })
	}
	time.Sleep(calm)
	for range spells {
		leaving.Store(trouble)
		d.record.add("spell in which clients leave begins: %v", trouble)
		time.Sleep(spell)
		leaving.Store(false)
		d.record.add("spell ends")
		time.Sleep(calm)
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
		case <-time.After(30 * time.Millisecond):
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
		d.record.add("client: GET %s: %v", id, a)
		if a.err != nil || a.status != 200 {
			_ = c.Close()
			c = nil
		}
	}
}

// postUntil sends long requests, each on a new connection, until end is closed. A client
// that leaves does so while leaving is set.
func postUntil(d *deployment, h *host, leaves bool, leaving *atomic.Bool, end <-chan struct{}) {
	body := bytes.Repeat([]byte("b"), longBody)
	for {
		select {
		case <-end:
			return
		case <-time.After(30 * time.Millisecond):
		}
		post(d, h, body, leaves && leaving.Load())
	}
}

// post sends one long request. A client that leaves closes its connection before it has
// sent all of the body.
func post(d *deployment, h *host, body []byte, leave bool) {
	c, err := dialClient(h.callers)
	if err != nil {
		return
	}
	defer c.Close()
	id := newID()
	_ = c.SetWriteDeadline(time.Now().Add(longDeadline))
	if _, err := io.WriteString(c, head("POST", "desk.example", "/post/1", id, longDeadline, len(body))); err != nil {
		return
	}
	if _, err := c.Write(body[:sentAtLeave]); err != nil {
		d.record.add("client: POST %s: %v", id, err)
		return
	}
	time.Sleep(leaveAfter)
	if leave {
		d.record.add("client: POST %s: leaves after %d of %d bytes", id, sentAtLeave, len(body))
		return
	}
	if _, err := c.Write(body[sentAtLeave:]); err != nil {
		d.record.add("client: POST %s: %v", id, err)
		return
	}
	d.record.add("client: POST %s: %v", id, c.read("POST", time.Now().Add(longDeadline)))
}

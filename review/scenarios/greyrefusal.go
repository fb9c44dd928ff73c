//go:build review

package main

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"time"
)

const (
	greyTargets = 7
	greyClients = 14
	greyShare   = 0.4
	greySpell   = 6 * time.Second
	greyBefore  = 3 * time.Second
	orderWork   = 60 * time.Millisecond
	orderEvery  = 60 * time.Millisecond
	orderWait   = 1500 * time.Millisecond
)

// promises are the statuses that promise that a request has not run and never will.
var promises = []int{408, 421, 429, 503}

// greyRefusal: one of seven targets fails part of its orders with 503 after it has begun
// to work on them, without the header that says that it has not. The case counts the
// orders that ran and were answered with a promise that they had not.
func greyRefusal(d *deployment, trouble bool) (int, error) {
	var mu sync.Mutex
	ran := map[string]string{}
	var from, to time.Time
	atGrey := 0
	stop := make(chan struct{})
	defer close(stop)
	serve := func(c *targetConn, q *request) bool {
		if _, err := io.CopyN(io.Discard, c.br, int64(q.length)); err != nil {
			return false
		}
		mu.Lock()
		ran[q.id()] = c.target.id
		now := time.Now()
		fails := false
		if c.target.id == "i-grey" && now.After(from) && now.Before(to) {
			fails = float64(atGrey%5) < 5*greyShare
			atGrey++
		}
		mu.Unlock()
		d.record.add("target %s runs %s", c.target.id, q.id())
		time.Sleep(orderWork)
		if fails {
			d.record.add("target %s fails %s with 503, which ran", c.target.id, q.id())
			c.reply("503 Service Unavailable", q, signature(q)+"Server-Load: "+c.target.load()+"\r\n", "out of order")
			return true
		}
		c.reply("200 OK", q, signature(q)+"Server-Load: "+c.target.load()+"\r\n", "booked")
		return true
	}
	for i := range greyTargets {
		id := fmt.Sprintf("i-%d", i)
		if i == 0 {
			id = "i-grey"
		}
		t, err := newTarget(id, "orderdesk", 2, d.record, serve)
		if err != nil {
			return 0, err
		}
		defer t.stop()
		d.register(t, stop)
	}
	d.configure(7, []route{
		{Name: "r-order", Host: "desk.example", Prefix: "/order/", Kind: "non_idempotent", TimeoutS: 1, LatencySloS: 0.25, Priority: 0, Service: "orderdesk", MaxAttempts: 2},
	}, "orderdesk")
	if err := d.addHosts(2); err != nil {
		return 0, err
	}
	if err := d.startHosts(); err != nil {
		return 0, err
	}
	if trouble {
		mu.Lock()
		from = time.Now().Add(greyBefore)
		to = from.Add(greySpell)
		mu.Unlock()
	}
	end := time.Now().Add(greyBefore + greySpell + 2*time.Second)
	broken := 0
	var clients sync.WaitGroup
	for i := range greyClients {
		clients.Go(func() {
			for time.Now().Before(end) {
				h, id := d.hosts[i%len(d.hosts)], newID()
				a := order(h, id)
				mu.Lock()
				at, hasRun := ran[id]
				mu.Unlock()
				d.record.add("client: POST %s: %v", id, a)
				if a.err == nil && slices.Contains(promises, a.status) && hasRun {
					d.record.add("%s was answered %d and has run at %s", id, a.status, at)
					mu.Lock()
					broken++
					mu.Unlock()
				}
				time.Sleep(orderEvery)
			}
		})
	}
	clients.Wait()
	return broken, nil
}

// order places an order on a new connection.
func order(h *host, id string) answer {
	c, err := dialClient(h.callers)
	if err != nil {
		return answer{err: err}
	}
	defer c.Close()
	const body = "one mandrel bend"
	if _, err := io.WriteString(c, head("POST", "desk.example", "/order/1", id, orderWait, len(body))+body); err != nil {
		return answer{err: err}
	}
	return c.read("POST", time.Now().Add(orderWait))
}

//go:build review

package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"github.com/chestnutfield/chestnutfield/platform/fakestore"
	"github.com/chestnutfield/chestnutfield/platform/fakeupstream"
)

const (
	readPath     = "/read/"
	readDeadline = 2 * time.Second
	// clientsPerHost is the number of clients with a kept connection to each host.
	clientsPerHost = 12
	// visitorTries is how often the visitor sends its request: once and two retries, each
	// to another host.
	visitorTries = 3
	// maxLost is the number of requests that may be closed without an answer.
	maxLost = 3
)

// lostRequest is a request on a kept connection that was closed without an answer.
type lostRequest struct {
	id, host string
	at       time.Time
}

// regulars are the clients with kept connections.
type regulars struct {
	record *record
	stop   chan struct{}
	wait   sync.WaitGroup

	mu   sync.Mutex
	lost []lostRequest
}

// run sends requests to a host on a kept connection until the clients stop.
func (r *regulars) run(h *host, name string) {
	defer r.wait.Done()
	var c *keptConn
	for n := 0; ; n++ {
		select {
		case <-r.stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		if c == nil {
			var err error
			if c, err = dial(h.callers); err != nil {
				c = nil
				continue
			}
		}
		id := fmt.Sprintf("%s-%d", name, n)
		a, err := c.send(requestText("GET", readPath+id, id, readDeadline, ""), readDeadline+time.Second)
		r.record.line("request %s to %s answered %d %v", id, h.name, a.status, err)
		if err == nil && a.header.Get("Connection") != "close" {
			continue
		}
		if err != nil && c.answers > 0 && !errors.Is(err, os.ErrDeadlineExceeded) {
			r.mu.Lock()
			r.lost = append(r.lost, lostRequest{id, h.name, time.Now()})
			r.mu.Unlock()
		}
		_ = c.Close()
		c = nil
	}
}

// callerHeader sends one request with a header whose value has a byte above ASCII.
func callerHeader(p *play) (string, error) {
	d := p.d
	d.store.WriteConfiguration(fakestore.Configuration{
		Version: 7, HealthPath: fakeupstream.HealthPath,
		Routes: []fakestore.Route{{Name: "read", Host: routeHost, Prefix: readPath, Service: "catalog", Idempotent: true, TimeoutSeconds: 2, ObjectiveSeconds: 1, Targets: 2}},
	})
	for i := range 6 {
		if _, err := d.addBackend(fmt.Sprintf("i-%d", i), "catalog", zone, 16, fakeupstream.Behavior{Work: 60 * time.Millisecond}); err != nil {
			return "", err
		}
	}
	if err := d.addHosts(visitorTries); err != nil {
		return "", err
	}
	r := &regulars{record: p.record, stop: make(chan struct{})}
	for _, h := range d.hosts {
		for i := range clientsPerHost {
			r.wait.Add(1)
			go r.run(h, fmt.Sprintf("%s-c%d", h.name, i))
		}
	}
	time.Sleep(8 * time.Second)
	visit(p)
	time.Sleep(2 * time.Second)
	close(r.stop)
	r.wait.Wait()
	ended := 0
	for _, h := range d.hosts {
		select {
		case <-h.exited:
			ended++
			p.record.printf("the process of %s has ended by itself", h.name)
		default:
		}
	}
	ran := map[string]bool{}
	for _, a := range d.arrivals.Arrivals() {
		ran[a.Request] = ran[a.Request] || a.Ran
	}
	lost := 0
	for _, l := range r.lost {
		p.record.line("request %s to %s: connection closed without an answer at %.3f; a target ran it: %t", l.id, l.host, p.record.at(l.at), ran[l.id])
		if ran[l.id] {
			lost++
		}
	}
	p.record.printf("%d requests on kept connections ran and were closed without an answer; allowed are %d", lost, maxLost)
	if lost > maxLost {
		return fmt.Sprintf("LOST: %d requests; %d processes ended by themselves", lost, ended), nil
	}
	return "", nil
}

// visit sends the visitor's request to one host after the other until it is answered.
func visit(p *play) {
	value := "Ren\xe9" // "René" in ISO 8859-1
	if !p.trouble {
		value = "Rene"
	}
	for i, h := range p.d.hosts {
		c, err := dial(h.callers)
		if err != nil {
			p.record.printf("visitor: %v", err)
			continue
		}
		id := fmt.Sprintf("visitor-%d", i)
		a, err := c.send(requestText("GET", readPath+"visitor", id, readDeadline, "", "X-Caller: "+value), readDeadline)
		p.record.printf("visitor: request %s with X-Caller %q to %s: status %d, %v", id, value, h.name, a.status, err)
		_ = c.Close()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

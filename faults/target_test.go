package faults

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	serviceTime   = 20 * time.Millisecond
	attemptHeader = "X-Try"
	orderHeader   = "X-Order"
)

// target simulates an upstream target with two slots and the faults of a case.
type target struct {
	b        *requestTestbed
	addr     string
	slots    chan struct{}
	inFlight atomic.Int64
	faulty   atomic.Bool
}

func (b *requestTestbed) newTarget(i int) *target {
	g := &target{b: b, addr: targetAddr(i).String(), slots: make(chan struct{}, 2)}
	ln := b.network.listen(g.addr, g.addr)
	b.background.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			b.background.Go(func() { g.serve(c.(serverConn)) })
		}
	})
	return g
}

// activateFaults starts the faults of the case at this target.
func (g *target) activateFaults() { g.faulty.Store(true) }

func (g *target) has(f fault) bool { return g.faulty.Load() && g.b.c.has(f) }

func (g *target) serve(c serverConn) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.ReadAll(r.Body); err != nil {
			return
		}
		g.b.log.recordArrival(g.addr, c.from, r, g.has(targetDrains))
		resp := g.respond(r, br)
		if _, err := io.WriteString(c, resp); err != nil || resp == "" {
			return
		}
	}
}

// respond runs or rejects a request and returns the response; "" closes the
// connection. A target that fails fast closes the connection for every order.
func (g *target) respond(r *http.Request, br *bufio.Reader) string {
	switch {
	case g.has(targetSilent):
		g.b.log.recordRun(r)
		_, _ = io.Copy(io.Discard, br)
		return ""
	case g.has(targetDrains):
		g.b.log.recordDrain(time.Now())
		return g.formatResponse(503, "Chestnut-Draining: 1\r\nChestnut-Not-Run: 1\r\n", "leaving")
	}
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	g.b.log.recordRun(r)
	if g.has(targetFailsFast) {
		time.Sleep(time.Millisecond)
		if r.Method == http.MethodPost {
			return ""
		}
		return g.formatResponse(500, "", "failed")
	}
	g.slots <- struct{}{}
	defer func() { <-g.slots }()
	if g.has(targetSlow) {
		time.Sleep(9 * serviceTime)
	}
	time.Sleep(serviceTime)
	return g.formatResponse(200, "", expectedBody(r.URL.Path))
}

func (g *target) formatResponse(status int, header, body string) string {
	load := g.inFlight.Load()
	switch {
	case g.has(reportIdle):
		load = 0
	case g.has(reportFrozen):
		load = 1
	}
	return fmt.Sprintf("HTTP/1.1 %d X\r\nendpoint-load-metrics: TEXT named_metrics.in_flight=%d\r\n%sContent-Length: %d\r\n\r\n%s",
		status, load, header, len(body), body)
}

// expectedBody returns the response body for a path, unique to that path.
func expectedBody(path string) string { return strings.Repeat(path+";", 20) }

// runLog records what the targets ran and what the callers received.
type runLog struct {
	mu            sync.Mutex
	runsByAttempt map[string]int
	runsByOrder   map[string]int
	// notRun holds the status of each attempt that was answered as not run.
	notRun map[string]string
	// firstDrain is the time when a target first told a host that it is draining.
	// lateDispatches describes the requests sent to it too late after that.
	firstDrain                time.Time
	lateDispatches            []string
	violations                []string
	callsByKind, servedByKind map[string]int
	statuses                  map[string]int
}

func newRunLog() *runLog {
	return &runLog{runsByAttempt: map[string]int{}, runsByOrder: map[string]int{}, notRun: map[string]string{},
		callsByKind: map[string]int{}, servedByKind: map[string]int{}, statuses: map[string]int{}}
}

func (l *runLog) recordRun(r *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runsByAttempt[r.Header.Get(attemptHeader)]++
	if order := r.Header.Get(orderHeader); order != "" {
		l.runsByOrder[order]++
	}
}

func (l *runLog) recordDrain(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.firstDrain.IsZero() {
		l.firstDrain = now
	}
}

// recordArrival records a late dispatch if a request arrives at a draining target
// more than maxDrainDelay after a target first told a host that it drains.
func (l *runLog) recordArrival(target, from string, r *http.Request, draining bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if draining && !l.firstDrain.IsZero() && time.Since(l.firstDrain) > maxDrainDelay {
		l.lateDispatches = append(l.lateDispatches, fmt.Sprintf("%s sent %s to %s %v after it first reported its drain", from, r.URL.Path, target, time.Since(l.firstDrain)))
	}
}

func (l *runLog) recordViolation(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violations = append(l.violations, fmt.Sprintf(format, args...))
}

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
	serviceTime = 20 * time.Millisecond
	tryHeader   = "X-Try"
	orderHeader = "X-Order"
)

// target is an upstream with two slots that behaves by the faults of a case.
type target struct {
	b        *requestBed
	addr     string
	slots    chan struct{}
	inFlight atomic.Int64
	began    atomic.Bool
}

func (b *requestBed) newTarget(i int) *target {
	g := &target{b: b, addr: targetAddr(i).String(), slots: make(chan struct{}, 2)}
	ln := b.mesh.listen(g.addr, g.addr)
	b.work.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			b.work.Go(func() { g.serve(c.(accepted)) })
		}
	})
	return g
}

// begin starts the faults of the case at this target.
func (g *target) begin() { g.began.Store(true) }

func (g *target) has(f fault) bool { return g.began.Load() && g.b.c.has(f) }

func (g *target) serve(c accepted) {
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
		g.b.log.arrived(g.addr, c.from, r, g.has(targetDrains))
		answer := g.answer(r, br)
		if _, err := io.WriteString(c, answer); err != nil || answer == "" {
			return
		}
	}
}

// answer runs a request, or refuses it, and returns the answer; "" is a lost
// connection. A target that fails fast loses every order.
func (g *target) answer(r *http.Request, br *bufio.Reader) string {
	switch {
	case g.has(targetSilent):
		g.b.log.ran(r)
		_, _ = io.Copy(io.Discard, br)
		return ""
	case g.has(targetDrains):
		g.b.log.drained(time.Now())
		return g.write(503, "Chestnut-Draining: 1\r\nChestnut-Not-Run: 1\r\n", "leaving")
	}
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	g.b.log.ran(r)
	if g.has(targetFailsFast) {
		time.Sleep(time.Millisecond)
		if r.Method == http.MethodPost {
			return ""
		}
		return g.write(500, "", "failed")
	}
	g.slots <- struct{}{}
	defer func() { <-g.slots }()
	if g.has(targetSlow) {
		time.Sleep(9 * serviceTime)
	}
	time.Sleep(serviceTime)
	return g.write(200, "", bodyOf(r.URL.Path))
}

func (g *target) write(status int, header, body string) string {
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

// bodyOf is the answer that belongs to a path alone.
func bodyOf(path string) string { return strings.Repeat(path+";", 20) }

// runLog is what truly happened.
type runLog struct {
	mu     sync.Mutex
	byTry  map[string]int
	orders map[string]int
	// notRun holds the tries that were answered as not run.
	notRun map[string]string
	// firstDrain is the first time that a host was told of the leaving target,
	// and late what it was sent afterwards.
	firstDrain time.Time
	late       []string
	problems   []string
	asked, ok  map[string]int
	statuses   map[string]int
}

func newRunLog() *runLog {
	return &runLog{byTry: map[string]int{}, orders: map[string]int{}, notRun: map[string]string{},
		asked: map[string]int{}, ok: map[string]int{}, statuses: map[string]int{}}
}

func (l *runLog) ran(r *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byTry[r.Header.Get(tryHeader)]++
	if order := r.Header.Get(orderHeader); order != "" {
		l.orders[order]++
	}
}

func (l *runLog) drained(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.firstDrain.IsZero() {
		l.firstDrain = now
	}
}

// arrived notes a dispatch to a target that told that it leaves.
func (l *runLog) arrived(target, from string, r *http.Request, leaving bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if leaving && !l.firstDrain.IsZero() && time.Since(l.firstDrain) > drainWithin {
		l.late = append(l.late, fmt.Sprintf("%s sent %s to %s %v after it left", from, r.URL.Path, target, time.Since(l.firstDrain)))
	}
}

func (l *runLog) problem(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.problems = append(l.problems, fmt.Sprintf(format, args...))
}

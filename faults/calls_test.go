package faults

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

const (
	callInterval  = 25 * time.Millisecond
	floodInterval = 10 * time.Millisecond
	floodBurst    = 6
	// responseGrace is how long after the deadline a response may still arrive.
	responseGrace = 100 * time.Millisecond
	// maxAttempts is the maximum number of attempts for an order with an
	// idempotency key.
	maxAttempts = 3
)

// call is one request of a caller. keyed means that it has an idempotency key.
type call struct {
	class   string
	number  int
	caller  string
	keyed   bool
	timeout time.Duration
}

func (c call) path() string { return fmt.Sprintf("/%s/%d", c.class, c.number) }

// issueCalls starts calls in a sequence determined by the seed.
func (b *requestTestbed) issueCalls() {
	rng := rand.New(rand.NewPCG(b.c.seed, 4))
	start, number := b.began, 0
	issue := func(c call, host int) {
		number++
		c.number = number
		b.activeCalls.Go(func() { b.callWithRetries(c, host) })
	}
	if b.c.has(batchFlood, callerFlood) {
		b.activeCalls.Go(func() { b.flood(start) })
	}
	for time.Since(start) < callDuration {
		caller, host := fmt.Sprintf("caller-%d", rng.IntN(4)), 1+rng.IntN(hostCount-1)
		switch rng.IntN(4) {
		case 0, 1:
			issue(call{class: "lookup", caller: caller, timeout: lookupTimeout}, host)
		case 2:
			issue(call{class: "order", caller: caller, timeout: orderTimeout, keyed: rng.IntN(4) > 0}, host)
		case 3:
			issue(call{class: "batch", caller: caller, timeout: batchTimeout}, host)
		}
		time.Sleep(callInterval)
	}
}

// flood sends far more requests than the targets can serve, from faultDelay until
// the end of the calls.
func (b *requestTestbed) flood(start time.Time) {
	time.Sleep(faultDelay)
	for n := 1_000_000; time.Since(start) < callDuration; n += 2 * floodBurst {
		for i := range floodBurst {
			host := 1 + i%(hostCount-1)
			if b.c.has(batchFlood) {
				b.activeCalls.Go(func() {
					b.callWithRetries(call{class: "batch", number: n + i, caller: fmt.Sprintf("night-%d", i), timeout: batchTimeout}, host)
				})
			}
			if b.c.has(callerFlood) {
				b.activeCalls.Go(func() {
					b.callWithRetries(call{class: "lookup", number: n + floodBurst + i, caller: "flooder", timeout: lookupTimeout}, host)
				})
			}
		}
		time.Sleep(floodInterval)
	}
}

// response is the response that a caller received.
type response struct {
	status  int
	outcome string
	reason  string
	body    string
}

// callWithRetries makes one call. An order with an idempotency key is retried at
// another host until it succeeds, at most maxAttempts times in all.
func (b *requestTestbed) callWithRetries(c call, host int) {
	kind := c.class
	if strings.HasPrefix(c.caller, "night") || c.caller == "flooder" {
		kind = c.caller
	}
	steady := time.Since(b.began) > steadyAfter
	for try := range maxAttempts {
		began := time.Now()
		id := fmt.Sprintf("%s/%d", c.path(), try)
		r, err := b.send(c, host, id)
		if took := time.Since(began); took > c.timeout+responseGrace {
			b.log.recordViolation("%s took %v", id, took)
		}
		b.log.recordResponse(kind, id, c, r, err)
		served := err == nil && r.status == http.StatusOK
		if last := served || !c.keyed || try == maxAttempts-1; last && steady {
			b.log.recordResult(kind, served)
		}
		if served || !c.keyed {
			return
		}
		time.Sleep(50 * time.Millisecond)
		host = 1 + host%(hostCount-1)
	}
}

// send sends one request on a new connection.
func (b *requestTestbed) send(c call, host int, id string) (response, error) {
	conn, err := b.network.dialer("callers")(b.ctx, "tcp", b.hosts[host].callersAddr())
	if err != nil {
		return response{}, err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(c.timeout + 10*responseGrace)); err != nil {
		return response{}, err
	}
	method, extra, body := http.MethodGet, "", ""
	if c.class == "order" {
		method, body = http.MethodPost, "Content-Length: 5\r\n\r\nhello"
		extra = fmt.Sprintf("%s: %s\r\n", orderHeader, c.path())
	}
	if c.keyed {
		extra += fmt.Sprintf("Idempotency-Key: %q\r\n", c.path())
	}
	if body == "" {
		body = "\r\n"
	}
	if _, err := fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: h\r\nConnection: close\r\nX-Caller: %s\r\n%s: %s\r\n%s%s",
		method, c.path(), c.caller, attemptHeader, id, extra, body); err != nil {
		return response{}, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return response{}, err
	}
	got, err := io.ReadAll(resp.Body)
	return response{resp.StatusCode, resp.Header.Get("Chestnut-Outcome"), resp.Header.Get("Proxy-Status"), string(got)}, err
}

// recordResponse records a response and checks that it is complete and belongs to
// the request.
func (l *runLog) recordResponse(kind, id string, c call, r response, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.statuses[fmt.Sprintf("%s %d %s %s", kind, r.status, r.outcome, strings.TrimPrefix(r.reason, "chestnutfield; error="))]++
	switch {
	case err != nil:
		return
	case r.status == http.StatusOK && r.body != expectedBody(c.path()):
		l.violations = append(l.violations, fmt.Sprintf("%s got an unexpected body: %.60q", id, r.body))
	case r.outcome == "not-run":
		l.notRun[id] = fmt.Sprintf("%d", r.status)
	}
}

// recordResult counts a call by whether it was served in the end.
func (l *runLog) recordResult(kind string, served bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.callsByKind[kind]++
	if served {
		l.servedByKind[kind]++
	}
}

// checkInvariants fails the test for each violated invariant. It is called after
// all calls have ended.
func (l *runLog) checkInvariants(b *requestTestbed) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fail := func(format string, args ...any) {
		b.t.Errorf("%s, seed %d: %s", b.c.name(), b.c.seed, fmt.Sprintf(format, args...))
	}
	for _, p := range l.violations {
		fail("%s", p)
	}
	for order, n := range l.runsByOrder {
		if n > 1 {
			fail("order %s ran %d times", order, n)
		}
	}
	for id, status := range l.notRun {
		if l.runsByAttempt[id] > 0 {
			fail("%s was answered %s not-run but ran", id, status)
		}
	}
	for _, late := range l.lateDispatches {
		fail("%s", late)
	}
	if b.c.has(batchFlood, callerFlood) && !b.c.has(entryKilled, ownerKilled, storeDown) {
		for _, kind := range []string{"lookup", "order"} {
			if l.servedByKind[kind]*100 < l.callsByKind[kind]*minServedPercent {
				fail("%d of %d calls of class %s were answered under the flood", l.servedByKind[kind], l.callsByKind[kind], kind)
			}
		}
	}
	b.t.Logf("%s, seed %d: %v", b.c.name(), b.c.seed, l.statuses)
}

const (
	// minServedPercent is the minimum percentage of lookups and of orders that
	// has to be served by the deadline of its class under a flood.
	minServedPercent = 90
	// steadyAfter is the time, from the first call, by which hosts have detected
	// a fault that reduces capacity.
	steadyAfter = faultDelay + time.Second
)

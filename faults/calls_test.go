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
	callEvery  = 25 * time.Millisecond
	floodEvery = 10 * time.Millisecond
	floodBurst = 6
	// grace is the way of an answer after its deadline.
	grace = 100 * time.Millisecond
	// mostTries is how often an order is asked for until its end is known.
	mostTries = 3
)

// call is one request of a caller.
type call struct {
	class   string
	number  int
	caller  string
	keyed   bool
	timeout time.Duration
}

func (c call) path() string { return fmt.Sprintf("/%s/%d", c.class, c.number) }

// makeCalls asks in an order that the seed fixes.
func (b *requestBed) makeCalls() {
	rng := rand.New(rand.NewPCG(b.c.seed, 4))
	start, number := b.began, 0
	ask := func(c call, host int) {
		number++
		c.number = number
		b.calls.Go(func() { b.ask(c, host) })
	}
	if b.c.has(batchFlood, callerFlood) {
		b.calls.Go(func() { b.flood(start) })
	}
	for time.Since(start) < callsFor {
		caller, host := fmt.Sprintf("caller-%d", rng.IntN(4)), 1+rng.IntN(hostCount-1)
		switch rng.IntN(4) {
		case 0, 1:
			ask(call{class: "lookup", caller: caller, timeout: lookupTimeout}, host)
		case 2:
			ask(call{class: "order", caller: caller, timeout: orderTimeout, keyed: rng.IntN(4) > 0}, host)
		case 3:
			ask(call{class: "batch", caller: caller, timeout: batchTimeout}, host)
		}
		time.Sleep(callEvery)
	}
}

// flood asks for far more than the targets can do, until the calls end.
func (b *requestBed) flood(start time.Time) {
	time.Sleep(faultAt)
	for n := 1_000_000; time.Since(start) < callsFor; n += 2 * floodBurst {
		for i := range floodBurst {
			host := 1 + i%(hostCount-1)
			if b.c.has(batchFlood) {
				b.calls.Go(func() {
					b.ask(call{class: "batch", number: n + i, caller: fmt.Sprintf("night-%d", i), timeout: batchTimeout}, host)
				})
			}
			if b.c.has(callerFlood) {
				b.calls.Go(func() {
					b.ask(call{class: "lookup", number: n + floodBurst + i, caller: "flooder", timeout: lookupTimeout}, host)
				})
			}
		}
		time.Sleep(floodEvery)
	}
}

// answer is what a caller got.
type answer struct {
	status  int
	outcome string
	reason  string
	body    string
}

// ask makes one call; a keyed order is asked for at another host until its end
// is known.
func (b *requestBed) ask(c call, host int) {
	kind := c.class
	if strings.HasPrefix(c.caller, "night") || c.caller == "flooder" {
		kind = c.caller
	}
	settled := time.Since(b.began) > settledAt
	for try := range mostTries {
		began := time.Now()
		id := fmt.Sprintf("%s/%d", c.path(), try)
		a, err := b.send(c, host, id)
		if took := time.Since(began); took > c.timeout+grace {
			b.log.problem("%s took %v", id, took)
		}
		b.log.answered(kind, id, c, a, err)
		served := err == nil && a.status == http.StatusOK
		if last := served || !c.keyed || try == mostTries-1; last && settled {
			b.log.ended(kind, served)
		}
		if served || !c.keyed {
			return
		}
		time.Sleep(50 * time.Millisecond)
		host = 1 + host%(hostCount-1)
	}
}

// send makes one request on a connection of its own.
func (b *requestBed) send(c call, host int, id string) (answer, error) {
	conn, err := b.mesh.dialer("callers")(b.ctx, "tcp", b.hosts[host].callersAddr())
	if err != nil {
		return answer{}, err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(c.timeout + 10*grace)); err != nil {
		return answer{}, err
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
		method, c.path(), c.caller, tryHeader, id, extra, body); err != nil {
		return answer{}, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return answer{}, err
	}
	got, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, resp.Header.Get("Chestnut-Outcome"), resp.Header.Get("Proxy-Status"), string(got)}, err
}

// answered notes an answer and checks that it is the caller's own and whole.
func (l *runLog) answered(kind, id string, c call, a answer, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.statuses[fmt.Sprintf("%s %d %s %s", kind, a.status, a.outcome, strings.TrimPrefix(a.reason, "chestnutfield; error="))]++
	switch {
	case err != nil:
		return
	case a.status == http.StatusOK && a.body != bodyOf(c.path()):
		l.problems = append(l.problems, fmt.Sprintf("%s got another answer: %.60q", id, a.body))
	case a.outcome == "not-run":
		l.notRun[id] = fmt.Sprintf("%d", a.status)
	}
}

// ended counts a call by whether it was answered in the end.
func (l *runLog) ended(kind string, served bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asked[kind]++
	if served {
		l.ok[kind]++
	}
}

// judge asserts the invariants once everything has ended.
func (l *runLog) judge(b *requestBed) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fail := func(format string, args ...any) {
		b.t.Errorf("%s, seed %d: %s", b.c.name(), b.c.seed, fmt.Sprintf(format, args...))
	}
	for _, p := range l.problems {
		fail("%s", p)
	}
	for order, n := range l.orders {
		if n > 1 {
			fail("order %s ran %d times", order, n)
		}
	}
	for id, status := range l.notRun {
		if l.byTry[id] > 0 {
			fail("%s was answered %s not-run but ran", id, status)
		}
	}
	for _, late := range l.late {
		fail("%s", late)
	}
	if b.c.has(batchFlood, callerFlood) && !b.c.has(entryKilled, ownerKilled, storeDown) {
		for _, kind := range []string{"lookup", "order"} {
			if l.ok[kind]*100 < l.asked[kind]*leastServed {
				fail("%d of %d calls of class %s were answered under the flood", l.ok[kind], l.asked[kind], kind)
			}
		}
	}
	b.t.Logf("%s, seed %d: %v", b.c.name(), b.c.seed, l.statuses)
}

const (
	// leastServed is the share of lookups and of orders, in percent, that is
	// answered by the deadline of its class under a flood.
	leastServed = 90
	// settledAt is when hosts have learned of a fault that takes capacity.
	settledAt = faultAt + time.Second
)

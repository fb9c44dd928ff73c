package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/chestnutfield/chestnutfield/platform"
	"github.com/chestnutfield/chestnutfield/platform/fakeupstream"
)

// Seen is what a caller saw of one request.
type Seen struct {
	Request string
	Order   bool
	// Prefix is the start of the path.
	Prefix      string
	Host        string
	Incarnation int
	Sent, Ended time.Time
	// Status is 0 when no answer came; Err says why.
	Status int
	Err    error
	// Own is true when a successful answer is whole and the request's own.
	Own bool
	// Signed is true when the answer bears an upstream's signature.
	Signed     bool
	RetryAfter time.Duration
}

const (
	// think is the mean pause between two requests of a caller.
	think = 60 * time.Millisecond
	// deadline is how long a caller waits, longer than the routes' timeout, so
	// that a late answer is seen.
	deadline = routeTimeout + 2*time.Second
	// changeHost is the share of requests after which a caller changes its host.
	changeHost = 0.03
	// pollEvery is the time between two questions whether a host is ready; two
	// answers that it is not take it out of rotation.
	pollEvery   = time.Second
	pollTimeout = 900 * time.Millisecond
	missesOut   = 2
	// orderShare is the part of requests that are orders.
	orderShare = 0.4
	orderBytes = 2_000
)

// rotation knows which hosts get new connections.
type rotation struct {
	hosts []*host

	mu     sync.Mutex
	misses map[*host]int
}

func newRotation(hosts []*host) *rotation {
	r := &rotation{hosts: hosts, misses: map[*host]int{}}
	for _, h := range hosts {
		r.misses[h] = missesOut
	}
	return r
}

// poll asks one host again and again until the context ends.
func (r *rotation) poll(ctx context.Context, h *host) {
	client := &http.Client{Timeout: pollTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for ctx.Err() == nil {
		ready := h.isReady(client)
		r.mu.Lock()
		if ready {
			r.misses[h] = 0
		} else {
			r.misses[h]++
		}
		r.mu.Unlock()
		pause(ctx, pollEvery)
	}
}

// draw returns a host in rotation; where fewer than half are, any.
func (r *rotation) draw() *host {
	r.mu.Lock()
	defer r.mu.Unlock()
	var in []*host
	for _, h := range r.hosts {
		if r.misses[h] < missesOut {
			in = append(in, h)
		}
	}
	if 2*len(in) < len(r.hosts) {
		in = r.hosts
	}
	return in[rand.IntN(len(in))]
}

// all reports whether every host is in rotation.
func (r *rotation) all() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, n := range r.misses {
		if n > 0 {
			return false
		}
	}
	return true
}

// caller sends one request after another over a kept connection.
type caller struct {
	name   string
	hosts  *rotation
	client *http.Client
	host   *host
	sent   int
	record func(Seen)
}

func newCaller(name string, hosts *rotation, record func(Seen)) *caller {
	return &caller{name: name, hosts: hosts, record: record, client: &http.Client{
		Timeout: deadline, Transport: &http.Transport{MaxConnsPerHost: 1, DisableCompression: true},
	}}
}

// run sends requests until the context ends.
func (c *caller) run(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	for ctx.Err() == nil {
		if c.host == nil || rand.Float64() < changeHost {
			c.client.CloseIdleConnections()
			c.host = c.hosts.draw()
		}
		c.sent++
		order := rand.Float64() < orderShare
		s := send(c.client, c.host, order, fmt.Sprintf("%s-%d", c.name, c.sent))
		c.record(s)
		if s.Status == 0 || s.Status == http.StatusServiceUnavailable {
			// A new connection, as callers make one for each retry.
			c.client.CloseIdleConnections()
			c.host = nil
		}
		pause(ctx, s.RetryAfter+time.Duration(rand.ExpFloat64()*float64(think)))
	}
}

// send sends one request and tells what came of it.
func send(client *http.Client, h *host, order bool, id string) Seen {
	prefix, method, body := lookupPrefix, http.MethodGet, ""
	if order {
		prefix, method, body = orderPrefix, http.MethodPost, strings.Repeat("x", orderBytes)
	}
	return sendTo(client, h, method, prefix, id, body)
}

func sendTo(client *http.Client, h *host, method, prefix, id, body string) Seen {
	s := Seen{Request: id, Order: method == http.MethodPost, Prefix: prefix, Host: h.name, Incarnation: h.incarnation(), Sent: time.Now()}
	words := platform.Dialect()
	req, err := http.NewRequest(method, "http://"+h.callers+prefix+id, strings.NewReader(body))
	if err != nil {
		s.Err = err
		return s
	}
	// The transport must not send a request twice by itself.
	req.GetBody = nil
	if body == "" {
		req.Body = nil
	}
	req.Host = routeHost
	req.Header.Set(words.RequestID, id)
	req.Header.Set(words.Deadline, strconv.FormatInt(routeTimeout.Milliseconds(), 10))
	resp, err := client.Do(req)
	if err != nil {
		s.Err = err
		s.Ended = time.Now()
		return s
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	s.Err = err
	if err == nil {
		s.Status = resp.StatusCode
	}
	signature := resp.Header.Get(words.Signature)
	s.Signed = signature != ""
	s.Own = signature == fakeupstream.Signature(id) && string(got) == fakeupstream.Body(id)
	if after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		s.RetryAfter = time.Duration(min(after, 1) * float64(time.Second))
	}
	s.Ended = time.Now()
	return s
}

// pause waits, or returns when the context ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

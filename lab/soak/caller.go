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

	"github.com/chestnutfield/chestnutfield/http1"
	"github.com/chestnutfield/chestnutfield/platform"
	"github.com/chestnutfield/chestnutfield/platform/fakeupstream"
)

// RequestResult is what a caller observed of one request.
type RequestResult struct {
	// RequestID identifies the request at callers and upstreams.
	RequestID string
	// Order is true for an order, false for a lookup.
	Order bool
	// Prefix is the path prefix of the route.
	Prefix string
	// Key is the caller's key, "" for none.
	Key  string
	Host string
	// Incarnation is the number of the host's process at the time of sending.
	Incarnation int
	Sent, Ended time.Time
	// Status is 0 if no complete response was received; Err is the reason.
	Status int
	Err    error
	// Correct is true if the response is complete and belongs to this request.
	Correct bool
	// Signed is true if the response carries the signature of an upstream.
	Signed     bool
	RetryAfter time.Duration
}

const (
	// meanPause is the mean pause between two requests of a caller.
	meanPause = 60 * time.Millisecond
	// callerTimeout is how long a caller waits: longer than the timeout of the
	// routes, so that late responses are observed.
	callerTimeout = routeTimeout + 2*time.Second
	// hostChangeShare is the share of requests before which a caller changes its
	// host.
	hostChangeShare = 0.03
	// pollInterval is the time between two readiness checks of a host, pollTimeout
	// the timeout of one. maxMisses consecutive failed checks take the host out of
	// rotation.
	pollInterval = time.Second
	pollTimeout  = 900 * time.Millisecond
	maxMisses    = 2
	// orderShare is the share of requests that are orders.
	orderShare     = 0.4
	orderBodyBytes = 2_000
	// slowOrderShare is the share of orders whose body is sent in two parts, with a
	// pause of up to maxBodyPause between them.
	slowOrderShare = 0.05
	maxBodyPause   = 1200 * time.Millisecond
)

// pausingReader pauses once, after half of a body.
type pausingReader struct {
	*strings.Reader
	pause time.Duration
}

// Read implements io.Reader.
func (r *pausingReader) Read(p []byte) (int, error) {
	half := int(r.Size() / 2)
	switch read := int(r.Size()) - r.Len(); {
	case read < half:
		return r.Reader.Read(p[:min(len(p), half-read)])
	case read == half:
		time.Sleep(r.pause)
	}
	return r.Reader.Read(p)
}

// rotation tracks by readiness checks which hosts receive new connections, as the
// balancer in front of the hosts does.
type rotation struct {
	hosts []*host

	mu sync.Mutex
	// misses is the number of consecutive failed checks.
	misses map[*host]int
}

func newRotation(hosts []*host) *rotation {
	r := &rotation{hosts: hosts, misses: map[*host]int{}}
	for _, h := range hosts {
		r.misses[h] = maxMisses
	}
	return r
}

// poll checks the readiness of one host periodically until the context ends.
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
		sleep(ctx, pollInterval)
	}
}

// pick returns a random host in rotation, or any host if fewer than half are in
// rotation.
func (r *rotation) pick() *host {
	r.mu.Lock()
	defer r.mu.Unlock()
	var inRotation []*host
	for _, h := range r.hosts {
		if r.misses[h] < maxMisses {
			inRotation = append(inRotation, h)
		}
	}
	if 2*len(inRotation) < len(r.hosts) {
		inRotation = r.hosts
	}
	return inRotation[rand.IntN(len(inRotation))]
}

// allReady reports whether the last readiness check of every host succeeded.
func (r *rotation) allReady() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, n := range r.misses {
		if n > 0 {
			return false
		}
	}
	return true
}

// caller sends one request after another over a persistent connection.
type caller struct {
	name   string
	hosts  *rotation
	client *http.Client
	host   *host
	sent   int
	// chooseKey chooses the key of the next request.
	chooseKey func() string
	onResult  func(RequestResult)
}

func newCaller(name string, hosts *rotation, chooseKey func() string, onResult func(RequestResult)) *caller {
	return &caller{name: name, hosts: hosts, chooseKey: chooseKey, onResult: onResult, client: &http.Client{
		Timeout: callerTimeout, Transport: http1.Guard(&http.Transport{MaxConnsPerHost: 1, DisableCompression: true}, http1.Host, nil),
	}}
}

// run sends requests until the context ends.
func (c *caller) run(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	for ctx.Err() == nil {
		if c.host == nil || rand.Float64() < hostChangeShare {
			c.client.CloseIdleConnections()
			c.host = c.hosts.pick()
		}
		c.sent++
		order := rand.Float64() < orderShare
		s := send(c.client, c.host, order, fmt.Sprintf("%s-%d", c.name, c.sent), c.chooseKey())
		c.onResult(s)
		if s.Status == 0 || s.Status == http.StatusServiceUnavailable {
			// Callers open a new connection for each retry.
			c.client.CloseIdleConnections()
			c.host = nil
		}
		if s.Status == http.StatusTooManyRequests {
			// The next request is another workspace's.
			s.RetryAfter = 0
		}
		sleep(ctx, s.RetryAfter+time.Duration(rand.ExpFloat64()*float64(meanPause)))
	}
}

// request is a request to be sent.
type request struct {
	method, id, body string
	// key is the caller's key, "" for none.
	key string
	// pause is the pause in the middle of the body.
	pause time.Duration
}

// failedByUpstream reports whether the response to a lookup is that of an upstream, whose
// status is passed on whatever it is. An order must not get one that promises not-run.
func (s RequestResult) failedByUpstream() bool { return s.Signed && !s.Order }

// send sends one lookup or order and returns its result.
func send(client *http.Client, h *host, order bool, id, key string) RequestResult {
	if order {
		r := request{method: http.MethodPost, id: id, body: strings.Repeat("x", orderBodyBytes), key: key}
		if rand.Float64() < slowOrderShare {
			r.pause = rand.N(maxBodyPause)
		}
		return sendTo(client, h, orderPrefix, r)
	}
	return sendTo(client, h, lookupPrefix, request{method: http.MethodGet, id: id, key: key})
}

// sendTo sends one request with its ID in the path.
func sendTo(client *http.Client, h *host, prefix string, r request) RequestResult {
	s := sendPath(client, h, prefix+r.id, r)
	s.Prefix = prefix
	return s
}

// sendPath sends one request.
func sendPath(client *http.Client, h *host, path string, r request) RequestResult {
	s := RequestResult{
		RequestID: r.id, Order: r.method == http.MethodPost, Key: r.key, Host: h.name, Incarnation: h.incarnation(), Sent: time.Now(),
	}
	headers := platform.Dialect()
	req, err := http.NewRequest(r.method, "http://"+h.callersAddr+path, &pausingReader{strings.NewReader(r.body), r.pause})
	if err != nil {
		s.Err = err
		return s
	}
	req.ContentLength = int64(len(r.body))
	// Without GetBody the transport cannot resend the request by itself.
	req.GetBody = nil
	if r.body == "" {
		req.Body = nil
	}
	req.Host = routeHost
	req.Header.Set(headers.RequestID, r.id)
	req.Header.Set(headers.Deadline, strconv.FormatInt(routeTimeout.Milliseconds(), 10))
	r.addKey(req)
	resp, err := client.Do(req)
	if err != nil {
		s.Err = err
		s.Ended = time.Now()
		return s
	}
	defer resp.Body.Close()
	responseBody, err := io.ReadAll(resp.Body)
	s.Err = err
	if err == nil {
		s.Status = resp.StatusCode
	}
	signature := resp.Header.Get(headers.Signature)
	s.Signed = signature != ""
	s.Correct = signature == fakeupstream.Signature(r.id) && string(responseBody) == fakeupstream.Body(r.id)
	if after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		s.RetryAfter = time.Duration(min(after, 1) * float64(time.Second))
	}
	s.Ended = time.Now()
	return s
}

// addKey adds the key, with the scheme in upper or lower case, and to some requests
// the names of other workspaces, as headers or as a trailer, which no upstream may see.
func (r request) addKey(req *http.Request) {
	if r.key == "" {
		return
	}
	scheme := platform.Dialect().KeyScheme
	if rand.IntN(2) == 0 {
		scheme = strings.ToLower(scheme)
	}
	req.Header.Set("Authorization", scheme+" "+r.key)
	switch rand.IntN(4) {
	case 0:
		req.Header["Tenant"] = []string{"forged", "forged-too"}
	case 1:
		req.Header["TENANT"] = []string{"forged"}
	case 2:
		if r.body != "" {
			req.ContentLength, req.Trailer = -1, http.Header{"Tenant": {"forged"}}
		}
	}
}

// sleep waits for a duration or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

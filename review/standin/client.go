//go:build review

package standin

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// RouteHost is the host of all routes.
const RouteHost = "orders.example"

// Answer is how a client attempt ended.
type Answer struct {
	ID     string
	Sent   time.Time
	Ended  time.Time
	Status int
	// Own is true for the whole answer of the request's own run.
	Own bool
	Err error
}

// Send sends one client attempt on a new connection and records how it ended.
func Send(record *Record, address, method, path, id string, deadline time.Duration) Answer {
	a := Answer{ID: id, Sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	var body io.Reader
	if method != http.MethodGet {
		body = strings.NewReader("order " + id)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, body)
	if err != nil {
		a.Err = err
		return a
	}
	req.Host = RouteHost
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	record.Add("client sends %s %s %s to %s", method, path, id, address)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(req)
	if err == nil {
		var content []byte
		content, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		a.Status = resp.StatusCode
		a.Own = err == nil && string(content) == Body(id) && resp.Header.Get("Response-Signature") == Signature(id)
	}
	a.Err, a.Ended = err, time.Now()
	record.Add("client gets for %s: status %d, own whole answer %t, error %v, after %v", id, a.Status, a.Own, err, a.Ended.Sub(a.Sent).Round(time.Millisecond))
	return a
}

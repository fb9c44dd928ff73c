package workload

import (
	"bytes"
	"encoding/hex"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
)

// The headers of a lab request and of its response.
const (
	// TokenHeader is the unique identifier of the request. The response returns it
	// in the same header, and the body of the response follows from it.
	TokenHeader = "X-Token"
	// ServiceTimeHeader is the time for which the request occupies a slot, as a
	// Go duration. Without it the upstream draws a random one.
	ServiceTimeHeader = "X-Service-Time"
	// ResponseBytesHeader is the requested size of the response's body in bytes.
	ResponseBytesHeader = "X-Answer-Bytes"
	// CallerHeader identifies the caller.
	CallerHeader = "X-Caller"
	// IdempotencyHeader is the idempotency key of an order.
	IdempotencyHeader = "Idempotency-Key"
	// OutcomeHeader is set on responses that the load balancer itself generates.
	OutcomeHeader = "Chestnut-Outcome"
	// NotRunHeader is set by an upstream that did not execute the request.
	NotRunHeader = "Chestnut-Not-Run"
	// DrainingHeader is set by an upstream that is draining.
	DrainingHeader = "Chestnut-Draining"
	// DeadlineHeader is the time that the request has left, in milliseconds.
	DeadlineHeader = "Chestnut-Deadline-Ms"
	// LoadHeader carries the load report of an upstream.
	LoadHeader = "endpoint-load-metrics"
)

// ResponseBody returns the response to a token, size bytes long: the token itself,
// followed by pseudo-random hexadecimal digits with the token's hash as their
// seed.
func ResponseBody(token string, size int) []byte {
	var seed [32]byte
	sum := xxhash.Sum64String(token)
	for i := range seed {
		seed[i] = byte(sum >> (8 * (i % 8)))
	}
	body := make([]byte, 0, size+hex.EncodedLen(size))
	body = append(body, token...)
	if missing := size - len(body); missing > 0 {
		raw := make([]byte, (missing+1)/2)
		_, _ = rand.NewChaCha8(seed).Read(raw)
		body = hex.AppendEncode(body, raw)
	}
	return body[:size]
}

// Match is the result of comparing a response with the expected one.
type Match uint8

// The results of Compare.
const (
	// Complete: the complete expected response.
	Complete Match = iota + 1
	// Truncated: only the start of the expected response.
	Truncated
	// Mismatch: not the response to this request.
	Mismatch
)

// Compare compares a body with the response to the token, size bytes long.
func Compare(token string, size int, body []byte) Match {
	want := ResponseBody(token, size)
	switch {
	case bytes.Equal(body, want):
		return Complete
	case bytes.HasPrefix(want, body):
		return Truncated
	default:
		return Mismatch
	}
}

package workload

import (
	"bytes"
	"encoding/hex"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
)

// The headers of a lab request and of its answer.
const (
	// TokenHeader names the request; the answer echoes it.
	TokenHeader = "X-Token"
	// ServiceTimeHeader is the time that the request takes in a slot, as a
	// Go duration; without it the upstream draws one.
	ServiceTimeHeader = "X-Service-Time"
	// SizeHeader is the number of bytes asked for in the answer's body.
	SizeHeader = "X-Answer-Bytes"
	// CallerHeader names the caller.
	CallerHeader = "X-Caller"
	// IdempotencyHeader names an order.
	IdempotencyHeader = "Idempotency-Key"
	// OutcomeHeader is set on answers that the balancer made.
	OutcomeHeader = "Chestnut-Outcome"
	// NotRunHeader is set by an upstream that did not run the request.
	NotRunHeader = "Chestnut-Not-Run"
	// DrainingHeader is set by an upstream that is leaving.
	DrainingHeader = "Chestnut-Draining"
	// DeadlineHeader is the time left for the request in milliseconds.
	DeadlineHeader = "Chestnut-Deadline-Ms"
	// LoadHeader carries the load report.
	LoadHeader = "endpoint-load-metrics"
)

// Body returns the answer to a token: the token itself, then bytes that only
// this token has, size bytes in all.
func Body(token string, size int) []byte {
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

// Match is how an answer compares with the one that its request should get.
type Match uint8

// The results of Compare.
const (
	// Whole: the caller's own answer, all of it.
	Whole Match = iota + 1
	// Truncated: the caller's own answer, cut short.
	Truncated
	// Foreign: not the answer to this request.
	Foreign
)

// Compare says whether body answers the token with size bytes.
func Compare(token string, size int, body []byte) Match {
	want := Body(token, size)
	switch {
	case bytes.Equal(body, want):
		return Whole
	case bytes.HasPrefix(want, body):
		return Truncated
	default:
		return Foreign
	}
}

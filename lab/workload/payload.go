package workload

import (
	"bytes"
	"encoding/hex"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
)

// The headers of a lab request and of its answer.
const (
	// TokenHeader is the unique identifier of the request. The answer returns it
	// in the same header, and the body of the answer follows from it.
	TokenHeader = "X-Token"
	// ServiceTimeHeader is the time for which the request occupies a slot, as a
	// Go duration. Without it the upstream draws a random one.
	ServiceTimeHeader = "X-Service-Time"
	// AnswerBytesHeader is the requested size of the answer's body in bytes.
	AnswerBytesHeader = "X-Answer-Bytes"
	// CallerHeader identifies the caller.
	CallerHeader = "X-Caller"
	// IdempotencyHeader is the idempotency key of an order.
	IdempotencyHeader = "Idempotency-Key"
	// OutcomeHeader is set on answers that the load balancer itself generates.
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

// AnswerBody returns the answer to a token, size bytes long: the token itself,
// followed by pseudo-random hexadecimal digits with the token's hash as their
// seed.
func AnswerBody(token string, size int) []byte {
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

// Match is the result of comparing an answer with the expected one.
type Match uint8

// The results of Compare.
const (
	// Complete: the complete expected answer.
	Complete Match = iota + 1
	// Truncated: only the start of the expected answer.
	Truncated
	// Mismatch: not the answer to this request.
	Mismatch
)

// Compare compares a body with the answer to the token of size bytes.
func Compare(token string, size int, body []byte) Match {
	want := AnswerBody(token, size)
	switch {
	case bytes.Equal(body, want):
		return Complete
	case bytes.HasPrefix(want, body):
		return Truncated
	default:
		return Mismatch
	}
}

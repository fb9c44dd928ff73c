package table

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/pkg/errors"
)

// Workspace is a customer of the deployment, whose callers share its API keys and
// its quota.
type Workspace struct {
	Name string `json:"name"`
	// Keys are the digests of the API keys; a workspace without any can't be used.
	Keys []KeyDigest `json:"keys,omitempty"`
	// Rank takes precedence over the rank of routes; nil leaves theirs.
	Rank *int `json:"rank,omitempty"`
	// RatePerSecond and Burst are the quota over all hosts together: a token bucket
	// of Burst requests that is filled at this rate. A rate of 0 sets no quota.
	RatePerSecond float64 `json:"rate_per_second,omitempty"`
	Burst         float64 `json:"burst,omitempty"`
	// Regions are the regions whose targets may serve the requests; empty allows
	// all.
	Regions []string `json:"regions,omitempty"`
}

// KeyDigest is the SHA-256 digest of an API key. Tables hold digests, so that a
// key is never part of a listing, a message between hosts or a log line, and its
// lookup takes no longer the more of it is right.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of an API key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// MarshalText returns the digest in hexadecimal form.
func (d KeyDigest) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, d[:]), nil }

// UnmarshalText parses the hexadecimal form.
func (d *KeyDigest) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != len(d) {
		return errors.Errorf("key digest has %d characters; expected %d hexadecimal digits", len(text), hex.EncodedLen(len(d)))
	}
	_, err := hex.Decode(d[:], text)
	return errors.Wrap(err, "key digest")
}

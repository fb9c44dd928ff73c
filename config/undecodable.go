package config

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// undecodableError means that this host can't decode the tables that a source holds as
// a version: another release wrote them, or they are damaged.
type undecodableError struct {
	version uint64
	cause   error
}

func (e *undecodableError) Error() string {
	return fmt.Sprintf("version %d: %v", e.version, e.cause)
}

func (e *undecodableError) Unwrap() error { return e.cause }

// undecodableVersion is the highest version that could not be decoded; its version is
// 0 when there is none above the installed one.
type undecodableVersion struct {
	version uint64
	problem string
	// failures counts the fetches from any source that ended so; none begins before
	// retryAt.
	failures int
	retryAt  time.Time
}

// reportUndecodable logs a version that this host can't decode.
type reportUndecodable struct {
	from source
	err  *undecodableError
}

func (reportUndecodable) isAction() {}

// recordUndecodable takes the error of a fetch. It returns the report of a version
// that could not be decoded for the first time.
func (c *core) recordUndecodable(now time.Time, from source, err error) []action {
	var e *undecodableError
	if !errors.As(err, &e) || e.version <= c.floor() {
		return nil
	}
	c.sources.recordVersion(from, e.version)
	var report []action
	if e.version > c.undecodable.version {
		c.undecodable = undecodableVersion{version: e.version, problem: e.cause.Error()}
		report = []action{reportUndecodable{from: from, err: e}}
	}
	if e.version == c.undecodable.version {
		// Most sources hold the same bytes, so they share the backoff.
		c.undecodable.failures++
		c.undecodable.retryAt = now.Add(c.jitter(backoff(c.undecodable.failures)))
	}
	return report
}

package config

import (
	"fmt"

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
}

// reportUndecodable logs a version that this host can't decode.
type reportUndecodable struct {
	from source
	err  *undecodableError
}

func (reportUndecodable) isAction() {}

// recordUndecodable takes the error of a fetch. It returns the report of a version
// that could not be decoded for the first time.
func (c *core) recordUndecodable(from source, err error) []action {
	var e *undecodableError
	if !errors.As(err, &e) || e.version <= c.floor() {
		return nil
	}
	c.sources.recordVersion(from, e.version)
	if e.version <= c.undecodable.version {
		return nil
	}
	c.undecodable = undecodableVersion{version: e.version, problem: e.cause.Error()}
	return []action{reportUndecodable{from: from, err: e}}
}

//go:build review

package main

import (
	"fmt"
	"io"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, with the time since the start.
type record struct {
	began time.Time
	mu    sync.Mutex
	out   io.WriteCloser
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), out: f}, nil
}

// at returns a moment as seconds since the start.
func (r *record) at(t time.Time) float64 { return t.Sub(r.began).Seconds() }

// printf writes a line to the record and to standard output.
func (r *record) printf(format string, args ...any) {
	r.line(format, args...)
	fmt.Printf("%8.3f  %s\n", r.at(time.Now()), fmt.Sprintf(format, args...))
}

// line writes a line to the record only.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", r.at(time.Now()), fmt.Sprintf(format, args...))
}

func (r *record) close() { _ = r.out.Close() }

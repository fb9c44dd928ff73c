// Package logging writes structured log lines without blocking the process.
// Lines wait for the writer in a bounded queue; lines beyond a rate, or for
// which the queue has no room, are dropped and counted.
package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// maxQueuedLines is the number of lines that can wait for the writer.
	maxQueuedLines = 512
	// maxLinesPerSecond limits the volume; a host at full load writes about one
	// line for each request.
	maxLinesPerSecond = 300
	// closeTimeout bounds how long Close waits for the queued lines to be
	// written.
	closeTimeout = 200 * time.Millisecond
)

// Logger is a zap logger that writes through a bounded queue.
type Logger struct {
	*zap.Logger
	level zap.AtomicLevel
	queue *queue
}

// New returns a logger that writes lines of at least the given level to out, as
// JSON. It fails when the level is unknown.
func New(out io.Writer, level string) (*Logger, error) {
	l := &Logger{level: zap.NewAtomicLevel(), queue: newQueue(out)}
	if err := l.SetLevel(level); err != nil {
		return nil, err
	}
	enc := zap.NewProductionEncoderConfig()
	enc.EncodeTime = zapcore.ISO8601TimeEncoder
	enc.EncodeDuration = zapcore.MillisDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(enc), l.queue, l.level)
	l.Logger = zap.New(noStackCore{core})
	return l, nil
}

// SetLevel sets the lowest level that is written: debug, info, warn or error.
// It fails when the level is unknown.
func (l *Logger) SetLevel(level string) error {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return errors.Wrap(err, "log level")
	}
	l.level.SetLevel(parsed)
	return nil
}

// Dropped returns the number of lines that were not written.
func (l *Logger) Dropped() uint64 { return l.queue.dropped.Load() }

// Close waits until the queued lines are written, for at most 200 ms. Later
// lines are dropped.
func (l *Logger) Close() { l.queue.close() }

// queue is a zapcore.WriteSyncer that never blocks.
type queue struct {
	out     io.Writer
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Uint64

	mu            sync.Mutex
	windowStart   time.Time
	linesInWindow int
	// unreported is the number of lines dropped since the last line that
	// reported such a number.
	unreported int
	closed     bool
}

func newQueue(out io.Writer) *queue {
	q := &queue{out: out, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go q.run()
	return q
}

func (q *queue) run() {
	defer close(q.done)
	for line := range q.lines {
		if _, err := q.out.Write(line); err != nil {
			q.dropped.Add(1)
		}
	}
}

// Write implements zapcore.WriteSyncer. It drops the line when the queue is
// closed or full, or the line is beyond the rate.
func (q *queue) Write(line []byte) (int, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed || !q.withinRate(time.Now()) {
		q.countDropped()
		return len(line), nil
	}
	if q.unreported > 0 && q.enqueue(fmt.Appendf(nil, "{\"level\":\"warn\",\"msg\":\"log lines left out\",\"lines\":%d}\n", q.unreported)) {
		q.unreported = 0
	}
	if !q.enqueue(append([]byte(nil), line...)) {
		q.countDropped()
	}
	return len(line), nil
}

// enqueue queues a line. It returns false when the queue is full.
func (q *queue) enqueue(line []byte) bool {
	select {
	case q.lines <- line:
		return true
	default:
		return false
	}
}

// countDropped counts a line that is not written. The caller holds the lock.
func (q *queue) countDropped() {
	q.unreported++
	q.dropped.Add(1)
}

// withinRate counts a line in the present one-second window and reports whether
// it is within maxLinesPerSecond.
func (q *queue) withinRate(now time.Time) bool {
	if now.Sub(q.windowStart) >= time.Second {
		q.windowStart, q.linesInWindow = now, 0
	}
	q.linesInWindow++
	return q.linesInWindow <= maxLinesPerSecond
}

// Sync implements zapcore.WriteSyncer. It does nothing, because the lines are
// written in order without it.
func (q *queue) Sync() error { return nil }

func (q *queue) close() {
	q.mu.Lock()
	if !q.closed {
		q.closed = true
		close(q.lines)
	}
	q.mu.Unlock()
	select {
	case <-q.done:
	case <-time.After(closeTimeout):
	}
}

// Package logging writes structured log lines without ever holding up the
// process: lines go through a bounded queue, and beyond a rate or a full queue
// they are dropped and counted.
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
	// queueLines is the number of lines that wait for the writer.
	queueLines = 512
	// linesPerSecond bounds the volume; a host at its full load writes about
	// one line for each request.
	linesPerSecond = 300
	// closeTimeout bounds the writing of what is left at the end.
	closeTimeout = 200 * time.Millisecond
)

// Logger is a zap logger with a bounded writer behind it.
type Logger struct {
	*zap.Logger
	level zap.AtomicLevel
	queue *queue
}

// New returns a logger of a level that writes JSON lines to out.
func New(out io.Writer, level string) (*Logger, error) {
	l := &Logger{level: zap.NewAtomicLevel(), queue: newQueue(out)}
	if err := l.SetLevel(level); err != nil {
		return nil, err
	}
	enc := zap.NewProductionEncoderConfig()
	enc.EncodeTime = zapcore.ISO8601TimeEncoder
	enc.EncodeDuration = zapcore.MillisDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(enc), l.queue, l.level)
	l.Logger = zap.New(plainErrors{core})
	return l, nil
}

// SetLevel changes the level to debug, info, warn or error.
func (l *Logger) SetLevel(level string) error {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return errors.Wrap(err, "log level")
	}
	l.level.SetLevel(parsed)
	return nil
}

// Dropped is the number of lines that were not written.
func (l *Logger) Dropped() uint64 { return l.queue.dropped.Load() }

// Close writes what is left, as far as that can be done in a short time.
func (l *Logger) Close() { l.queue.close() }

// queue is a WriteSyncer that never blocks.
type queue struct {
	out     io.Writer
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Uint64

	mu     sync.Mutex
	second time.Time
	count  int
	// missed counts the lines left out since that was last written.
	missed int
	closed bool
}

func newQueue(out io.Writer) *queue {
	q := &queue{out: out, lines: make(chan []byte, queueLines), done: make(chan struct{})}
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

// Write implements zapcore.WriteSyncer.
func (q *queue) Write(line []byte) (int, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed || !q.allows(time.Now()) {
		q.drop()
		return len(line), nil
	}
	if q.missed > 0 && q.put(fmt.Appendf(nil, "{\"level\":\"warn\",\"msg\":\"log lines left out\",\"lines\":%d}\n", q.missed)) {
		q.missed = 0
	}
	if !q.put(append([]byte(nil), line...)) {
		q.drop()
	}
	return len(line), nil
}

// put queues a line; false when there is no room.
func (q *queue) put(line []byte) bool {
	select {
	case q.lines <- line:
		return true
	default:
		return false
	}
}

// drop counts a line that is not written. The caller holds the lock.
func (q *queue) drop() {
	q.missed++
	q.dropped.Add(1)
}

// allows counts a line against the rate of its second.
func (q *queue) allows(now time.Time) bool {
	if now.Sub(q.second) >= time.Second {
		q.second, q.count = now, 0
	}
	q.count++
	return q.count <= linesPerSecond
}

// Sync implements zapcore.WriteSyncer; lines are written in order without it.
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

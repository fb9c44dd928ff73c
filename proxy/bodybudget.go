package proxy

import (
	"golang.org/x/sync/semaphore"
)

// unknownUploadBytes is the memory that is reserved for the body of an upload
// whose length is not announced; a larger one is streamed from there on.
const unknownUploadBytes = 512 << 10

// bodyBudget is the memory that all uploads of this host together may use to be
// received whole before a target is chosen. A body that is streamed holds a slot of
// its target for as long as its caller takes to send it, and can't be sent again
// when the target refuses it.
type bodyBudget struct {
	free  *semaphore.Weighted
	total int64
}

func newBodyBudget(bytes int) *bodyBudget {
	return &bodyBudget{free: semaphore.NewWeighted(int64(bytes)), total: int64(bytes)}
}

// reserve reserves memory for a body of the given length. It returns how many bytes
// may be buffered, 0 when the body doesn't fit, and a function that frees them.
func (b *bodyBudget) reserve(length int64) (bytes int, release func()) {
	if length == unknownLength {
		length = unknownUploadBytes
	}
	if length > b.total || !b.free.TryAcquire(length) {
		return 0, func() {}
	}
	return int(length), func() { b.free.Release(length) }
}

// bufferLimit returns how many bytes of the body are buffered before a target is
// chosen; release frees the memory that was reserved for them.
func (c *call) bufferLimit() (limit int, release func()) {
	limit, release = c.server.limits.BufferedBodyBytes, func() {}
	if c.keyed() {
		limit = c.server.limits.MaxKeyedBodyBytes
	}
	long := c.in.length == unknownLength || c.in.length > int64(limit)
	if !c.match.Route.Upload || !long {
		return limit, release
	}
	reserved, release := c.server.bodies.reserve(c.in.length)
	if reserved == 0 && c.server.limits.UploadBufferBytes > 0 {
		c.server.metrics.uploadsStreamed.Inc()
	}
	return max(limit, reserved), release
}

// sendsWhileReading reports whether the response has to be read while the body is
// sent: a target may refuse a long body before it has read it.
func (c *call) sendsWhileReading() bool {
	return !c.body.replayable() || c.match.Route.Upload && len(c.body.buffered) > c.server.limits.BufferedBodyBytes
}

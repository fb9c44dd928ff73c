package upstreamd

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutfield/chestnutfield/lab/workload"
)

// job is one request that takes a slot. orderKey identifies an order by caller
// and idempotency key; it is "" without such a key.
type job struct {
	token, orderKey string
	size            int
	serviceTime     time.Duration
}

func (s *Server) newJob(r *http.Request) (job, error) {
	j := job{token: r.Header.Get(workload.TokenHeader), size: defaultResponseBytes}
	if key := r.Header.Get(workload.IdempotencyHeader); key != "" {
		j.orderKey = r.Header.Get(workload.CallerHeader) + "\x00" + key
	}
	if v := r.Header.Get(workload.ResponseBytesHeader); v != "" {
		n, err := strconv.Atoi(v)
		if err != nil || n < 0 || n > maxResponseBytes {
			return j, errors.Errorf("%s %q: expected 0 to %d", workload.ResponseBytesHeader, v, maxResponseBytes)
		}
		j.size = n
	}
	v := r.Header.Get(workload.ServiceTimeHeader)
	if v == "" {
		s.mu.Lock()
		j.serviceTime = s.opts.ServiceTime.Draw(s.rand)
		s.mu.Unlock()
		return j, nil
	}
	var err error
	j.serviceTime, err = time.ParseDuration(v)
	return j, errors.Wrap(err, workload.ServiceTimeHeader)
}

// requestContext returns a context that ends when the connection closes or the
// deadline of the request passes.
func requestContext(r *http.Request) (context.Context, context.CancelFunc) {
	ms, err := strconv.Atoi(r.Header.Get(workload.DeadlineHeader))
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
}

// acquire waits in the queue for a slot. It returns false if the queue is full or
// the context ends first.
func (s *Server) acquire(ctx context.Context) bool {
	if s.slots.TryAcquire(1) {
		return true
	}
	if s.queued.Add(1) > int64(s.opts.Queue) {
		s.queued.Add(-1)
		return false
	}
	defer s.queued.Add(-1)
	return s.slots.Acquire(ctx, 1) == nil
}

// run occupies the acquired slot for the service time of the job and releases it.
// It returns false if the context ended first.
func (s *Server) run(ctx context.Context, j job) bool {
	began := time.Now()
	s.inFlight.Add(1)
	defer func() {
		s.counters.busy.Add(int64(time.Since(began)))
		s.inFlight.Add(-1)
		s.slots.Release(1)
	}()
	timer := time.NewTimer(s.adjustServiceTime(began, j.serviceTime))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// adjustServiceTime applies the current behavior to a service time.
func (s *Server) adjustServiceTime(now time.Time, work time.Duration) time.Duration {
	s.mu.Lock()
	b, restarted := s.behavior, s.restartedAt
	s.mu.Unlock()
	if b.Slowdown > 0 {
		work = time.Duration(float64(work) * b.Slowdown)
	}
	if !restarted.IsZero() {
		work = time.Duration(float64(work) * coldFactor(now.Sub(restarted), s.opts.ColdStartTime))
	}
	if b.Noisy {
		work = s.noise.duration(now.Sub(s.createdAt), work)
	}
	return work
}

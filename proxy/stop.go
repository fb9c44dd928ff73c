package proxy

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/chestnutfield/chestnutfield/shutdown"
)

// DisableKeepAlives makes every response carry Connection: close. Requests are served as
// before.
func (s *Server) DisableKeepAlives() { s.keepAlivesDisabled.Store(true) }

// BeginStop begins a planned stop. Connections are still accepted until Shutdown, every
// response carries Connection: close, and requests that the schedule does not allow to
// be passed on are refused as not run. At the schedule's cut, the requests without a
// response are ended.
func (s *Server) BeginStop(schedule shutdown.Schedule) {
	if !s.schedule.CompareAndSwap(nil, &schedule) {
		return
	}
	s.DisableKeepAlives()
	if !schedule.CutAt.IsZero() {
		s.opts.Clock.AfterFunc(schedule.CutAt.Sub(s.opts.Clock.Now()), s.cutRequests)
	}
	for _, c := range s.watcher.all() {
		if cl := c.serving.Load(); cl != nil {
			cl.applySchedule()
		}
	}
}

// cutRequests ends the requests without a response, so that their callers are still told
// what is known of them.
func (s *Server) cutRequests() {
	cut := 0
	for _, c := range s.watcher.all() {
		if cl := c.serving.Load(); cl != nil && cl.hostStopped() {
			cut++
		}
	}
	if cut > 0 {
		s.opts.Logger.Warn("requests have no response at the end of a planned stop; they end now", zap.Int("requests", cut))
	}
}

// answerTime is the time at the end of a planned stop in which the callers of the
// requests that are cut get their responses.
const answerTime = 150 * time.Millisecond

// scheduleUntil returns the schedule of a stop that ends with ctx.
func (s *Server) scheduleUntil(ctx context.Context) shutdown.Schedule {
	now := s.opts.Clock.Now()
	schedule := shutdown.Schedule{Began: now, LateFrom: now.Add(s.limits.ShutdownDelay)}
	if end, ok := ctx.Deadline(); ok {
		schedule.CutAt = now.Add(time.Until(end) - answerTime)
	}
	return schedule
}

// Shutdown stops the server gracefully. It stops accepting connections at
// once, answers requests in flight, and those that arrive on open connections
// within ShutdownDelay, with Connection: close, and returns when the last
// response is written. Without a BeginStop before, the stop is scheduled to end with
// ctx. If ctx ends first, Shutdown closes the remaining connections and returns the
// error of ctx.
func (s *Server) Shutdown(ctx context.Context) error {
	if !s.stopping.CompareAndSwap(false, true) {
		return errors.New("proxy: Shutdown was called before; ignoring this call")
	}
	s.BeginStop(s.scheduleUntil(ctx))
	s.opts.Logger.Info("stopping: no new connections")
	s.mu.Lock()
	ln := s.listener
	s.mu.Unlock()
	if ln != nil {
		ln.Close()
	}
	err := s.waitForRequests(ctx)
	for _, c := range s.watcher.all() {
		c.hangup()
		c.Close()
	}
	s.watcher.stop()
	s.upstream.CloseIdle(true)
	s.opts.Logger.Info("stopped", zap.Error(err))
	return err
}

// waitForRequests waits until the requests in flight, and those that arrive
// within ShutdownDelay, are answered.
func (s *Server) waitForRequests(ctx context.Context) error {
	select {
	case <-s.opts.Clock.After(s.limits.ShutdownDelay):
	case <-ctx.Done():
		return errors.WithStack(ctx.Err())
	}
	if err := s.http.ShutdownWithContext(ctx); err != nil && ctx.Err() != nil {
		return errors.WithStack(ctx.Err())
	}
	done := make(chan struct{})
	go func() {
		s.attempts.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errors.WithStack(ctx.Err())
	}
}

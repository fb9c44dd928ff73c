package upstreamd

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutfield/chestnutfield/lab/workload"
)

const (
	defaultResponseBytes = 256
	maxResponseBytes     = 64 << 20
	absurdReport         = "TEXT named_metrics.in_flight=-7, named_metrics.queued=1e30, application_utilization=-3"
	idleReport           = "TEXT named_metrics.in_flight=0, named_metrics.queued=0, application_utilization=0"
)

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/load", s.handleLoad)
	mux.HandleFunc("/health", s.handleHealth)
	mux.HandleFunc("/control", s.handleControl)
	mux.HandleFunc("/stats", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Stats()) })
	mux.HandleFunc("/", s.handleWork)
	return mux
}

// accurateReport returns the load report for the current load.
func (s *Server) accurateReport() string {
	running, queued := s.inFlight.Load(), s.queued.Load()
	return fmt.Sprintf("TEXT named_metrics.in_flight=%d, named_metrics.queued=%d, application_utilization=%.2f",
		running, queued, float64(running)/float64(s.opts.Slots))
}

// report returns the load report according to the current behavior.
func (s *Server) report() string {
	s.mu.Lock()
	kind, frozen := s.behavior.Report, s.frozenReport
	s.mu.Unlock()
	switch kind {
	case ReportFrozen:
		return frozen
	case ReportIdle:
		return idleReport
	case ReportAbsurd:
		return absurdReport
	case ReportNone:
		return ""
	default:
		return s.accurateReport()
	}
}

// setLoadHeaders sets the headers of the load report and of an announced drain.
func (s *Server) setLoadHeaders(w http.ResponseWriter) {
	if report := s.report(); report != "" {
		w.Header().Set(workload.LoadHeader, report)
	}
	if s.Behavior().Drain == DrainAnnounced {
		w.Header().Set(workload.DrainingHeader, "1")
	}
}

// respond sends a response with the load report.
func (s *Server) respond(w http.ResponseWriter, status int, body []byte) {
	s.setLoadHeaders(w)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

func (s *Server) handleLoad(w http.ResponseWriter, _ *http.Request) {
	s.counters.loadProbes.Add(1)
	s.respond(w, http.StatusOK, []byte(s.report()))
}

func (s *Server) handleHealth(w http.ResponseWriter, _ *http.Request) {
	s.counters.healthProbes.Add(1)
	status := http.StatusOK
	if b := s.Behavior(); b.FailFast || b.Drain == DrainSilent {
		status = http.StatusServiceUnavailable
	}
	s.respond(w, status, nil)
}

// handleWork serves a request that takes a slot.
func (s *Server) handleWork(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	s.counters.arrivals.Add(1)
	j, err := s.newJob(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.opts.Log.RecordArrival(j.token)
	s.countLateWork()
	b := s.Behavior()
	switch {
	case b.FailFast:
		s.counters.failed.Add(1)
		s.respond(w, http.StatusInternalServerError, []byte("failing"))
	case b.Drain == DrainSilent:
		s.respondNotRun(w)
	default:
		s.serve(w, r, j)
	}
}

// countLateWork counts a request that arrives more than DrainGrace after the
// target began to drain.
func (s *Server) countLateWork() {
	s.mu.Lock()
	draining, since := s.behavior.Drain != DrainNone, time.Since(s.drainStart)
	s.mu.Unlock()
	if draining && since > s.opts.DrainGrace {
		s.counters.lateWork.Add(1)
		storeMax(&s.counters.lastLateWork, int64(since))
	}
}

// respondNotRun responds that the request was not run.
func (s *Server) respondNotRun(w http.ResponseWriter) {
	s.counters.shed.Add(1)
	w.Header().Set(workload.NotRunHeader, "1")
	w.Header().Set("Retry-After", "1")
	s.respond(w, http.StatusServiceUnavailable, []byte("not run"))
}

// serve waits for a slot, runs the job and responds.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, j job) {
	ctx, cancel := requestContext(r)
	defer cancel()
	if !s.acquire(ctx) {
		if ctx.Err() != nil {
			s.countAborted(ctx)
		}
		s.respondNotRun(w)
		return
	}
	s.opts.Log.RecordRun(j.token, j.orderKey)
	s.counters.runs.Add(1)
	if completed := s.run(ctx, j); !completed {
		s.countAborted(ctx)
		s.respond(w, http.StatusGatewayTimeout, []byte("stopped"))
		return
	}
	if s.Behavior().Hang {
		<-r.Context().Done()
		return
	}
	w.Header().Set(workload.TokenHeader, j.token)
	s.respond(w, http.StatusOK, workload.ResponseBody(j.token, j.size))
}

// countAborted counts a request whose context ended, by the cause.
func (s *Server) countAborted(ctx context.Context) {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		s.counters.expired.Add(1)
		return
	}
	s.counters.cancelled.Add(1)
}

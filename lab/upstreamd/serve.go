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
	defaultAnswerBytes = 256
	maxAnswerBytes     = 64 << 20
	absurdReport       = "TEXT named_metrics.in_flight=-7, named_metrics.queued=1e30, application_utilization=-3"
	idleReport         = "TEXT named_metrics.in_flight=0, named_metrics.queued=0, application_utilization=0"
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

// accurateReport is the load report at this moment.
func (s *Server) accurateReport() string {
	running, queued := s.inFlight.Load(), s.queued.Load()
	return fmt.Sprintf("TEXT named_metrics.in_flight=%d, named_metrics.queued=%d, application_utilization=%.2f",
		running, queued, float64(running)/float64(s.opts.Slots))
}

// report is the load report that the behavior in force gives.
func (s *Server) report() string {
	s.mu.Lock()
	kind, frozen := s.behavior.Report, s.frozen
	s.mu.Unlock()
	switch kind {
	case Frozen:
		return frozen
	case Idle:
		return idleReport
	case Absurd:
		return absurdReport
	case None:
		return ""
	default:
		return s.accurateReport()
	}
}

// setReport adds the load report and word of leaving to an answer.
func (s *Server) setReport(w http.ResponseWriter) {
	if report := s.report(); report != "" {
		w.Header().Set(workload.LoadHeader, report)
	}
	if s.Behavior().Drain == Announced {
		w.Header().Set(workload.DrainingHeader, "1")
	}
}

// answer sends an answer of the target with its load report.
func (s *Server) answer(w http.ResponseWriter, status int, body []byte) {
	s.setReport(w)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

func (s *Server) handleLoad(w http.ResponseWriter, _ *http.Request) {
	s.counters.loadProbes.Add(1)
	s.answer(w, http.StatusOK, []byte(s.report()))
}

func (s *Server) handleHealth(w http.ResponseWriter, _ *http.Request) {
	s.counters.healthProbes.Add(1)
	status := http.StatusOK
	if b := s.Behavior(); b.FailFast || b.Drain == Silent {
		status = http.StatusServiceUnavailable
	}
	s.answer(w, status, nil)
}

// handleWork serves one request for work.
func (s *Server) handleWork(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	s.counters.arrivals.Add(1)
	j, err := s.newJob(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.opts.Log.Arrived(j.token)
	s.noteDrain()
	b := s.Behavior()
	switch {
	case b.FailFast:
		s.counters.failed.Add(1)
		s.answer(w, http.StatusInternalServerError, []byte("failing"))
	case b.Drain == Silent:
		s.refuse(w)
	default:
		s.serve(w, r, j)
	}
}

// noteDrain counts work that arrives long after the target began to leave.
func (s *Server) noteDrain() {
	s.mu.Lock()
	leaving, since := s.behavior.Drain != Staying, time.Since(s.drainFrom)
	s.mu.Unlock()
	if leaving && since > s.opts.DrainGrace {
		s.counters.lateWork.Add(1)
		storeMax(&s.counters.lastLateWork, int64(since))
	}
}

// refuse says that the request was not run.
func (s *Server) refuse(w http.ResponseWriter) {
	s.counters.shed.Add(1)
	w.Header().Set(workload.NotRunHeader, "1")
	w.Header().Set("Retry-After", "1")
	s.answer(w, http.StatusServiceUnavailable, []byte("not run"))
}

// serve waits for a slot, runs the job and answers.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, j job) {
	ctx, cancel := requestContext(r)
	defer cancel()
	if !s.acquire(ctx) {
		if ctx.Err() != nil {
			s.countEnd(ctx)
		}
		s.refuse(w)
		return
	}
	s.opts.Log.Began(j.token, j.order)
	s.counters.runs.Add(1)
	if whole := s.run(ctx, j); !whole {
		s.countEnd(ctx)
		s.answer(w, http.StatusGatewayTimeout, []byte("stopped"))
		return
	}
	if s.Behavior().Hang {
		<-r.Context().Done()
		return
	}
	w.Header().Set(workload.TokenHeader, j.token)
	s.answer(w, http.StatusOK, workload.Body(j.token, j.size))
}

func (s *Server) countEnd(ctx context.Context) {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		s.counters.expired.Add(1)
		return
	}
	s.counters.cancelled.Add(1)
}

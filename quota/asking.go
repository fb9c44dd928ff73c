package quota

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/chestnutfield/chestnutfield/lb"
)

const (
	// maxAsking is how long a request may go on asking for a token while its quota host
	// doesn't answer: the time after which another one grants the whole rate. That of
	// 0.75 s left a fifth of the requests refused when a quota host was killed.
	maxAsking = 1400 * time.Millisecond
	// askingShare is the part of the time left to a request's deadline that it may
	// spend so: the rest is for its execution.
	askingShare = 0.5
	// maxAskingRequests is the number of requests of one workspace that go on asking at
	// one host at a time. It bounds the messages to a host that may be overloaded; a
	// host with more requests than that admits some by its own rate.
	maxAskingRequests = 8
	// askingTries is the number of times that such a request sends one message: a quota
	// host that takes longer than requestTries allow may only be slow.
	askingTries = 2 * requestTries
)

// askingTime returns how long a request may go on asking that has the time left to
// its deadline.
func askingTime(left time.Duration) time.Duration {
	return max(0, min(maxAsking, time.Duration(askingShare*float64(left))))
}

// askingRequest is a request that may go on asking for a token. It reads no clock.
type askingRequest struct {
	shard     *shard
	workspace string
	until     time.Time
	// counted is true once the request goes on asking.
	counted bool
}

func newAskingRequest(now time.Time, s *shard, q lb.QuotaQuery) *askingRequest {
	r := &askingRequest{shard: s, workspace: q.Workspace.Name, until: now}
	if !q.Deadline.IsZero() {
		r.until = now.Add(askingTime(q.Deadline.Sub(now)))
	}
	return r
}

// goOn reports whether the request may ask again after a decision.
func (r *askingRequest) goOn(now time.Time, d decision) bool {
	if d.verdict == granted || !r.counted && !r.shard.missing(now, d) || !now.Add(unreadyInterval).Before(r.until) {
		return false
	}
	r.counted = r.counted || r.shard.keepAsking(r.workspace)
	return r.counted
}

// stop ends the request.
func (r *askingRequest) stop() {
	if r.counted {
		r.shard.stopAsking(r.workspace)
	}
	r.counted = false
}

// source returns where the request gets its token.
func (r *askingRequest) source() source {
	if r.counted {
		return r.shard.silentSource(r.workspace)
	}
	return r.shard.source(r.workspace)
}

// tries returns how often the request sends one message.
func (r *askingRequest) tries() int {
	if r.counted {
		return askingTries
	}
	return requestTries
}

// keepAsking reports whether a request that neither got an answer nor may run without
// one may go on asking. It counts as asking until stopAsking.
func (s *shard) keepAsking(workspace string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.asking[workspace] >= maxAskingRequests {
		return false
	}
	s.asking[workspace]++
	return true
}

// stopAsking ends what keepAsking began.
func (s *shard) stopAsking(workspace string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.asking[workspace]--; s.asking[workspace] <= 0 {
		delete(s.asking, workspace)
	}
}

// silentSource returns where a request that goes on asking gets its token: also at a
// quota host that counts as failed, which may only have been late.
func (s *shard) silentSource(workspace string) source {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.delegation.host == "" {
		return source{}
	}
	return source{host: s.delegation.host, bridged: s.bridge.settle(workspace)}
}

// missing reports whether a decision is no answer, or the refusal of a quota host that
// this host has just changed to and to which most hosts have yet to delegate.
func (s *shard) missing(now time.Time, d decision) bool {
	if d.verdict == unready {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return d.verdict == refused && d.fraction < minUndividedFraction && now.Sub(s.delegation.changedAt) < settleTime
}

// newAskedAgain returns the counter of requests that went on asking.
func newAskedAgain() *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "chestnut_quota_asked_again_total",
		Help: "Requests that went on asking for a token because the quota host did not answer in time, by result.",
	}, []string{"result"})
}

// reportAsking counts a request that went on asking, and logs it when it got a token;
// a refusal has its own line.
func (c *Client) reportAsking(q lb.QuotaQuery, r *askingRequest, refusal *lb.Refusal, began time.Time) {
	if !r.counted {
		return
	}
	result := "granted"
	if refusal != nil {
		result = "refused"
	}
	c.askedAgain.WithLabelValues(result).Inc()
	now := c.Clock.Now()
	if refusal == nil && c.refusalLog.AllowN(now, 1) {
		c.Logger.Info("quota host did not answer in time; the request got its token later", zap.String("request", q.RequestID),
			zap.String("workspace", q.Workspace.Name), zap.Duration("waited", now.Sub(began)))
	}
}

package gateway

import (
	"strconv"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/chestnutfield/chestnutfield/proxy"
)

// requestLog logs one line for each request.
type requestLog struct{ log *zap.Logger }

// RequestEnded implements proxy.RequestLog.
func (l requestLog) RequestEnded(r proxy.RequestRecord) {
	fields := []zap.Field{
		zap.String("request", r.ID), zap.String("route", r.Route), zap.String("pool", r.Pool),
		zap.Uint64("tables", r.Version), zap.Stringer("outcome", r.Outcome), zap.Int("status", r.Status),
		zap.Duration("total", r.Total), zap.Duration("allowed", r.Deadline),
	}
	if r.Waited > 0 {
		fields = append(fields, zap.Duration("caller_waited", r.Waited))
	}
	if r.Workspace != "" {
		fields = append(fields, zap.String("workspace", r.Workspace))
	}
	if r.Reason != 0 {
		fields = append(fields, zap.Stringer("reason", r.Reason), zap.Duration("retry_after", r.RetryAfter))
	}
	if r.Detail != "" {
		fields = append(fields, zap.String("detail", r.Detail))
	}
	if r.Content != 0 {
		fields = append(fields, zap.String("content", strconv.FormatUint(r.Content, 16)))
	}
	if len(r.Attempts) > 0 {
		fields = append(fields, zap.Array("attempts", attempts(r.Attempts)))
	}
	l.log.Info("request", fields...)
}

// attempts logs the attempts of a request, in order.
type attempts []proxy.AttemptRecord

// MarshalLogArray implements zapcore.ArrayMarshaler.
func (a attempts) MarshalLogArray(enc zapcore.ArrayEncoder) error {
	for _, r := range a {
		if err := enc.AppendObject(attemptLine(r)); err != nil {
			return err
		}
	}
	return nil
}

// attemptLine logs one attempt, with the load by which its target was chosen.
type attemptLine proxy.AttemptRecord

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (a attemptLine) MarshalLogObject(enc zapcore.ObjectEncoder) error {
	enc.AddString("target", a.Identity)
	enc.AddString("address", a.Target.String())
	enc.AddString("verdict", a.Verdict.String())
	enc.AddDuration("after", a.DispatchDelay)
	enc.AddDuration("latency", a.Latency)
	if b := a.Basis; b != nil {
		enc.AddInt("present", b.Outstanding)
		enc.AddInt("slots", b.Slots)
		enc.AddFloat64("slowdown", b.Slowdown)
		enc.AddDuration("report_age", b.Age)
		enc.AddFloat64("cost", b.Cost)
		if b.RateLimit > 0 {
			enc.AddFloat64("rate_limit", b.RateLimit)
			enc.AddString("rate_limit_reason", b.RateLimitReason.String())
		}
		if b.PlacedBy != "" {
			enc.AddString("placed_by", b.PlacedBy)
		}
	}
	if a.Error != "" {
		enc.AddString("error", a.Error)
	}
	return nil
}

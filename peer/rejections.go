package peer

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/chestnutfield/chestnutfield/lb"
)

// Targets that reject all requests travel in messages of their own, since hosts of
// older builds run beside this one: these respond with 404.
const (
	rejectionsPath = "/twirp/chestnutfield.peer.Rejections/Exchange"
	// unsupportedRetry is the time after which a host that did not know the message is
	// sent it again.
	unsupportedRetry = time.Minute
	// maxRejections is the number of targets in one message.
	maxRejections = 1024
	// maxRejectionAge bounds the ages in a message.
	maxRejectionAge = time.Hour
)

// rejectionsMessage is the request and the response, in CBOR.
type rejectionsMessage struct {
	From    string          `cbor:"1,keyasint"`
	Targets []wireRejection `cbor:"2,keyasint,omitempty"`
}

// wireRejection is one lb.TargetRejection, with ages in milliseconds.
type wireRejection struct {
	Target    netip.AddrPort `cbor:"1,keyasint"`
	Since     uint32         `cbor:"2,keyasint"`
	Renewed   uint32         `cbor:"3,keyasint"`
	Served    bool           `cbor:"4,keyasint,omitempty"`
	ServedAge uint32         `cbor:"5,keyasint,omitempty"`
}

// unsupported holds the hosts that do not know the message.
type unsupported struct {
	mu    sync.Mutex
	until map[netip.AddrPort]time.Time
}

func (u *unsupported) skipped(now time.Time, addr netip.AddrPort) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return now.Before(u.until[addr])
}

func (u *unsupported) add(now time.Time, addr netip.AddrPort) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.until == nil || len(u.until) >= maxEntries {
		u.until = map[netip.AddrPort]time.Time{}
	}
	u.until[addr] = now.Add(unsupportedRetry)
}

// outgoingRejections returns the message to send now; ok is false when there is nothing
// to tell.
func (n *Node) outgoingRejections(now time.Time) (m rejectionsMessage, ok bool) {
	m.From = n.opt.Members.Self().Name
	if n.opt.Rejections == nil {
		return m, false
	}
	milliseconds := func(d time.Duration) uint32 { return uint32(clamp(d, maxRejectionAge) / time.Millisecond) }
	for _, r := range n.opt.Rejections.OutgoingRejections(now) {
		if len(m.Targets) == maxRejections {
			break
		}
		m.Targets = append(m.Targets, wireRejection{
			Target: r.Target, Since: milliseconds(r.SinceAge), Renewed: milliseconds(r.RenewedAge),
			Served: r.Served, ServedAge: milliseconds(r.ServedAge),
		})
	}
	return m, len(m.Targets) > 0
}

// mergeRejections decodes and merges a message. News is pushed to other peers.
func (n *Node) mergeRejections(body []byte) error {
	var m rejectionsMessage
	if err := cbor.Unmarshal(body, &m); err != nil {
		return errors.Wrap(err, "rejections")
	}
	if err := checkName("from", m.From); err != nil {
		return err
	}
	if len(m.Targets) > maxRejections {
		return errors.Errorf("rejections: %d targets, at most %d expected", len(m.Targets), maxRejections)
	}
	in := make([]lb.TargetRejection, 0, len(m.Targets))
	for _, w := range m.Targets {
		age := func(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }
		if !w.Target.IsValid() || max(age(w.Since), age(w.Renewed), age(w.ServedAge)) > maxRejectionAge {
			return errors.Errorf("rejections: target %s: address or age out of range", w.Target)
		}
		in = append(in, lb.TargetRejection{
			Target: unmap(w.Target), SinceAge: age(w.Since), RenewedAge: age(w.Renewed), Served: w.Served, ServedAge: age(w.ServedAge),
		})
	}
	if len(in) > 0 && n.opt.Rejections.IncomingRejections(n.opt.Clock.Now(), m.From, in) {
		n.PushRejections()
	}
	return nil
}

// exchangeRejections tells one peer of targets that reject all requests, and merges its
// response. Without any, nothing is sent.
func (n *Node) exchangeRejections(ctx context.Context, addr netip.AddrPort) {
	now := n.opt.Clock.Now()
	m, ok := n.outgoingRejections(now)
	if !ok || n.unsupported.skipped(now, addr) {
		return
	}
	status, body, err := n.clients.post(ctx, addr, rejectionsPath, m)
	switch {
	case err != nil:
		n.metrics.rejections.WithLabelValues("failed").Inc()
	case status == http.StatusNotFound:
		n.unsupported.add(now, addr)
		n.metrics.rejections.WithLabelValues("unsupported").Inc()
	case status != http.StatusOK || n.mergeRejections(body) != nil:
		n.metrics.rejections.WithLabelValues("refused").Inc()
	default:
		n.metrics.rejections.WithLabelValues("ok").Inc()
	}
}

// handleRejections answers a peer's message with this host's own.
func (n *Node) handleRejections(w http.ResponseWriter, r *http.Request) {
	if n.opt.Rejections == nil {
		http.NotFound(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err == nil {
		err = n.mergeRejections(body)
	}
	if err != nil {
		n.metrics.refused.Inc()
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	m, _ := n.outgoingRejections(n.opt.Clock.Now())
	response, err := cbor.Marshal(m)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/cbor")
	_, _ = w.Write(response)
}

// post sends a message in CBOR and returns the status and the body of the response.
func (c *clients) post(ctx context.Context, addr netip.AddrPort, path string, message any) (status int, body []byte, err error) {
	encoded, err := cbor.Marshal(message)
	if err != nil {
		return 0, nil, errors.WithStack(err)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, c.baseURL(addr)+path, bytes.NewReader(encoded))
	if err != nil {
		return 0, nil, errors.WithStack(err)
	}
	r.Header.Set("Content-Type", "application/cbor")
	response, err := c.http().Do(r)
	if err != nil {
		return 0, nil, errors.WithStack(err)
	}
	defer response.Body.Close()
	body, err = io.ReadAll(response.Body)
	return response.StatusCode, body, errors.WithStack(err)
}

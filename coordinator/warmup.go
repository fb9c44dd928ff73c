package coordinator

import (
	"time"

	"go.uber.org/zap"

	"github.com/chestnutfield/chestnutfield/backpressure"
	"github.com/chestnutfield/chestnutfield/hostmsg"
	"github.com/chestnutfield/chestnutfield/lb"
	"github.com/chestnutfield/chestnutfield/placement"
	"github.com/chestnutfield/chestnutfield/registry"
	"github.com/chestnutfield/chestnutfield/roster"
)

// warmupNotice tells that a target has a rate limit because it is cold. It is a message
// of its own, so that hosts of older versions, which drop it, read all others as before.
type warmupNotice struct {
	_ struct{} `cbor:",toarray"`
	// MessageID is that of the placeRequest whose response with this target follows, 0
	// when there is none.
	MessageID     uint64
	ID            string
	StartedMillis int64
	// Left is the rest of the warm-up in milliseconds.
	Left int64
}

// WarmupHeard implements placement.Fleet: it tells the witnesses of the target's
// partition, one of which is its coordinator and another the next one.
func (f *fleet) WarmupHeard(pool string, partition int, instance registry.Instance, until time.Time) {
	left := until.Sub(f.Clock.Now())
	for _, h := range witnessesOf(f.Roster, Task(pool, partition)) {
		if h.Name != f.Roster.Self().Name {
			f.publishWarmup(h, instance, left)
		}
	}
}

// publishWarmup tells one host that a target is cold.
func (f *fleet) publishWarmup(h roster.Host, instance registry.Instance, left time.Duration) {
	n := warmupNotice{ID: instance.ID, StartedMillis: instance.StartedMillis, Left: left.Milliseconds()}
	if err := f.Node.Notify(h.Addr, kindWarmup, n); err != nil {
		f.Logger.Debug("warm-up of a target was not passed on; the host learns of it from the registry or a load query", zap.String("to", h.Name), zap.String("target", instance.ID), zap.Error(err))
	}
}

func (f *fleet) handleWarmup(m hostmsg.Message) {
	var n warmupNotice
	if err := m.Decode(&n); err != nil {
		f.Logger.Debug("malformed notice of a target's warm-up dropped", zap.Stringer("from", m.From), zap.Error(err))
		return
	}
	instance := registry.Instance{ID: n.ID, StartedMillis: n.StartedMillis}
	left := min(hostmsg.Milliseconds(n.Left), backpressure.MaxWarmup)
	f.Local.RecordWarmup(instance, f.Clock.Now().Add(left), m.From.String())
	if n.MessageID == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.knownWarmups) >= maxRemembered {
		// They belong to requests that ended before their response.
		clear(f.knownWarmups)
	}
	f.knownWarmups[n.MessageID] = instance
}

// takeKnownWarmup reports whether a coordinator told before the response to a request
// that the target is cold, and forgets it.
func (f *fleet) takeKnownWarmup(messageID uint64, chosen registry.Instance) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	instance, ok := f.knownWarmups[messageID]
	delete(f.knownWarmups, messageID)
	return ok && instance == chosen
}

// coordinatorKnewWarmup reports whether a coordinator knew that the target that it
// chose is cold, if it is. One that did not is told.
func (c *Client) coordinatorKnewWarmup(host roster.Host, a *attempt) bool {
	chosen := a.instance()
	knew := c.fleet.takeKnownWarmup(a.messageID, chosen)
	limit, left := c.Local.Warmup(a.pool, chosen)
	if knew {
		a.rateLimit = backpressure.Lower(a.rateLimit, limit)
	}
	if knew || left < placement.MinToldWarmup {
		return true
	}
	c.fleet.publishWarmup(host, chosen, left)
	return false
}

// tellWarmup tells a host that the target chosen for its request is cold, before the
// response to it.
func (s *Server) tellWarmup(m hostmsg.Message, q lb.PlaceQuery, r placeResponse) {
	chosen := r.instance()
	if _, left := s.placer.Warmup(q.Pool, chosen); left > 0 {
		n := warmupNotice{MessageID: m.ID(), ID: chosen.ID, StartedMillis: chosen.StartedMillis, Left: left.Milliseconds()}
		if err := s.node.Notify(m.From, kindWarmup, n); err != nil {
			s.log.Debug("warm-up not told to the requesting host; it asks again if it knows that the target is cold", zap.Stringer("to", m.From), zap.Error(err))
		}
	}
}

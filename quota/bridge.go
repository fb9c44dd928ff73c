package quota

import "time"

const (
	// rateWindow is the time over which a host's own mean rate is taken.
	rateWindow = 2 * time.Second
	// bridgeWindow is the time in which a host bridges bridgeDuration at most, however
	// often it is cut off: a quota host that others reach may still grant its part.
	// All but one slot of it cover the 5 s of the guarantee.
	bridgeWindow = 5600 * time.Millisecond
	// meterSlots is the number of slots of a meter.
	meterSlots = 10
)

// meter counts the requests within a window.
type meter struct {
	counts [meterSlots]int
	// slotLength is the window divided by meterSlots, slot the number of the newest
	// slot since the Unix epoch.
	slotLength time.Duration
	slot       int64
}

func newMeter(window time.Duration) meter { return meter{slotLength: window / meterSlots} }

func (m *meter) advance(now time.Time) {
	slot := now.UnixNano() / int64(m.slotLength)
	for s := max(m.slot+1, slot-meterSlots+1); s <= slot; s++ {
		m.counts[s%meterSlots] = 0
	}
	m.slot = max(m.slot, slot)
}

func (m *meter) add(now time.Time) {
	m.advance(now)
	m.counts[m.slot%meterSlots]++
}

// sum returns the number of requests in the window.
func (m *meter) sum(now time.Time) (sum int) {
	m.advance(now)
	for _, n := range m.counts {
		sum += n
	}
	return sum
}

// usage is what one host knows of its own requests of a workspace.
type usage struct {
	granted meter
	addedAt time.Time
	// reservedUntil is when the last granted request may run.
	reservedUntil time.Time
	// since is the last answer of the quota host before the requests admitted
	// without it, perSecond the mean rate then, phase a random part of a request.
	since            time.Time
	perSecond, phase float64
	admitted         int
	// bridged are the requests admitted without an answer in the last bridgeWindow.
	bridged meter
	// unsettled is the number of admitted requests that no quota host was told of.
	// The next one takes their tokens also if it is another: the one before may still
	// have granted this host's part to others.
	unsettled int
}

// bridge admits requests of one host while its quota host doesn't answer: half of
// the host's own mean rate, for a short time. It does no I/O and reads no clock.
type bridge struct {
	usages map[string]*usage
	// answeredAt is when a quota host of the shard last answered.
	answeredAt time.Time
}

func newBridge() *bridge { return &bridge{usages: map[string]*usage{}} }

func (b *bridge) usage(workspace string) *usage {
	u := b.usages[workspace]
	if u == nil {
		u = &usage{granted: newMeter(rateWindow), bridged: newMeter(bridgeWindow)}
		b.usages[workspace] = u
	}
	return u
}

// answered records an answer of the quota host.
func (b *bridge) answered(now time.Time) { b.answeredAt = now }

// granted records that a request of a workspace got a token that it may use after
// wait.
func (b *bridge) granted(now time.Time, workspace string, wait time.Duration) {
	u := b.usage(workspace)
	u.granted.add(now)
	u.addedAt, u.reservedUntil = now, now.Add(wait)
}

// admit reports whether a request may run without an answer. phase is uniform over
// [0, 1): a host with less than one request in the time admits one at times. The
// time that reserved tokens cover does not count.
func (b *bridge) admit(now time.Time, workspace string, phase float64) bool {
	elapsed := now.Sub(b.answeredAt)
	u := b.usages[workspace]
	if u == nil || elapsed > bridgeDuration {
		return false
	}
	if !u.since.Equal(b.answeredAt) {
		u.since, u.phase, u.admitted = b.answeredAt, phase, 0
		u.perSecond = float64(u.granted.sum(b.answeredAt)) / rateWindow.Seconds()
	}
	elapsed -= max(0, u.reservedUntil.Sub(b.answeredAt))
	perSecond := bridgeFraction * u.perSecond
	if u.phase+perSecond*elapsed.Seconds() < float64(u.admitted+1) ||
		u.phase+perSecond*bridgeDuration.Seconds() < float64(u.bridged.sum(now)+1) {
		return false
	}
	u.admitted++
	u.bridged.add(now)
	u.unsettled++
	return true
}

// settle returns, and forgets, how many requests of a workspace were admitted
// that no quota host knows of.
func (b *bridge) settle(workspace string) int {
	u := b.usages[workspace]
	if u == nil {
		return 0
	}
	n := u.unsettled
	u.unsettled = 0
	return n
}

// sweep forgets workspaces without requests in the last bridgeWindow.
func (b *bridge) sweep(now time.Time) {
	for name, u := range b.usages {
		if now.Sub(u.addedAt) > bridgeWindow && now.Sub(u.since) > bridgeWindow {
			delete(b.usages, name)
		}
	}
}

package soak

import (
	"fmt"
	"syscall"
	"time"

	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/platform/fakestore"
	"github.com/chestnutfield/chestnutfield/platform/fakeupstream"
)

// Apply executes an event and returns when it is over.
func (d *Deployment) Apply(e Event) {
	from := time.Now()
	h := d.hosts[e.Selector%len(d.hosts)]
	addImpact := func(impact Impact) {
		impact.Kind, impact.From, impact.To = e.Kind, from, time.Now()
		d.recordImpact(impact)
	}
	switch e.Kind {
	case HostStop:
		d.stopHost(h)
	case HostKill:
		h.signal(syscall.SIGKILL)
		time.Sleep(restartTime)
		addImpact(Impact{Host: h.name})
	case HostPause:
		h.signal(syscall.SIGSTOP)
		time.Sleep(e.Duration)
		h.signal(syscall.SIGCONT)
		addImpact(Impact{Host: h.name})
	case HostReload:
		if err := h.writeSettings(lo.Ternary(e.Selector%2 == 0, "debug", "info")); err != nil {
			d.recordViolation("settings: %v", err)
		}
		h.awaitStart()
		h.signal(syscall.SIGHUP)
	case AllKill:
		for _, h := range d.hosts {
			h.signal(syscall.SIGKILL)
		}
		time.Sleep(restartTime)
		addImpact(Impact{})
	case StoreForget:
		d.store.DropHistory()
	case StoreRestore:
		copied := d.store.BackUp()
		time.Sleep(e.Duration)
		from = time.Now()
		d.restoreStore(copied)
		addImpact(Impact{})
	case GarbageEntry:
		d.store.Put("servers", fmt.Sprint("garbage-", e.Selector), []byte("{\"service\": 3"))
	case Configuration:
		d.writeConfiguration()
	case HostCut:
		d.cutHosts(e)
	case CrashingRequest:
		d.sendCrashing(e)
	case UpstreamCold:
		d.coolUpstream(e)
	case Evacuation:
		d.evacuateDomain(e)
	case KeyWithdrawal:
		d.withdrawKey(e.Selector)
	case KeyWithdrawalAtCut:
		d.withdrawKeyAtCut(e)
	default:
		if !d.applyStore(e, h, addImpact) {
			d.applyUpstream(e, addImpact)
		}
	}
}

// applyStore executes an event at the store or at a host's connection to it. It
// returns false if the event is of another kind.
func (d *Deployment) applyStore(e Event, h *host, addImpact func(Impact)) bool {
	faults := map[Kind]fakestore.Fault{
		StoreRefuse: fakestore.Refusing, StoreSilent: fakestore.Unresponsive, StoreReset: fakestore.Resetting, StoreLose: fakestore.DroppingResponses,
	}
	links := map[Kind]Mode{LinkSilent: ModeStall, LinkOneWay: ModeStallResponses, LinkSlow: ModeDelay, LinkReset: ModeReset}
	if f, ok := faults[e.Kind]; ok {
		d.store.SetFault(f)
		time.Sleep(e.Duration)
		d.store.SetFault(fakestore.None)
		addImpact(Impact{})
		return true
	}
	if m, ok := links[e.Kind]; ok {
		h.storeRelay.SetMode(m)
		time.Sleep(e.Duration)
		h.storeRelay.SetMode(ModeForward)
		// If the host is the one that reads the store for all hosts, the others
		// wait for it.
		addImpact(Impact{Host: h.name})
		return true
	}
	return false
}

// applyUpstream executes an event at an upstream or at the path to it.
func (d *Deployment) applyUpstream(e Event, addImpact func(Impact)) {
	setBehavior := func(change func(b *fakeupstream.Behavior)) {
		u := d.pickUpstream(e.Selector)
		u.server.UpdateBehavior(change)
		time.Sleep(e.Duration)
		u.server.UpdateBehavior(func(b *fakeupstream.Behavior) {
			*b = fakeupstream.Behavior{Work: serviceTime, RateLimit: b.RateLimit, SayLeaving: b.SayLeaving, ReportedSlowdown: b.ReportedSlowdown}
		})
		addImpact(Impact{Upstreams: true})
	}
	setPathMode := func(m Mode) {
		u := d.pickUpstream(e.Selector)
		u.relay.SetMode(m)
		time.Sleep(e.Duration)
		u.relay.SetMode(ModeForward)
		addImpact(Impact{Upstreams: true})
	}
	switch e.Kind {
	case UpstreamLimits:
		d.limitUpstream(e)
	case UpstreamRetryAfter:
		setBehavior(func(b *fakeupstream.Behavior) { b.Refuse, b.RetryAfter = faultShare, maxRetryAfter })
	case ResponsesLost:
		setBehavior(func(b *fakeupstream.Behavior) { b.DropResponses = faultShare })
	case ResponsesExtra:
		setBehavior(func(b *fakeupstream.Behavior) { b.ExtraResponses = faultShare })
	case ResponsesCutShort:
		setBehavior(func(b *fakeupstream.Behavior) { b.TruncateResponses = faultShare })
	case ResponsesMalformed:
		setBehavior(func(b *fakeupstream.Behavior) { b.MalformResponses = faultShare })
	case UpstreamFailsRuns:
		setBehavior(func(b *fakeupstream.Behavior) { b.FailRun = faultShare })
	case UpstreamRefuses:
		setBehavior(func(b *fakeupstream.Behavior) { b.Refuse = faultShare })
	case UpstreamSlow:
		setBehavior(func(b *fakeupstream.Behavior) { b.Work = slowFactor * serviceTime })
	case HealthLies:
		setBehavior(func(b *fakeupstream.Behavior) { b.FailHealthChecks = true })
	case PathSilent:
		setPathMode(ModeStall)
	case PathReset:
		setPathMode(ModeReset)
	case UpstreamLeave, UpstreamVanish, UpstreamSaysLeaving, UpstreamCrash, UpstreamReplace, UpstreamAddressReuse:
		if u := d.takeUpstream(e.Selector); u != nil {
			d.retireUpstream(e, u, addImpact)
		}
	}
}

// retireUpstream takes an upstream out of service in the way that the kind of the
// event names.
func (d *Deployment) retireUpstream(e Event, u *relayedUpstream, addImpact func(Impact)) {
	id, service := u.server.ID, u.server.Service
	drainTime := bounds.drainPropagation + e.Duration
	startUpstream := func(service, name string) {
		if err := d.addUpstream(service, name); err != nil {
			d.recordViolation("start an upstream: %v", err)
		}
	}
	switch e.Kind {
	case UpstreamLeave, UpstreamVanish, UpstreamSaysLeaving:
		startUpstream(service, "")
		switch e.Kind {
		case UpstreamLeave:
			d.setRetired(u, retiredDraining)
		case UpstreamVanish:
			d.setRetired(u, retiredGone)
		default:
			d.setRetired(u, retiredReady)
			u.server.UpdateBehavior(func(b *fakeupstream.Behavior) { b.SayLeaving = true })
		}
		if e.Kind != UpstreamSaysLeaving {
			d.recordLeft(id)
		}
		time.Sleep(drainTime)
		d.setRetired(u, retiredGone)
		u.server.Close()
		u.relay.Close()
	case UpstreamCrash, UpstreamReplace:
		u.server.Close()
		u.relay.Close()
		time.Sleep(e.Duration)
		if e.Kind == UpstreamReplace {
			// The instance with the same ID starts again at another address.
			startUpstream(service, id)
		} else {
			u.server.Unregister(d.store)
			startUpstream(service, "")
		}
		addImpact(Impact{Upstreams: true})
	case UpstreamAddressReuse:
		// The address is taken over by an upstream of another service while the
		// old registry entry still exists.
		u.server.Close()
		other := lo.Ternary(service == lookupService, orderService, lookupService)
		startUpstream(other, "")
		startUpstream(service, "")
		d.mu.Lock()
		successor := d.upstreams[len(d.upstreams)-2]
		d.mu.Unlock()
		u.relay.Redirect(successor.server.Addr())
		time.Sleep(e.Duration)
		u.server.Unregister(d.store)
		time.Sleep(bounds.drainPropagation)
		u.relay.Close()
		addImpact(Impact{Upstreams: true})
	}
}

// stopHost executes a graceful stop. The process must exit by itself within
// bounds.stopGrace; otherwise it is killed.
func (d *Deployment) stopHost(h *host) {
	from, incarnation := time.Now(), h.incarnation()
	h.signal(syscall.SIGTERM)
	for time.Since(from) < bounds.stopGrace && h.incarnation() == incarnation {
		time.Sleep(20 * time.Millisecond)
	}
	timedOut := h.incarnation() == incarnation
	if timedOut {
		h.signal(syscall.SIGKILL)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.gracefulStops = append(d.gracefulStops, gracefulStop{
		Impact: Impact{Kind: HostStop, Host: h.name, From: from, To: time.Now().Add(restartTime)}, incarnation: incarnation, timedOut: timedOut,
	})
}

// limitUpstream makes an upstream that names no rate limit name one for long enough
// to be judged.
func (d *Deployment) limitUpstream(e Event) {
	u := d.pickUpstream(e.Selector)
	limit := namedLimit{upstream: u.server.ID, startedAt: u.server.StartedAt, perSecond: minRateLimit + float64(e.Selector%5), from: time.Now()}
	limited := false
	u.server.UpdateBehavior(func(b *fakeupstream.Behavior) {
		limited = b.RateLimit > 0
		b.RateLimit = lo.Ternary(limited, b.RateLimit, limit.perSecond)
	})
	if limited {
		return
	}
	time.Sleep(bounds.settleTime + limitWindow + e.Duration)
	u.server.UpdateBehavior(func(b *fakeupstream.Behavior) { b.RateLimit = 0 })
	limit.to = time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.limits = append(d.limits, limit)
}

// restoreStore replaces the store with an older copy after a moment without it.
// The operator and the upstreams then write again what they had written.
func (d *Deployment) restoreStore(copied fakestore.Copy) {
	const away = 200 * time.Millisecond
	d.store.SetFault(fakestore.Refusing)
	time.Sleep(away)
	d.store.Restore(copied)
	d.store.SetFault(fakestore.None)
	time.Sleep(away)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.configure(d.configs[len(d.configs)-1])
	for _, u := range d.upstreams {
		u.server.Register(d.store, u.relay.Addr(), false)
	}
	for u, state := range d.retired {
		u.register(d.store, state)
	}
	d.rewriteEvacuations()
}

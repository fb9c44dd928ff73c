package soak

import (
	"fmt"
	"syscall"
	"time"

	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/platform/fakestore"
	"github.com/chestnutfield/chestnutfield/platform/fakeupstream"
)

// Apply does what an event says and returns when it is over.
func (w *World) Apply(e Event) {
	from := time.Now()
	h := w.hosts[e.Which%len(w.hosts)]
	done := func(d Disturbance) {
		d.Kind, d.From, d.To = e.Kind, from, time.Now()
		w.disturb(d)
	}
	switch e.Kind {
	case HostStop:
		w.stop(h)
	case HostKill:
		h.signal(syscall.SIGKILL)
		time.Sleep(rejoin)
		done(Disturbance{Host: h.name})
	case HostPause:
		h.signal(syscall.SIGSTOP)
		time.Sleep(e.For)
		h.signal(syscall.SIGCONT)
		done(Disturbance{Host: h.name})
	case HostReload:
		if err := h.writeSettings(lo.Ternary(e.Which%2 == 0, "debug", "info")); err != nil {
			w.fail("settings: %v", err)
		}
		h.signal(syscall.SIGHUP)
	case AllKill:
		for _, h := range w.hosts {
			h.signal(syscall.SIGKILL)
		}
		time.Sleep(rejoin)
		done(Disturbance{})
	case StoreForget:
		w.store.Forget()
	case Garbage:
		w.store.Put("servers", fmt.Sprint("garbage-", e.Which), []byte("{\"service\": 3"))
	case Configuration:
		w.configure()
	default:
		if !w.applyStore(e, h, done) {
			w.applyUpstream(e, done)
		}
	}
}

// applyStore disturbs the store or the way to it; false when the event is none
// of these.
func (w *World) applyStore(e Event, h *host, done func(Disturbance)) bool {
	faults := map[Kind]fakestore.Fault{
		StoreRefuse: fakestore.Refusing, StoreSilent: fakestore.Silent, StoreReset: fakestore.Resetting, StoreLose: fakestore.Losing,
	}
	links := map[Kind]Mode{LinkSilent: Silent, LinkOneWay: OneWay, LinkSlow: Slow, LinkReset: Resetting}
	if f, ok := faults[e.Kind]; ok {
		w.store.SetFault(f)
		time.Sleep(e.For)
		w.store.SetFault(fakestore.None)
		done(Disturbance{})
		return true
	}
	if m, ok := links[e.Kind]; ok {
		h.store.Set(m)
		time.Sleep(e.For)
		h.store.Set(Pass)
		// A cut link to the store may be that of the reader: others wait for it.
		done(Disturbance{Host: h.name})
		return true
	}
	return false
}

// applyUpstream disturbs an upstream.
func (w *World) applyUpstream(e Event, done func(Disturbance)) {
	behave := func(change func(b *fakeupstream.Behaviour)) {
		u := w.upstream(e.Which)
		u.server.Behave(change)
		time.Sleep(e.For)
		u.server.Behave(func(b *fakeupstream.Behaviour) { *b = fakeupstream.Behaviour{Work: work} })
		done(Disturbance{Upstreams: true})
	}
	path := func(m Mode) {
		u := w.upstream(e.Which)
		u.relay.Set(m)
		time.Sleep(e.For)
		u.relay.Set(Pass)
		done(Disturbance{Upstreams: true})
	}
	switch e.Kind {
	case LoseAnswers:
		behave(func(b *fakeupstream.Behaviour) { b.LoseAnswers = faultShare })
	case ExtraAnswers:
		behave(func(b *fakeupstream.Behaviour) { b.ExtraAnswers = faultShare })
	case CutShort:
		behave(func(b *fakeupstream.Behaviour) { b.CutShort = faultShare })
	case Refusals:
		behave(func(b *fakeupstream.Behaviour) { b.Refuse = faultShare })
	case SlowWork:
		behave(func(b *fakeupstream.Behaviour) { b.Work = slowTimes * work })
	case Sick:
		behave(func(b *fakeupstream.Behaviour) { b.Sick = true })
	case PathSilent:
		path(Silent)
	case PathReset:
		path(Resetting)
	case Leave, Vanish, Crash, Replace, Reuse:
		if u := w.takeUpstream(e.Which); u != nil {
			w.remove(e, u, done)
		}
	}
}

// remove takes an upstream out of service in one of several ways.
func (w *World) remove(e Event, u *end, done func(Disturbance)) {
	id, service := u.server.ID, u.server.Service
	serveOn := bounds.leave + e.For
	again := func(service, name string) {
		if err := w.addUpstream(service, name); err != nil {
			w.fail("start an upstream: %v", err)
		}
	}
	switch e.Kind {
	case Leave, Vanish:
		again(service, "")
		if e.Kind == Leave {
			u.server.Register(w.store, u.relay.Addr(), true)
		} else {
			u.server.Unregister(w.store)
		}
		w.noteLeft(id)
		time.Sleep(serveOn)
		u.server.Unregister(w.store)
		u.server.Close()
		u.relay.Close()
	case Crash, Replace:
		u.server.Close()
		u.relay.Close()
		time.Sleep(e.For)
		if e.Kind == Replace {
			// The same name begins anew, elsewhere.
			again(service, id)
		} else {
			u.server.Unregister(w.store)
			again(service, "")
		}
		done(Disturbance{Upstreams: true})
	case Reuse:
		// The address passes on to an upstream of another service, and the old
		// entry stays for a while.
		u.server.Close()
		other := lo.Ternary(service == lookups, orders, lookups)
		again(other, "")
		again(service, "")
		w.mu.Lock()
		heir := w.ends[len(w.ends)-2]
		w.mu.Unlock()
		u.relay.Redirect(heir.server.Addr())
		time.Sleep(e.For)
		u.server.Unregister(w.store)
		time.Sleep(bounds.leave)
		u.relay.Close()
		done(Disturbance{Upstreams: true})
	}
}

// stop is a planned stop: the process must end by itself within the grace.
func (w *World) stop(h *host) {
	from, run := time.Now(), h.incarnation()
	h.signal(syscall.SIGTERM)
	for time.Since(from) < bounds.grace && h.incarnation() == run {
		time.Sleep(20 * time.Millisecond)
	}
	overran := h.incarnation() == run
	if overran {
		h.signal(syscall.SIGKILL)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stops = append(w.stops, stop{
		Disturbance: Disturbance{Kind: HostStop, Host: h.name, From: from, To: time.Now().Add(rejoin)}, run: run, overran: overran,
	})
}

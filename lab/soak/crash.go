package soak

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/platform/fakeupstream"
)

const (
	// crashPrefix is the prefix of requests that end each upstream that runs them.
	crashPrefix = lookupPrefix + "crash-"
	// crashPause is the time between two such requests, crashedFor the time until an
	// upstream that ended runs again as another process.
	crashPause = 150 * time.Millisecond
	crashedFor = 1500 * time.Millisecond
)

// upstreamEnd is the end of an upstream under a request.
type upstreamEnd struct {
	path string
	at   time.Time
}

// sendCrashing sends the same crashing request again and again, each time to another
// host and under another ID.
func (d *Deployment) sendCrashing(e Event) {
	from := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), crashLength)
	defer cancel()
	client := &http.Client{Timeout: callerTimeout, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	// All events of a run send the same request: a later one meets what the hosts have
	// learned since the first.
	path := fmt.Sprint(crashPrefix, d.seed)
	for i := 0; ctx.Err() == nil; i++ {
		id := fmt.Sprintf("x%d-%d-%d", d.seed, e.Selector, i)
		go func() {
			s := sendPath(client, d.hosts[i%len(d.hosts)], path, request{method: http.MethodGet, id: id, key: d.checkKey()})
			d.mu.Lock()
			defer d.mu.Unlock()
			d.crashResults = append(d.crashResults, s)
		}()
		sleep(ctx, crashPause)
	}
	// The upstreams that ended last come back.
	time.Sleep(crashedFor)
	d.recordImpact(Impact{Kind: e.Kind, Upstreams: true, From: from, To: time.Now()})
}

// crashLength is the time over which a crashing request is sent: several times the
// time after which hosts may let it reach few upstreams only.
const crashLength = 7 * time.Second

// endUnder ends an upstream that runs a crashing request and starts another process
// in its place. It returns false for all other requests.
func (d *Deployment) endUnder(s *fakeupstream.Server, path string) bool {
	if !strings.HasPrefix(path, crashPrefix) {
		return false
	}
	d.mu.Lock()
	u, i, found := lo.FindIndexOf(d.upstreams, func(u *relayedUpstream) bool { return u.server == s })
	if found {
		d.upstreams = append(d.upstreams[:i:i], d.upstreams[i+1:]...)
		d.ends = append(d.ends, upstreamEnd{path, time.Now()})
	}
	d.mu.Unlock()
	if !found {
		// It has ended already, or leaves.
		return true
	}
	go func() {
		u.server.Close()
		u.relay.Close()
		time.Sleep(crashedFor)
		if err := d.addUpstream(u.server.Service, u.server.ID); err != nil {
			d.recordViolation("start an upstream: %v", err)
		}
	}()
	return true
}

// verifyCrashing checks that a request under which three upstreams ended reaches few
// more.
func (v *verifier) verifyCrashing() {
	for path, ends := range lo.GroupBy(v.ends, func(e upstreamEnd) string { return e.path }) {
		if len(ends) <= toleratedEnds {
			continue
		}
		third := ends[toleratedEnds-1].at
		late := lo.CountBy(ends, func(e upstreamEnd) bool {
			return e.at.After(third.Add(bounds.settleTime)) && !v.justKilled(e.at)
		})
		if late > toleratedRetries {
			v.addViolation("crash", "%s ended %d upstreams, %d of them later than %v after the third at %s", path, len(ends), late, bounds.settleTime, v.secondsSinceStart(third))
		}
	}
}

// justKilled reports whether all hosts were killed, or the machine was stalled, less
// than bounds.settleTime before a time.
func (v *verifier) justKilled(at time.Time) bool {
	return lo.SomeBy(v.impacts, func(i Impact) bool {
		return (i.Kind == AllKill || i.Kind == machineStall) && i.From.Before(at) && i.To.After(at.Add(-bounds.settleTime))
	})
}

// toleratedEnds is the number of upstreams that one request may end, toleratedRetries
// the number that it may reach later than bounds.settleTime after the last of those.
const (
	toleratedEnds    = 3
	toleratedRetries = 3
)

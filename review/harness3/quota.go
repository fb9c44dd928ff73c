//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/chestnutfield/chestnutfield/platform/fakestore"
	"github.com/chestnutfield/chestnutfield/platform/fakeupstream"
)

// The tenant's quota, and the figures of the rule QUOTA of the deployment with tenants.
const (
	tenantRate  = 600.0
	tenantBurst = 20.0
	quotaWindow = 5 * time.Second
	quotaOver   = 0.1
	quotaSlack  = 20.0
	apiKey      = "h5mgjy5rcpihhacrudde"
	routeHost   = "jepu9.example"
	zone        = "zone-a"
	// tenantName is one whose tokens the added host grants once all hosts know it.
	tenantName = "yefi830"
	// settleTime is the time from the readiness of the added host to the outage of the
	// store, storeDown the length of the outage.
	settleTime = 300 * time.Millisecond
	storeDown  = 4500 * time.Millisecond
)

// sent is a request of a client.
type sent struct {
	at     time.Time
	host   string
	status int
}

// load sends the requests of one tenant.
type load struct {
	record *record
	mu     sync.Mutex
	sent   map[string]*sent
	next   int
}

func newLoad(r *record) *load { return &load{record: r, sent: map[string]*sent{}} }

// run sends requests to a host, perSecond of them, until the context ends.
func (l *load) run(ctx context.Context, h *host, perSecond float64) {
	const workers = 40
	pause := time.Duration(float64(time.Second) * workers / perSecond)
	for i := range workers {
		go func() {
			time.Sleep(pause * time.Duration(i) / workers)
			client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxConnsPerHost: 1, DisableCompression: true}}
			ticker := time.NewTicker(pause)
			defer ticker.Stop()
			for {
				select {
				case <-ctx.Done():
					return
				case <-ticker.C:
					l.send(client, h)
				}
			}
		}()
	}
}

func (l *load) send(client *http.Client, h *host) {
	l.mu.Lock()
	l.next++
	id := fmt.Sprintf("r%06d", l.next)
	s := &sent{at: time.Now(), host: h.name}
	l.sent[id] = s
	l.mu.Unlock()
	req, err := http.NewRequest(http.MethodGet, "http://"+h.callers+"/read/"+id, nil)
	if err != nil {
		return
	}
	req.Host = routeHost
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", "2000")
	req.Header.Set("Authorization", "Token "+apiKey)
	resp, err := client.Do(req)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	l.mu.Lock()
	s.status = resp.StatusCode
	l.mu.Unlock()
}

// worst returns the window in which most requests were both sent and run.
func (l *load) worst(arrivals []fakeupstream.Arrival) (from time.Time, most int) {
	type ran struct{ sent, at time.Time }
	l.mu.Lock()
	defer l.mu.Unlock()
	first := map[string]ran{}
	for _, a := range arrivals {
		s := l.sent[a.Request]
		if _, again := first[a.Request]; a.Ran && s != nil && !again {
			first[a.Request] = ran{s.at, a.At}
			l.record.line("request %s sent %.3f to %s, ran %.3f at %s, answered %d", a.Request, l.record.at(s.at), s.host, l.record.at(a.At), a.Upstream, s.status)
		}
	}
	all := make([]ran, 0, len(first))
	for _, r := range first {
		all = append(all, r)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].sent.Before(all[j].sent) })
	for i := range all {
		end, n := all[i].sent.Add(quotaWindow), 0
		for j := i; j < len(all) && all[j].sent.Before(end); j++ {
			if all[j].at.Before(end) {
				n++
			}
		}
		if n > most {
			from, most = all[i].sent, n
		}
	}
	return from, most
}

// quotaAddedHost adds a host to five of one zone. The store goes down when the added host
// has read the list of hosts and before the others have read it again.
func quotaAddedHost(p *play) (string, error) {
	d := p.d
	d.store.WriteConfiguration(fakestore.Configuration{
		Version: 7, HealthPath: fakeupstream.HealthPath,
		Routes:  []fakestore.Route{{Name: "read", Host: routeHost, Prefix: "/read/", Service: "limity", Idempotent: true, TimeoutSeconds: 2, ObjectiveSeconds: 0.8, Targets: 1}},
		Tenants: []fakestore.Tenant{{Name: tenantName, Keys: []string{apiKey}, PerSecond: tenantRate, Burst: tenantBurst}},
	})
	for i := range 9 {
		if _, err := d.addBackend(fmt.Sprintf("i-%d", i), "limity", zone, 64, fakeupstream.Behavior{Work: 2 * time.Millisecond}); err != nil {
			return "", err
		}
	}
	if err := d.addHosts(5); err != nil {
		return "", err
	}
	p.record.printf("five hosts are ready")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l := newLoad(p.record)
	for _, h := range d.hosts {
		l.run(ctx, h, tenantRate/3)
	}
	time.Sleep(8 * time.Second)
	added, err := d.addHost("edge-zone-a-6", zone, false)
	if err != nil {
		return "", err
	}
	if err := added.awaitReady(5 * time.Second); err != nil {
		return "", err
	}
	p.record.printf("a sixth host is added; it is ready")
	l.run(ctx, added, tenantRate/3)
	time.Sleep(settleTime)
	if p.trouble {
		p.record.printf("the store is down: connections to it are reset")
		d.setStoreDown(true)
	}
	time.Sleep(storeDown)
	d.setStoreDown(false)
	p.record.printf("the store is up")
	time.Sleep(6 * time.Second)
	cancel()
	allowed := (tenantRate*quotaWindow.Seconds()+tenantBurst)*(1+quotaOver) + quotaSlack
	from, most := l.worst(d.arrivals.Arrivals())
	p.record.printf("most requests that were sent and ran in 5 s: %d, from %.3f on; allowed are %.0f", most, p.record.at(from), allowed)
	if float64(most) > allowed {
		return fmt.Sprintf("QUOTA: %d requests of the tenant were sent and ran in 5 s, allowed are %.0f", most, allowed), nil
	}
	return "", nil
}

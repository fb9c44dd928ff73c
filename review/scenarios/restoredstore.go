//go:build review

package main

import (
	"fmt"
	"io"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/chestnutfield/chestnutfield/quota"
	"github.com/chestnutfield/chestnutfield/roster"
)

// The bounds of QUOTA on the sheet of pdk-morava-grown, and the quota of the case's tenant.
const (
	quotaWindow  = 5 * time.Second
	quotaOver    = 0.1
	quotaSlack   = 20
	quotaRate    = 40
	quotaBurst   = 20
	quotaHosts   = 8
	quotaClients = 64
	quotaKey     = "key-of-the-hot-tenant"
	trafficAfter = 8 * time.Second
	drillAfter   = 500 * time.Millisecond
	storeAway    = 200 * time.Millisecond
	hostAway     = 300 * time.Millisecond
)

// restoredStore: the store comes back from a copy that is some seconds old, and one host
// restarts at that time, while a tenant sends many times its quota. The case returns by how
// much the requests that targets ran in any window exceed what QUOTA allows.
func restoredStore(d *deployment, trouble bool) (int, error) {
	var mu sync.Mutex
	var runs []time.Time
	stop := make(chan struct{})
	defer close(stop)
	serve := func(c *targetConn, q *request) bool {
		mu.Lock()
		runs = append(runs, time.Now())
		mu.Unlock()
		d.record.add("target %s runs %s", c.target.id, q.id())
		time.Sleep(10 * time.Millisecond)
		c.reply("200 OK", q, signature(q)+"Server-Load: "+c.target.load()+"\r\n", "fine")
		return true
	}
	var rewrites []func()
	for i := range 6 {
		t, err := newTarget(fmt.Sprintf("i-%d", i), "limity", 12, d.record, serve)
		if err != nil {
			return 0, err
		}
		defer t.stop()
		rewrites = append(rewrites, d.register(t, stop))
	}
	if err := d.addHosts(quotaHosts); err != nil {
		return 0, err
	}
	reader, tenant, err := quotaRoles(d)
	if err != nil {
		return 0, err
	}
	configure := func() {
		d.configureTenants(7, []route{
			{Name: "r-balance", Host: "desk.example", Prefix: "/balance/", Kind: "idempotent", TimeoutS: 2, LatencySloS: 0.8, Priority: 0, Service: "limity", MaxAttempts: 2},
		}, []tenantEntry{{Name: tenant, APIKeys: []string{quotaKey}, RatePerS: quotaRate, Burst: quotaBurst}}, "limity")
	}
	configure()
	copied := d.store.BackUp()
	began := time.Now()
	if err := d.startHosts(); err != nil {
		return 0, err
	}
	time.Sleep(time.Until(began.Add(trafficAfter)))
	d.record.add("traffic begins: tenant %s sends many times its quota", tenant)
	end := make(chan struct{})
	var clients sync.WaitGroup
	for i := range quotaClients {
		clients.Go(func() {
			for {
				select {
				case <-end:
					return
				case <-time.After(100 * time.Millisecond):
				}
				id := newID()
				h := d.hosts[i%len(d.hosts)]
				d.record.add("client: GET %s at %s: %s", id, h.name, tenantRequest(h, id))
			}
		})
	}
	time.Sleep(drillAfter)
	if trouble {
		d.record.add("the store goes away")
		d.store.SetFault(refusing)
		time.Sleep(storeAway)
		d.record.add("%s is killed", reader.name)
		reader.signal(syscall.SIGKILL)
		d.store.Restore(copied)
		d.store.SetFault(healthy)
		d.record.add("the store is back from a copy that is %.1f s old; operator and targets write again", time.Since(began).Seconds())
		configure()
		for _, rewrite := range rewrites {
			rewrite()
		}
		time.Sleep(hostAway)
		if err := reader.start(); err != nil {
			return 0, err
		}
		d.record.add("%s starts again", reader.name)
	}
	time.Sleep(10 * time.Second)
	close(end)
	clients.Wait()
	slices.SortFunc(runs, func(a, b time.Time) int { return a.Compare(b) })
	most, from := 0, time.Time{}
	for i, at := range runs {
		n := 0
		for _, later := range runs[i:] {
			if later.Sub(at) <= quotaWindow {
				n++
			}
		}
		if n > most {
			most, from = n, at
		}
	}
	allowed := int((quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOver) + quotaSlack)
	d.record.add("%d requests of the tenant ran within %v from %.2f s on; QUOTA allows %d", most, quotaWindow, from.Sub(d.record.began).Seconds(), allowed)
	return max(most-allowed, 0), nil
}

// quotaRoles returns the host that reads the store for all, and the name of a tenant for
// whose quota most hosts rank before that one.
func quotaRoles(d *deployment) (reader *host, tenant string, err error) {
	var all []roster.Host
	for _, h := range d.hosts {
		addr, err := netip.ParseAddrPort(h.peers)
		if err != nil {
			return nil, "", err
		}
		all = append(all, roster.Host{Name: h.name, Addr: addr, FailureDomain: failureDomain, Strength: 0.32})
	}
	r := roster.New(all[0])
	r.SetHosts(all)
	first := r.First(time.Now(), roster.Task{Kind: "reader"}).Name
	reader = d.hosts[slices.IndexFunc(d.hosts, func(h *host) bool { return h.name == first })]
	best := -1
	for i := range 64 {
		name := fmt.Sprintf("t-%d", i)
		ranked := r.Preferred(quota.TaskOf(name), len(all))
		if at := slices.IndexFunc(ranked, func(h roster.Host) bool { return h.Name == first }); at > best {
			best, tenant = at, name
		}
	}
	return reader, tenant, nil
}

// tenantRequest sends a request with the tenant's key and returns what came of it.
func tenantRequest(h *host, id string) string {
	c, err := dialClient(h.callers)
	if err != nil {
		return err.Error()
	}
	defer c.Close()
	const wait = 2 * time.Second
	lines := strings.Replace(head("GET", "desk.example", "/balance/1", id, wait, -1), "\r\n\r\n", "\r\nAuthorization: Token "+quotaKey+"\r\n\r\n", 1)
	if _, err := io.WriteString(c, lines); err != nil {
		return err.Error()
	}
	return c.read("GET", time.Now().Add(wait)).String()
}

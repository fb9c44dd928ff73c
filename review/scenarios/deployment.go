//go:build review

package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/chestnutfield/chestnutfield/platform/fakestore"
)

// The bounds of a small deployment, as in its settings.
const (
	retryRatio     = 0.2
	retrySlack     = 60
	probesPerSec   = 60
	stopGrace      = 6 * time.Second
	heartbeat      = 1500 * time.Millisecond
	failureDomain  = "zone-a"
	maxHeaderBytes = 20480
	bodyBuffer     = 16777216
)

// deployment is a store, entry hosts and targets on loopback addresses.
type deployment struct {
	store  *fakestore.Server
	record *record
	dir    string
	hosts  []*host
	first  time.Time
}

// newDeployment starts a store. Everything that is written goes to a temporary folder.
func newDeployment(r *record) (*deployment, error) {
	dir, err := os.MkdirTemp("", "chestnut-review-")
	if err != nil {
		return nil, err
	}
	return &deployment{store: fakestore.New(), record: r, dir: dir, first: time.Now()}, nil
}

// close ends all processes and the store.
func (d *deployment) close() {
	for _, h := range d.hosts {
		h.kill()
	}
	d.store.Close()
	_ = os.RemoveAll(d.dir)
}

// route is a route of the operator's configuration.
type route struct {
	Name        string  `json:"name"`
	Host        string  `json:"host"`
	Prefix      string  `json:"prefix"`
	Kind        string  `json:"kind"`
	TimeoutS    float64 `json:"timeoutS"`
	LatencySloS float64 `json:"latencySloS"`
	Priority    int     `json:"priority"`
	Service     string  `json:"service"`
	MaxAttempts int     `json:"maxAttempts"`
}

type service struct {
	Name       string `json:"name"`
	HealthPath string `json:"healthPath"`
	MaxConns   int    `json:"maxConns"`
	Protocol   string `json:"protocol"`
	TLS        bool   `json:"tls"`
}

// configure writes a configuration as the operator does.
func (d *deployment) configure(version int, routes []route, services ...string) {
	d.configureTenants(version, routes, nil, services...)
}

// configureTenants writes a configuration with tenants; nil writes one without.
func (d *deployment) configureTenants(version int, routes []route, tenants []tenantEntry, services ...string) {
	list := []service{}
	for _, s := range services {
		list = append(list, service{Name: s, HealthPath: healthPath, MaxConns: 240, Protocol: "h1"})
	}
	c := map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15},
	}
	if tenants != nil {
		c["tenants"] = tenants
	}
	d.store.Put("op", "config", c)
	d.record.add("operator writes configuration %d", version)
}

// tenantEntry is a tenant of the operator's configuration.
type tenantEntry struct {
	Name     string   `json:"name"`
	APIKeys  []string `json:"apiKeys"`
	RatePerS float64  `json:"ratePerS"`
	Burst    float64  `json:"burst"`
}

// The faults of the store.
const (
	healthy  = fakestore.None
	refusing = fakestore.Refusing
)

// register writes a target's entry now and with each heartbeat until stop is closed. It
// returns a function that writes it at once.
func (d *deployment) register(t *target, stop <-chan struct{}) (write func()) {
	var mu sync.Mutex
	born, seq := time.Now().UnixMilli(), 0
	write = func() {
		mu.Lock()
		defer mu.Unlock()
		seq++
		d.store.Put("servers", t.id, map[string]any{
			"service": t.service, "address": t.addr(), "zone": failureDomain, "version": "v1", "slots": t.slots,
			"state": "ready", "warmupLeftS": 0, "seq": seq, "born": born,
		})
	}
	write()
	go func() {
		tick := time.NewTicker(heartbeat)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
				write()
			case <-stop:
				return
			}
		}
	}()
	return write
}

// host is one entry host.
type host struct {
	name, callers, ready, peers, settings, log string
	first                                      bool
	template                                   func(first bool) string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// freeAddrs returns loopback addresses that are free for TCP and UDP.
func freeAddrs(n int) ([]string, error) {
	var out []string
	for port := 15000 + os.Getpid()%9000; len(out) < n && port < 32000; port++ {
		addr := "127.0.0.1:" + strconv.Itoa(port)
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		defer ln.Close()
		c, err := net.ListenPacket("udp4", addr)
		if err != nil {
			continue
		}
		defer c.Close()
		out = append(out, addr)
	}
	if len(out) < n {
		return nil, fmt.Errorf("found %d free ports, need %d", len(out), n)
	}
	return out, nil
}

// addHosts prepares entry hosts with the settings of the deploy file's template.
func (d *deployment) addHosts(n int) error {
	addrs, err := freeAddrs(4 * n)
	if err != nil {
		return err
	}
	for i := range n {
		a := addrs[4*i:]
		h := &host{name: fmt.Sprintf("edge-%s-%d", failureDomain, i+1), callers: a[0], ready: a[1], peers: a[2], first: true}
		h.settings, h.log = filepath.Join(d.dir, h.name+".ini"), filepath.Join(d.dir, h.name+".log")
		storeAddr := d.store.Addr().String()
		h.template = func(first bool) string {
			return fmt.Sprintf("[host]\nname = %s\nfailure_domain = %s\nregions = %s:region-1\nstrength = 0.32\nfirst_start = %v\n"+
				"[listen]\ncallers = %s\nready = %s\npeers = %s\nrelay = %s\n[store]\naddress = %s\n"+
				"[bounds]\nretry_ratio = %g\nretry_slack = %d\nprobes_per_second = %d\nstop_grace = %gs\n"+
				"[limits]\nmax_header_bytes = %d\nbody_buffer_bytes = %d\n[log]\nlevel = info\n",
				h.name, failureDomain, failureDomain, first, a[0], a[1], a[2], a[3], storeAddr,
				retryRatio, retrySlack, probesPerSec, stopGrace.Seconds(), maxHeaderBytes, bodyBuffer)
		}
		d.hosts = append(d.hosts, h)
	}
	return nil
}

// startHosts starts all hosts and waits until they are ready.
func (d *deployment) startHosts() error {
	for _, h := range d.hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	for _, h := range d.hosts {
		if err := h.awaitReady(15 * time.Second); err != nil {
			return err
		}
	}
	d.record.add("%d entry hosts are ready", len(d.hosts))
	return nil
}

// start starts the program of the deploy file's role.
func (h *host) start() error {
	if err := os.WriteFile(h.settings, []byte(h.template(h.first)), 0o600); err != nil {
		return err
	}
	h.first = false
	out, err := os.OpenFile(h.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command("target/chestnut-gateway")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CHESTNUTFIELD_BOOT=" + h.settings}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	go func() { _ = cmd.Wait(); close(done) }()
	h.mu.Lock()
	h.cmd, h.done = cmd, done
	h.mu.Unlock()
	return nil
}

func (h *host) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.ready+"/-/readyz", nil)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (h *host) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if h.isReady() {
			return nil
		}
	}
	return fmt.Errorf("host %s is not ready after %v", h.name, limit)
}

func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd != nil && h.cmd.Process != nil {
		_ = h.cmd.Process.Signal(s)
	}
}

func (h *host) kill() {
	h.signal(syscall.SIGCONT)
	h.signal(syscall.SIGKILL)
	if h.done != nil {
		<-h.done
	}
}

//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/chestnutfield/chestnutfield/platform"
	"github.com/chestnutfield/chestnutfield/platform/fakestore"
	"github.com/chestnutfield/chestnutfield/platform/fakeupstream"
)

// program is the entry host as the deploy file builds and starts it, from the root of
// the repository.
const program = "target/chestnut-gateway"

// deployment is a small deployment of the users' platform.
type deployment struct {
	dir      string
	record   *record
	store    *fakestore.Server
	arrivals *fakeupstream.Record

	mu       sync.Mutex
	closed   bool
	hosts    []*host
	backends []*fakeupstream.Server
	stop     chan struct{}
}

func newDeployment(dir string, r *record) *deployment {
	return &deployment{dir: dir, record: r, store: fakestore.New(), arrivals: &fakeupstream.Record{}, stop: make(chan struct{})}
}

// close ends all processes and stand-ins.
func (d *deployment) close() {
	d.mu.Lock()
	if d.closed {
		d.mu.Unlock()
		return
	}
	d.closed = true
	hosts, backends := d.hosts, d.backends
	d.mu.Unlock()
	close(d.stop)
	for _, h := range hosts {
		if dir := os.Getenv("KEEP_LOGS"); dir != "" {
			log, _ := os.ReadFile(h.log)
			_ = os.WriteFile(filepath.Join(dir, h.name+".log"), log, 0o600)
		}
		h.kill()
		h.storeRelay.close()
	}
	for _, b := range backends {
		b.Close()
	}
	d.store.Close()
}

// addBackend starts a back end and keeps its row in the store up to date.
func (d *deployment) addBackend(id, service, zone string, slots int, b fakeupstream.Behavior) (*fakeupstream.Server, error) {
	s, err := fakeupstream.New(id, service, zone, slots, b, d.arrivals)
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	d.backends = append(d.backends, s)
	d.mu.Unlock()
	s.Register(d.store, s.Addr(), false)
	go func() {
		ticker := time.NewTicker(1500 * time.Millisecond)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				s.Register(d.store, s.Addr(), false)
			case <-d.stop:
				return
			}
		}
	}()
	return s, nil
}

// host is one entry host.
type host struct {
	name                         string
	callers, ready, peers, relay string
	settings, log                string
	storeRelay                   *relay
	process                      *os.Process
	exited                       chan struct{}
}

// settingsFormat is the result of deploy/entry.ini for one host.
const settingsFormat = `[host]
name = %s
failure_domain = %s
regions = zone-a:region,zone-b:region,zone-c:region
strength = 0.8
first_start = %t
[listen]
callers = %s
ready = %s
peers = %s
relay = %s
[store]
address = %s
[bounds]
retry_ratio = 0.2
retry_slack = 62
probes_per_second = 42
stop_grace = 6s
[limits]
max_header_bytes = 20480
body_buffer_bytes = 16777216
[log]
level = info
`

// addHost writes the settings of a host and starts it.
func (d *deployment) addHost(name, zone string, firstStart bool) (*host, error) {
	toStore, err := newRelay(d.store.Addr().String())
	if err != nil {
		return nil, err
	}
	h := &host{
		name: name, callers: freeAddress(), ready: freeAddress(), peers: freeAddress(), relay: freeAddress(), storeRelay: toStore,
		settings: filepath.Join(d.dir, name+".ini"), log: filepath.Join(d.dir, name+".log"),
	}
	text := fmt.Sprintf(settingsFormat, name, zone, firstStart, h.callers, h.ready, h.peers, h.relay, toStore.addr())
	if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	d.mu.Lock()
	d.hosts = append(d.hosts, h)
	d.mu.Unlock()
	return h, h.start()
}

func (h *host) start() error {
	out, err := os.OpenFile(h.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(program)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CHESTNUTFIELD_BOOT=" + h.settings}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	h.process, h.exited = cmd.Process, exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

// addHosts starts n hosts of a deployment that starts for the first time and waits until
// they are ready.
func (d *deployment) addHosts(n int) error {
	for i := range n {
		if _, err := d.addHost(fmt.Sprintf("edge-%s-%d", zone, i+1), zone, true); err != nil {
			return err
		}
	}
	for _, h := range d.hosts {
		if err := h.awaitReady(15 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

// setStoreDown resets all connections of the hosts to the store, or lets them pass again.
func (d *deployment) setStoreDown(down bool) {
	for _, h := range d.hosts {
		h.storeRelay.setResetting(down)
	}
}

// kill ends the process at once and waits for its end.
func (h *host) kill() {
	if h.process == nil {
		return
	}
	_ = h.process.Kill()
	<-h.exited
}

// isReady asks the host whether it is ready, as the platform does.
func (h *host) isReady() bool {
	client := &http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + h.ready + platform.ReadyPath)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until a host is ready.
func (h *host) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if h.isReady() {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %s", h.name, limit)
}

// freeAddress returns a loopback address below the ephemeral ports that is free for TCP
// and UDP.
func freeAddress() string {
	for {
		addr := fmt.Sprintf("127.0.0.1:%d", 15_000+rand.IntN(17_000))
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		_ = ln.Close()
		c, err := net.ListenPacket("udp4", addr)
		if err != nil {
			continue
		}
		_ = c.Close()
		return addr
	}
}

package soak

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

	"github.com/pkg/errors"

	"github.com/chestnutfield/chestnutfield/platform"
)

// restartAfter is the delay between the end of a process and its next start.
const restartAfter = 300 * time.Millisecond

// settingsTemplate is the format of the settings file of one host.
const settingsTemplate = `[host]
name = %s
failure_domain = %s
[listen]
callers = %s
ready = %s
peers = %s
relay = %s
[store]
address = %s
[bounds]
retry_ratio = %g
retry_slack = %g
probes_per_second = %g
stop_grace = %s
[log]
level = %s
`

// host is one entry host: a gateway process that is restarted whenever it ends.
type host struct {
	name, domain                      string
	callersAddr, readyAddr, peersAddr string
	relayAddr                         string
	binaryPath, settingsPath, logPath string
	storeRelay                        *Relay

	mu      sync.Mutex
	process *os.Process
	// startCount counts the processes started for this host; stopRequested is true
	// once the current one was told to stop or was killed.
	startCount    int
	stopRequested bool
	closed        bool
	done          chan struct{}
	// onUnexpectedExit is called with the exit state of a process that ended
	// without being told to.
	onUnexpectedExit func(state string)
}

// The listening ports of hosts lie below the kernel's ephemeral port range, so that
// no outgoing connection takes the port of a host that restarts.
const (
	firstPort = 15_000
	lastPort  = 32_000
)

// reserved holds the addresses of all hosts of this process's runs: while a host
// restarts, its ports are free, and a run that starts must not take them.
var reserved sync.Map

// freePorts returns n loopback addresses whose ports are free for TCP and UDP at
// the time of the call, and reserves them.
func freePorts(n int) ([]string, error) {
	out := make([]string, 0, n)
	for tries := 0; len(out) < n; tries++ {
		if tries == lastPort-firstPort {
			return nil, errors.New("found too few ports that are free for both TCP and UDP")
		}
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))
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
		if _, taken := reserved.LoadOrStore(addr, true); taken {
			continue
		}
		out = append(out, addr)
	}
	return out, nil
}

func newHost(name, domain, dir, binaryPath string, storeRelay *Relay) (*host, error) {
	ports, err := freePorts(4)
	if err != nil {
		return nil, err
	}
	h := &host{
		name: name, domain: domain, binaryPath: binaryPath, storeRelay: storeRelay,
		callersAddr: ports[0], readyAddr: ports[1], peersAddr: ports[2], relayAddr: ports[3],
		settingsPath: filepath.Join(dir, name+".ini"), logPath: filepath.Join(dir, name+".log"), done: make(chan struct{}),
	}
	return h, h.writeSettings("info")
}

// writeSettings replaces the settings file atomically.
func (h *host) writeSettings(level string) error {
	text := fmt.Sprintf(settingsTemplate, h.name, h.domain, h.callersAddr, h.readyAddr, h.peersAddr, h.relayAddr, h.storeRelay.Addr(),
		bounds.retryRatio, bounds.retrySlack, bounds.healthChecksPerSecond, bounds.stopGrace, level)
	tempPath := h.settingsPath + ".new"
	if err := os.WriteFile(tempPath, []byte(text), 0o600); err != nil {
		return errors.Wrap(err, "settings")
	}
	return errors.Wrap(os.Rename(tempPath, h.settingsPath), "settings")
}

// supervise starts the process and restarts it whenever it ends, until close.
func (h *host) supervise() error {
	if err := h.start(); err != nil {
		return err
	}
	go func() {
		defer close(h.done)
		for {
			state, err := h.process.Wait()
			h.mu.Lock()
			requested := h.stopRequested
			h.mu.Unlock()
			if !requested {
				h.onUnexpectedExit(fmt.Sprint(state, " ", err))
			}
			time.Sleep(restartAfter)
			h.mu.Lock()
			closed := h.closed
			h.mu.Unlock()
			if closed || h.start() != nil {
				return
			}
		}
	}()
	return nil
}

func (h *host) start() error {
	out, err := os.OpenFile(h.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "log file")
	}
	defer out.Close()
	cmd := exec.Command(h.binaryPath, "--settings", h.settingsPath)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = endedWithParent()
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, "start entry host")
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.process = cmd.Process
	h.startCount++
	h.stopRequested = h.closed
	if h.closed {
		_ = h.process.Kill()
	}
	return nil
}

// signal sends a signal to the current process.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stopRequested = h.stopRequested || s == syscall.SIGTERM || s == syscall.SIGKILL
	// The error is ignored: a process that has just ended is restarted by supervise.
	_ = h.process.Signal(s)
}

// pid returns the ID of the current process.
func (h *host) pid() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.process.Pid
}

// incarnation returns the number of the current process, from 1.
func (h *host) incarnation() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.startCount
}

// close kills the process and waits until supervise has ended.
func (h *host) close() {
	h.mu.Lock()
	h.closed, h.stopRequested = true, true
	process := h.process
	h.mu.Unlock()
	_ = process.Signal(syscall.SIGCONT)
	_ = process.Kill()
	<-h.done
	for _, addr := range []string{h.callersAddr, h.readyAddr, h.peersAddr, h.relayAddr} {
		reserved.Delete(addr)
	}
}

// awaitStart waits until the process is ready, for maxStart at most: a process that
// has only just been started doesn't handle signals yet, and a reload would end it.
func (h *host) awaitStart() {
	const maxStart, timeout, pause = 2 * time.Second, 200 * time.Millisecond, 20 * time.Millisecond
	client := &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for from := time.Now(); time.Since(from) < maxStart && !h.isReady(client); {
		time.Sleep(pause)
	}
}

// isReady reports whether the host's readiness endpoint returns 200.
func (h *host) isReady(client *http.Client) bool {
	resp, err := client.Get("http://" + h.readyAddr + platform.ReadyPath)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

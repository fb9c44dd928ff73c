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

// restartAfter is the pause between the end of a process and its next start.
const restartAfter = 300 * time.Millisecond

// settingsForm is the settings file of one host.
const settingsForm = `[host]
name = %s
failure_domain = %s
[listen]
callers = %s
ready = %s
peers = %s
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

// host is one entry host: a process that is started again whenever it ends.
type host struct {
	name, domain            string
	callers, ready, peers   string
	binary, settings, logAt string
	store                   *Relay

	mu      sync.Mutex
	process *os.Process
	// run counts the processes of this host; ending is true once the present one
	// was told to end.
	run    int
	ending bool
	gone   bool
	done   chan struct{}
	// ended is told of a process that ended without being told to.
	ended func(state string)
}

// Ports of hosts lie below those that the kernel gives to connections: a host
// that starts again must find its own free.
const (
	firstPort = 15_000
	lastPort  = 32_000
)

// freePorts finds addresses on loopback that are free now, for connections and
// for messages.
func freePorts(n int) ([]string, error) {
	out := make([]string, 0, n)
	for tries := 0; len(out) < n; tries++ {
		if tries == lastPort-firstPort {
			return nil, errors.New("no free ports")
		}
		at := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))
		ln, err := net.Listen("tcp", at)
		if err != nil {
			continue
		}
		defer ln.Close()
		c, err := net.ListenPacket("udp4", at)
		if err != nil {
			continue
		}
		defer c.Close()
		out = append(out, at)
	}
	return out, nil
}

func newHost(name, domain, dir, binary string, store *Relay) (*host, error) {
	ports, err := freePorts(3)
	if err != nil {
		return nil, err
	}
	h := &host{
		name: name, domain: domain, binary: binary, store: store,
		callers: ports[0], ready: ports[1], peers: ports[2],
		settings: filepath.Join(dir, name+".ini"), logAt: filepath.Join(dir, name+".log"), done: make(chan struct{}),
	}
	return h, h.writeSettings("info")
}

// writeSettings writes the settings file; it is replaced as a whole.
func (h *host) writeSettings(level string) error {
	text := fmt.Sprintf(settingsForm, h.name, h.domain, h.callers, h.ready, h.peers, h.store.Addr(),
		bounds.retryRatio, bounds.retrySlack, bounds.checksPerSecond, bounds.grace, level)
	draft := h.settings + ".new"
	if err := os.WriteFile(draft, []byte(text), 0o600); err != nil {
		return errors.Wrap(err, "settings")
	}
	return errors.Wrap(os.Rename(draft, h.settings), "settings")
}

// keepRunning starts the process, and again after each end, until close.
func (h *host) keepRunning() error {
	if err := h.start(); err != nil {
		return err
	}
	go func() {
		defer close(h.done)
		for {
			state, err := h.process.Wait()
			h.mu.Lock()
			told := h.ending
			h.mu.Unlock()
			if !told {
				h.ended(fmt.Sprint(state, " ", err))
			}
			time.Sleep(restartAfter)
			h.mu.Lock()
			gone := h.gone
			h.mu.Unlock()
			if gone || h.start() != nil {
				return
			}
		}
	}()
	return nil
}

func (h *host) start() error {
	out, err := os.OpenFile(h.logAt, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "log file")
	}
	defer out.Close()
	cmd := exec.Command(h.binary, "--settings", h.settings)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, "start entry host")
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.process = cmd.Process
	h.run++
	h.ending = h.gone
	if h.gone {
		_ = h.process.Kill()
	}
	return nil
}

// signal sends a signal to the present process.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ending = h.ending || s == syscall.SIGTERM || s == syscall.SIGKILL
	// One that has just ended is started again by keepRunning.
	_ = h.process.Signal(s)
}

// incarnation is the number of the present process.
func (h *host) incarnation() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.run
}

// close ends the process for good.
func (h *host) close() {
	h.mu.Lock()
	h.gone, h.ending = true, true
	process := h.process
	h.mu.Unlock()
	_ = process.Signal(syscall.SIGCONT)
	_ = process.Kill()
	<-h.done
}

// isReady asks whether the host takes new connections.
func (h *host) isReady(client *http.Client) bool {
	resp, err := client.Get("http://" + h.ready + platform.ReadyPath)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

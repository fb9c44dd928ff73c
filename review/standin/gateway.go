//go:build review

package standin

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// settings are those of the deploy file's template, filled in for a small deployment.
const settings = `[host]
name = %s
failure_domain = %s
regions = a:one,b:one,c:one
strength = 0.32
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
probes_per_second = 60
stop_grace = 6s
[limits]
max_header_bytes = 20480
body_buffer_bytes = 16777216
[log]
level = info
`

// Grace is the time from SIGTERM to SIGKILL, as in the settings.
const Grace = 6 * time.Second

// Gateway is one gateway process.
type Gateway struct {
	Name, Callers, Ready string
	// Descriptors is the maxFds of its machine, 0 for that of this machine.
	Descriptors int

	zone, peers, relay, store, settingsPath, logPath string

	cmd    *exec.Cmd
	exited chan struct{}
}

// NewGateway returns a gateway that is not started. Its files are in dir.
func NewGateway(name, zone, dir, store string) *Gateway {
	return &Gateway{
		Name: name, zone: zone, store: store, Callers: FreeAddress(), Ready: FreeAddress(), peers: FreeAddress(), relay: FreeAddress(),
		settingsPath: filepath.Join(dir, name+".ini"), logPath: filepath.Join(dir, name+".log"),
	}
}

// binary is the program that the deploy file starts, from the root of the repository.
const binary = "target/chestnut-gateway"

// Start starts the process. first is true when the whole deployment starts for the
// first time.
func (g *Gateway) Start(first bool) error {
	text := fmt.Sprintf(settings, g.Name, g.zone, first, g.Callers, g.Ready, g.peers, g.relay, g.store)
	if err := os.WriteFile(g.settingsPath, []byte(text), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(g.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(binary)
	if g.Descriptors > 0 {
		cmd = exec.Command("sh", "-c", fmt.Sprintf("ulimit -n %d && exec %s", g.Descriptors, binary))
	}
	cmd.Env = append(os.Environ(), "CHESTNUTFIELD_BOOT="+g.settingsPath)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	g.cmd, g.exited = cmd, exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

// AwaitReady waits until the gateway reports that it is ready.
func (g *Gateway) AwaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + g.Ready + "/-/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("gateway %s is not ready after %v", g.Name, limit)
}

// Signal sends a signal to the process.
func (g *Gateway) Signal(s syscall.Signal) { _ = g.cmd.Process.Signal(s) }

// Exited is closed when the process has ended.
func (g *Gateway) Exited() <-chan struct{} { return g.exited }

// ExitState describes how the process ended.
func (g *Gateway) ExitState() string { return g.cmd.ProcessState.String() }

// Kill ends the process and waits for its end.
func (g *Gateway) Kill() {
	if g.cmd == nil {
		return
	}
	_ = g.cmd.Process.Signal(syscall.SIGCONT)
	_ = g.cmd.Process.Kill()
	<-g.exited
}

package soak

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/samber/lo"
)

// Mode is how a relay treats the bytes that it forwards.
type Mode uint8

// The modes.
const (
	// ModeForward forwards both directions without delay.
	ModeForward Mode = iota
	// ModeDelay delays each chunk by relayDelay.
	ModeDelay
	// ModeStallResponses holds the bytes from the server back; those from the client
	// are forwarded.
	ModeStallResponses
	// ModeStall holds the bytes of both directions back; new connections hang.
	ModeStall
	// ModeReset resets every connection.
	ModeReset
)

const (
	// relayDelay is the delay of a chunk in ModeDelay: many times the network
	// delay between failure domains.
	relayDelay = 40 * time.Millisecond
	// relayDialTimeout is the timeout of the connection to the target.
	relayDialTimeout = time.Second
	// relayChunkBytes is the maximum size of a chunk.
	relayChunkBytes = 16 << 10
)

// Relay is a TCP proxy that forwards connections to one address and injects
// network faults.
type Relay struct {
	ln     net.Listener
	target string

	mu      sync.Mutex
	mode    Mode
	changed chan struct{}
	// conns holds the open connections, with true for those of clients.
	conns  map[*net.TCPConn]bool
	closed bool
	// admitClient, if set, decides about new connections by the addresses of both ends.
	// It may block; false resets the connection.
	admitClient func(client, relay netip.AddrPort) bool
}

// NewRelay starts a relay that listens on a loopback port and forwards to target.
func NewRelay(target string) (*Relay, error) { return newRelay(target, nil) }

// newRelay is NewRelay with the decision about new connections, see
// Relay.admitClient.
func newRelay(target string, admitClient func(client, relay netip.AddrPort) bool) (*Relay, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "relay")
	}
	r := &Relay{ln: ln, target: target, admitClient: admitClient, changed: make(chan struct{}), conns: map[*net.TCPConn]bool{}}
	go r.accept()
	return r, nil
}

// Addr returns the address that the relay listens on.
func (r *Relay) Addr() string { return r.ln.Addr().String() }

// SetMode changes the mode. ModeReset also resets the open connections.
func (r *Relay) SetMode(m Mode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mode = m
	close(r.changed)
	r.changed = make(chan struct{})
	if m == ModeReset {
		r.resetAll()
	}
}

// Redirect forwards new connections to another address and resets the open ones.
func (r *Relay) Redirect(target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = target
	r.resetAll()
}

// Close stops listening and resets the open connections.
func (r *Relay) Close() {
	_ = r.ln.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	close(r.changed)
	r.changed = make(chan struct{})
	r.resetAll()
}

// resetAll resets all open connections. The caller must hold mu.
func (r *Relay) resetAll() {
	for c := range r.conns {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
	clear(r.conns)
}

// state returns the mode, whether the relay is closed, and a channel that is closed
// when either changes.
func (r *Relay) state() (Mode, bool, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mode, r.closed, r.changed
}

func (r *Relay) accept() {
	for {
		c, err := r.ln.Accept()
		if err != nil {
			return
		}
		go r.serve(c.(*net.TCPConn))
	}
}

// track adds an open connection. If the relay is closed, it closes the connection
// and returns false.
func (r *Relay) track(c *net.TCPConn, client bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		_ = c.Close()
		return false
	}
	r.conns[c] = client
	return true
}

func (r *Relay) untrack(c *net.TCPConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
	_ = c.Close()
}

func (r *Relay) serve(client *net.TCPConn) {
	if !r.track(client, true) {
		return
	}
	defer r.untrack(client)
	if r.admitClient != nil && !r.admitClient(addrPort(client.RemoteAddr()), addrPort(client.LocalAddr())) || !r.admit() {
		_ = client.SetLinger(0)
		return
	}
	r.mu.Lock()
	target := r.target
	r.mu.Unlock()
	c, err := net.DialTimeout("tcp", target, relayDialTimeout)
	if err != nil {
		_ = client.SetLinger(0)
		return
	}
	server := c.(*net.TCPConn)
	if !r.track(server, false) {
		return
	}
	defer r.untrack(server)
	var directions sync.WaitGroup
	directions.Go(func() { r.forward(client, server, false) })
	directions.Go(func() { r.forward(server, client, true) })
	directions.Wait()
}

// resetClients resets the open connections of some clients.
func (r *Relay) resetClients(match func(client, relay netip.AddrPort) bool) {
	r.mu.Lock()
	clients := lo.Keys(lo.PickBy(r.conns, func(_ *net.TCPConn, client bool) bool { return client }))
	r.mu.Unlock()
	for _, c := range clients {
		if match(addrPort(c.RemoteAddr()), addrPort(c.LocalAddr())) {
			_ = c.SetLinger(0)
			_ = c.Close()
		}
	}
}

func addrPort(a net.Addr) netip.AddrPort { return a.(*net.TCPAddr).AddrPort() }

// admit waits until a new connection may be forwarded. It returns false if the
// connection is to be reset.
func (r *Relay) admit() bool {
	for {
		mode, closed, changed := r.state()
		switch {
		case closed || mode == ModeReset:
			return false
		case mode == ModeStall:
			<-changed
		default:
			return true
		}
	}
}

// forward copies one direction of a connection until it ends. fromServer is true
// for the direction from the target to the client.
func (r *Relay) forward(src, dst *net.TCPConn, fromServer bool) {
	buf := make([]byte, relayChunkBytes)
	for {
		n, err := src.Read(buf)
		r.waitForMode(fromServer)
		if n > 0 {
			if _, werr := dst.Write(buf[:n]); werr != nil {
				_ = src.SetLinger(0)
				_ = src.Close()
				return
			}
		}
		if errors.Is(err, io.EOF) {
			_ = dst.CloseWrite()
			return
		}
		if err != nil {
			_ = dst.SetLinger(0)
			_ = dst.Close()
			return
		}
	}
}

// waitForMode waits while the mode holds back the bytes of a direction, or for the
// delay of ModeDelay.
func (r *Relay) waitForMode(fromServer bool) {
	for {
		mode, closed, changed := r.state()
		switch {
		case closed:
			return
		case mode == ModeStall, mode == ModeStallResponses && fromServer:
			<-changed
		case mode == ModeDelay:
			time.Sleep(relayDelay)
			return
		default:
			return
		}
	}
}

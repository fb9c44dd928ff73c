package soak

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Mode is how a relay treats the bytes that pass.
type Mode uint8

// The modes.
const (
	// Pass: both ways at once.
	Pass Mode = iota
	// Slow: each chunk waits for relayDelay.
	Slow
	// OneWay: bytes of the side that listens are held.
	OneWay
	// Silent: bytes of both sides are held, and new connections hang.
	Silent
	// Resetting: every connection is reset.
	Resetting
)

const (
	// relayDelay is what a slow relay adds to each chunk: many times the way
	// between failure domains.
	relayDelay = 40 * time.Millisecond
	// relayDial bounds the opening of the connection behind a relay.
	relayDial = time.Second
	// relayChunk is the size of a chunk.
	relayChunk = 16 << 10
)

// Relay passes TCP connections on to one address.
type Relay struct {
	ln net.Listener
	to string

	mu      sync.Mutex
	mode    Mode
	changed chan struct{}
	conns   map[*net.TCPConn]bool
	closed  bool
}

// NewRelay listens on loopback and passes on to an address.
func NewRelay(to string) (*Relay, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "relay")
	}
	r := &Relay{ln: ln, to: to, changed: make(chan struct{}), conns: map[*net.TCPConn]bool{}}
	go r.accept()
	return r, nil
}

// Addr is where the relay listens.
func (r *Relay) Addr() string { return r.ln.Addr().String() }

// Set changes the mode; Resetting also ends the connections that are open.
func (r *Relay) Set(m Mode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mode = m
	close(r.changed)
	r.changed = make(chan struct{})
	if m == Resetting {
		r.resetAll()
	}
}

// Redirect passes new connections on to another address and resets the others.
func (r *Relay) Redirect(to string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.to = to
	r.resetAll()
}

// Close ends the relay and its connections.
func (r *Relay) Close() {
	_ = r.ln.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	close(r.changed)
	r.changed = make(chan struct{})
	r.resetAll()
}

// resetAll resets all connections. The caller holds the lock.
func (r *Relay) resetAll() {
	for c := range r.conns {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
	clear(r.conns)
}

// state returns the mode, and a channel that is closed when it changes.
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

// keep notes a connection; false when the relay is closed.
func (r *Relay) keep(c *net.TCPConn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		_ = c.Close()
		return false
	}
	r.conns[c] = true
	return true
}

func (r *Relay) drop(c *net.TCPConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
	_ = c.Close()
}

func (r *Relay) serve(near *net.TCPConn) {
	if !r.keep(near) {
		return
	}
	defer r.drop(near)
	if !r.admit() {
		_ = near.SetLinger(0)
		return
	}
	r.mu.Lock()
	to := r.to
	r.mu.Unlock()
	c, err := net.DialTimeout("tcp", to, relayDial)
	if err != nil {
		_ = near.SetLinger(0)
		return
	}
	far := c.(*net.TCPConn)
	if !r.keep(far) {
		return
	}
	defer r.drop(far)
	var both sync.WaitGroup
	both.Go(func() { r.pump(near, far, false) })
	both.Go(func() { r.pump(far, near, true) })
	both.Wait()
}

// admit waits until a new connection may pass; false when it is to be reset.
func (r *Relay) admit() bool {
	for {
		mode, closed, changed := r.state()
		switch {
		case closed || mode == Resetting:
			return false
		case mode == Silent:
			<-changed
		default:
			return true
		}
	}
}

// pump passes one direction on until it ends; back is the direction of the
// side that listens behind the relay.
func (r *Relay) pump(from, to *net.TCPConn, back bool) {
	buf := make([]byte, relayChunk)
	for {
		n, err := from.Read(buf)
		r.holdBack(back)
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				_ = from.SetLinger(0)
				_ = from.Close()
				return
			}
		}
		if errors.Is(err, io.EOF) {
			_ = to.CloseWrite()
			return
		}
		if err != nil {
			_ = to.SetLinger(0)
			_ = to.Close()
			return
		}
	}
}

// holdBack waits as long as the mode holds bytes of a direction.
func (r *Relay) holdBack(back bool) {
	for {
		mode, closed, changed := r.state()
		switch {
		case closed:
			return
		case mode == Silent, mode == OneWay && back:
			<-changed
		case mode == Slow:
			time.Sleep(relayDelay)
			return
		default:
			return
		}
	}
}

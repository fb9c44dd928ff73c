package peer

import (
	"context"
	"net"
	"sync"

	"github.com/pkg/errors"
)

// pipeNetwork is a network of in-memory connections that works under the fake
// time of synctest.
type pipeNetwork struct {
	mu        sync.Mutex
	listeners map[string]*pipeListener
	// cut reports whether two addresses can't reach each other.
	cut  func(from, to string) bool
	open []net.Conn
}

type pipeListener struct {
	addr  string
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}
func (l *pipeListener) Close() error   { l.once.Do(func() { close(l.done) }); return nil }
func (l *pipeListener) Addr() net.Addr { return &net.UnixAddr{Name: l.addr} }

func (p *pipeNetwork) listen(addr string) net.Listener {
	l := &pipeListener{addr: addr, conns: make(chan net.Conn), done: make(chan struct{})}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listeners[addr] = l
	return l
}

func (p *pipeNetwork) dial(from string) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, _, addr string) (net.Conn, error) {
		p.mu.Lock()
		l := p.listeners[addr]
		blocked := p.cut != nil && p.cut(from, addr)
		p.mu.Unlock()
		if l == nil || blocked {
			return nil, errors.New("unreachable")
		}
		near, far := net.Pipe()
		select {
		case l.conns <- far:
			p.mu.Lock()
			defer p.mu.Unlock()
			p.open = append(p.open, near)
			return near, nil
		case <-l.done:
			return nil, errors.New("refused")
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (p *pipeNetwork) setCut(cut func(from, to string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
	for _, c := range p.open {
		_ = c.Close()
	}
	p.open = nil
}

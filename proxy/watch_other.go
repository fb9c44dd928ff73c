//go:build !linux

package proxy

import "sync"

// watcher keeps the list of open connections. Without EPOLLRDHUP, a caller
// that closed its connection is noticed only when its response is written.
type watcher struct {
	mu     sync.Mutex
	conns  map[uint64]*callerConn
	nextID uint64
}

func newWatcher() (*watcher, error) {
	return &watcher{conns: make(map[uint64]*callerConn)}, nil
}

func (w *watcher) add(c *callerConn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nextID++
	c.id = w.nextID
	w.conns[c.id] = c
}

func (w *watcher) remove(c *callerConn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.conns, c.id)
}

func (w *watcher) all() []*callerConn {
	w.mu.Lock()
	defer w.mu.Unlock()
	conns := make([]*callerConn, 0, len(w.conns))
	for _, c := range w.conns {
		conns = append(conns, c)
	}
	return conns
}

func (w *watcher) stop() {}

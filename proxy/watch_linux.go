package proxy

import (
	"sync"
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// watcher notices callers that close their side while a request is handled.
// The HTTP server does not read then, and reading for it would take pipelined
// bytes; the kernel's report of a closed peer takes none. A connection is
// registered once, so a request costs nothing.
type watcher struct {
	epoll int
	// wake is written to end the loop.
	wake [2]int

	mu    sync.Mutex
	conns map[uint64]*callerConn
	next  uint64
}

const watchEvents = 64

func newWatcher() (*watcher, error) {
	epoll, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, errors.Wrap(err, "watcher: epoll")
	}
	w := &watcher{epoll: epoll, conns: make(map[uint64]*callerConn)}
	if err := unix.Pipe2(w.wake[:], unix.O_CLOEXEC|unix.O_NONBLOCK); err != nil {
		unix.Close(epoll)
		return nil, errors.Wrap(err, "watcher: pipe")
	}
	ev := unix.EpollEvent{Events: unix.EPOLLIN}
	if err := unix.EpollCtl(epoll, unix.EPOLL_CTL_ADD, w.wake[0], &ev); err != nil {
		w.closeFiles()
		return nil, errors.Wrap(err, "watcher: wake")
	}
	go w.run()
	return w, nil
}

// add registers a connection under an id of its own.
func (w *watcher) add(c *callerConn) {
	w.mu.Lock()
	w.next++
	c.id = w.next
	w.conns[c.id] = c
	w.mu.Unlock()
	w.control(c, unix.EPOLL_CTL_ADD)
}

// remove is called before the connection is closed.
func (w *watcher) remove(c *callerConn) {
	w.mu.Lock()
	delete(w.conns, c.id)
	w.mu.Unlock()
	w.control(c, unix.EPOLL_CTL_DEL)
}

func (w *watcher) control(c *callerConn, op int) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		ev := unix.EpollEvent{Events: unix.EPOLLRDHUP | unix.EPOLLET, Fd: int32(c.id), Pad: int32(c.id >> 32)}
		_ = unix.EpollCtl(w.epoll, op, int(fd), &ev)
	})
}

// all returns the open connections.
func (w *watcher) all() []*callerConn {
	w.mu.Lock()
	defer w.mu.Unlock()
	conns := make([]*callerConn, 0, len(w.conns))
	for _, c := range w.conns {
		conns = append(conns, c)
	}
	return conns
}

func (w *watcher) run() {
	defer w.closeFiles()
	events := make([]unix.EpollEvent, watchEvents)
	for {
		n, err := unix.EpollWait(w.epoll, events, -1)
		if err == unix.EINTR {
			continue
		}
		if err != nil {
			return
		}
		for _, ev := range events[:n] {
			id := uint64(uint32(ev.Fd)) | uint64(uint32(ev.Pad))<<32
			if id == 0 {
				return
			}
			w.hangup(id)
		}
	}
}

func (w *watcher) hangup(id uint64) {
	w.mu.Lock()
	c := w.conns[id]
	w.mu.Unlock()
	if c != nil {
		c.hangup()
	}
}

// stop ends the loop.
func (w *watcher) stop() { _, _ = unix.Write(w.wake[1], []byte{0}) }

func (w *watcher) closeFiles() {
	unix.Close(w.epoll)
	unix.Close(w.wake[0])
	unix.Close(w.wake[1])
}

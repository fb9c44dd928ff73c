package proxy

import (
	"sync"
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// watcher detects callers that close their side while a request is processed.
// The HTTP server does not read during that time, and reading instead of it
// would consume pipelined bytes; epoll's EPOLLRDHUP consumes none. A
// connection is registered once, so that a request costs no system call.
type watcher struct {
	epoll int
	// wakePipe is written to in order to end the loop.
	wakePipe [2]int

	mu     sync.Mutex
	conns  map[uint64]*callerConn
	nextID uint64
}

const maxEpollEvents = 64

func newWatcher() (*watcher, error) {
	epoll, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, errors.Wrap(err, "proxy: create epoll instance for the connection watcher")
	}
	w := &watcher{epoll: epoll, conns: make(map[uint64]*callerConn)}
	if err := unix.Pipe2(w.wakePipe[:], unix.O_CLOEXEC|unix.O_NONBLOCK); err != nil {
		unix.Close(epoll)
		return nil, errors.Wrap(err, "proxy: create wake-up pipe for the connection watcher")
	}
	ev := unix.EpollEvent{Events: unix.EPOLLIN}
	if err := unix.EpollCtl(epoll, unix.EPOLL_CTL_ADD, w.wakePipe[0], &ev); err != nil {
		w.closeFiles()
		return nil, errors.Wrap(err, "proxy: register wake-up pipe of the connection watcher")
	}
	go w.run()
	return w, nil
}

// add registers a connection under a unique ID.
func (w *watcher) add(c *callerConn) {
	w.mu.Lock()
	w.nextID++
	c.id = w.nextID
	w.conns[c.id] = c
	w.mu.Unlock()
	w.epollCtl(c, unix.EPOLL_CTL_ADD)
}

// remove must be called before the connection is closed.
func (w *watcher) remove(c *callerConn) {
	w.mu.Lock()
	delete(w.conns, c.id)
	w.mu.Unlock()
	w.epollCtl(c, unix.EPOLL_CTL_DEL)
}

// epollCtl adds or removes a connection. Fd and Pad, the 64 bits of data in its
// events, hold its ID; the wake-up pipe has ID 0.
func (w *watcher) epollCtl(c *callerConn, op int) {
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
	events := make([]unix.EpollEvent, maxEpollEvents)
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
func (w *watcher) stop() { _, _ = unix.Write(w.wakePipe[1], []byte{0}) }

func (w *watcher) closeFiles() {
	unix.Close(w.epoll)
	unix.Close(w.wakePipe[0])
	unix.Close(w.wakePipe[1])
}

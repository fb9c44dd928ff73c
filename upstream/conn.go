package upstream

import (
	"bufio"
	"context"
	"crypto/tls"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutfield/chestnutfield/http1"
)

const writeBufferBytes = 4 << 10

// conn is one connection to a target. It belongs to one exchange at a time or
// is idle in its target's pool.
type conn struct {
	nc  net.Conn
	sys syscall.RawConn
	// responses reads the responses, br buffers what it passed on.
	responses *http1.Reader
	br        *bufio.Reader
	bw        *bufio.Writer
	target    *target
	idleSince time.Time
	reused    bool
	// resetOnWrite is true when a write found that the target had reset the
	// connection. The kernel reports a reset once: reads then find the end of the
	// stream.
	resetOnWrite atomic.Bool
	// surplus is true when the pool keeps the connection only while it has fewer than
	// maxSpareIdle.
	surplus bool
	// peer is true when the target is another host.
	peer bool
	// idleLimit is how long the target keeps the connection open while idle,
	// less keepAliveMargin; 0 when it did not say.
	idleLimit time.Duration
	// rawHeader is the header of the last response.
	rawHeader []byte
	// pollFds and peeked are fields so that isUsable allocates nothing.
	pollFds pollFds
	peeked  peekResult
	peekFn  func(fd uintptr)
}

func newConn(nc net.Conn, t *target, headerBytes int, observe func(*http1.Error)) *conn {
	cn := &conn{nc: nc, responses: http1.NewReader(nc, observe), target: t}
	cn.br = bufio.NewReaderSize(cn.responses, headerBytes)
	cn.bw = bufio.NewWriterSize(cn, writeBufferBytes)
	if sc, ok := nc.(syscall.Conn); ok {
		if sys, err := sc.SyscallConn(); err == nil {
			cn.sys = sys
		}
	}
	cn.peekFn = func(fd uintptr) { cn.peeked = peek(fd, &cn.pollFds) }
	return cn
}

// Write writes to the connection and notes whether the target had reset it. After
// an orderly end of the stream a write fails with EPIPE instead.
func (cn *conn) Write(p []byte) (int, error) {
	n, err := cn.nc.Write(p)
	if errors.Is(err, syscall.ECONNRESET) {
		cn.resetOnWrite.Store(true)
	}
	return n, err
}

// startTLS performs a TLS handshake on a new connection. isUsable still checks
// the socket below TLS, on which an idle peer sends no records.
func (cn *conn) startTLS(ctx context.Context, config *tls.Config, timeout time.Duration) error {
	config = config.Clone()
	if config.ServerName == "" {
		config.ServerName = cn.target.addr.Addr().String()
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	tlsConn := tls.Client(cn.nc, config)
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		return errors.Wrap(err, "TLS handshake with peer")
	}
	cn.nc = tlsConn
	cn.responses.SetSource(tlsConn)
	return nil
}

// isUsable reports whether the connection is open and has received nothing
// since its last response. After any byte or the end of the stream it can't
// be used for another request.
func (cn *conn) isUsable() bool {
	if cn.sys == nil || cn.br.Buffered() > 0 {
		return false
	}
	cn.peeked = peekFailed
	if err := cn.sys.Control(cn.peekFn); err != nil {
		return false
	}
	return cn.peeked == peekEmpty
}

// hasUnreadBytes reports whether bytes arrived on a connection that is not usable,
// other than the end of the stream. The connection can't be used afterwards.
func (cn *conn) hasUnreadBytes() bool {
	if err := cn.nc.SetReadDeadline(time.Now().Add(unreadWait)); err != nil {
		return false
	}
	_, err := cn.br.Peek(1)
	return err == nil || cn.responses.Err() != nil
}

// unreadWait bounds the reading of a byte that has already arrived.
const unreadWait = time.Millisecond

// discard closes the connection and stops counting it.
func (cn *conn) discard() {
	cn.nc.Close()
	cn.target.uncount()
}

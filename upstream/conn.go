package upstream

import (
	"bufio"
	"context"
	"crypto/tls"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const writeBufferBytes = 4 << 10

// conn is one connection to a target. It belongs to one exchange at a time or
// lies idle in its target.
type conn struct {
	nc        net.Conn
	sys       syscall.RawConn
	br        *bufio.Reader
	bw        *bufio.Writer
	target    *target
	idleSince time.Time
	reused    bool
	// keepFor is how long the target keeps the connection open without use, 0
	// when it did not say.
	keepFor time.Duration
	// raw holds the header of the last answer.
	raw []byte
	// poll and peeked serve live, so that a peek allocates nothing.
	poll   pollRoom
	peeked peekResult
	peekFn func(fd uintptr)
}

func newConn(nc net.Conn, t *target, headerBytes int) *conn {
	cn := &conn{
		nc:     nc,
		br:     bufio.NewReaderSize(nc, headerBytes),
		bw:     bufio.NewWriterSize(nc, writeBufferBytes),
		target: t,
	}
	if sc, ok := nc.(syscall.Conn); ok {
		if sys, err := sc.SyscallConn(); err == nil {
			cn.sys = sys
		}
	}
	cn.peekFn = func(fd uintptr) { cn.peeked = peek(fd, &cn.poll) }
	return cn
}

// secure makes a new connection one of TLS. The socket below is still the one
// that live looks at: it holds whole records, and an idle peer sends none.
func (cn *conn) secure(ctx context.Context, config *tls.Config, timeout time.Duration) error {
	config = config.Clone()
	if config.ServerName == "" {
		config.ServerName = cn.target.addr.Addr().String()
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	secured := tls.Client(cn.nc, config)
	if err := secured.HandshakeContext(ctx); err != nil {
		return errors.Wrap(err, "TLS with peer")
	}
	cn.nc = secured
	cn.br.Reset(secured)
	cn.bw.Reset(secured)
	return nil
}

// live says that a kept connection is open and that nothing has arrived on
// it. Any byte or the end of the stream makes it unfit for another request.
func (cn *conn) live() bool {
	if cn.sys == nil || cn.br.Buffered() > 0 {
		return false
	}
	cn.peeked = peekFailed
	if err := cn.sys.Control(cn.peekFn); err != nil {
		return false
	}
	return cn.peeked == peekEmpty
}

// discard closes the connection and gives its place back.
func (cn *conn) discard() {
	cn.nc.Close()
	cn.target.forget()
}

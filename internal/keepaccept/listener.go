// Package keepaccept lets servers outlive errors of accept that pass, such as a shortage
// of file descriptors: HTTP servers take most errors for permanent and end.
package keepaccept

import (
	"net"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"golang.org/x/time/rate"
)

// The wait after an accept that failed doubles from minDelay to maxDelay.
const (
	minDelay = 5 * time.Millisecond
	maxDelay = 100 * time.Millisecond
)

// logInterval is the time between two log lines.
const logInterval = time.Second

// listener is a listener whose Accept fails only when the listener is closed.
type listener struct {
	net.Listener
	name   string
	logger *zap.Logger
	log    rate.Sometimes
}

// Wrap returns a listener whose Accept repeats what failed until the listener is
// closed; its error then matches net.ErrClosed. name is the server's in the log.
func Wrap(ln net.Listener, name string, logger *zap.Logger) net.Listener {
	return &listener{Listener: ln, name: name, logger: logger, log: rate.Sometimes{Interval: logInterval}}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for delay := minDelay; ; delay = min(2*delay, maxDelay) {
		c, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return c, err
		}
		l.log.Do(func() {
			l.logger.Warn("accepting a connection failed; trying again", zap.String("server", l.name), zap.Error(err))
		})
		time.Sleep(delay)
	}
}

package news

import (
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/chestnutfield/chestnutfield/roster"
)

// goneAfter is the time without a question after which the reader takes a host
// for gone and removes its row: many times the longest cut or pause of a host
// that returns.
const goneAfter = 2 * time.Minute

// attendance is when hosts last asked the reader for news. It is pure.
type attendance struct {
	// since is when this host became the reader, zero while it is not.
	since time.Time
	asked map[netip.AddrPort]time.Time
}

// read notes whether this host is the reader now.
func (a *attendance) read(now time.Time, reader bool) {
	switch {
	case !reader:
		a.since = time.Time{}
	case a.since.IsZero():
		a.since, a.asked = now, map[netip.AddrPort]time.Time{}
	}
}

// ask notes a question of a host.
func (a *attendance) ask(now time.Time, from netip.AddrPort) {
	if !a.since.IsZero() {
		a.asked[from] = now
	}
}

// gone returns the hosts that asked nothing for goneAfter, while all of them
// should have asked this one.
func (a *attendance) gone(now time.Time, hosts []roster.Host, self string) (gone []roster.Host) {
	if a.since.IsZero() || now.Sub(a.since) < goneAfter {
		return nil
	}
	for _, h := range hosts {
		if h.Name != self && now.Sub(a.asked[h.Addr]) >= goneAfter {
			gone = append(gone, h)
		}
	}
	return gone
}

// strikeGone removes the rows of hosts that are gone, one at a time: a row less
// is a change that all hosts read.
func (f *Follower) strikeGone() {
	now := f.Clock.Now()
	f.mu.Lock()
	f.attendance.read(now, f.isReader())
	gone := f.attendance.gone(now, f.known, f.Roster.Self().Name)
	f.mu.Unlock()
	if len(gone) == 0 {
		return
	}
	err := f.Source.Strike(gone[0])
	f.Logger.Info("host is gone", zap.String("gone", gone[0].Name), zap.Stringer("address", gone[0].Addr),
		zap.Duration("silent", goneAfter), zap.Int("others", len(gone)-1), zap.Error(err))
}

package storesync

import (
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/chestnutfield/chestnutfield/roster"
)

// maxHostSilence is the time without a sync request after which the reader
// removes a host from the host list: many times the longest network cut or
// process pause of a host that comes back.
const maxHostSilence = 2 * time.Minute

// hostActivity tracks when each host last sent the reader a sync request. It
// does no I/O and reads no clock.
type hostActivity struct {
	// readerSince is when this host became the reader, zero while it is not.
	readerSince time.Time
	lastRequest map[netip.AddrPort]time.Time
}

// setReader records whether this host is the reader now.
func (a *hostActivity) setReader(now time.Time, reader bool) {
	switch {
	case !reader:
		a.readerSince = time.Time{}
	case a.readerSince.IsZero():
		a.readerSince, a.lastRequest = now, map[netip.AddrPort]time.Time{}
	}
}

// recordRequest records a sync request from a host.
func (a *hostActivity) recordRequest(now time.Time, from netip.AddrPort) {
	if !a.readerSince.IsZero() {
		a.lastRequest[from] = now
	}
}

// silentHosts returns the hosts that sent no sync request for maxHostSilence.
// It returns none until this host has been the reader for that long.
func (a *hostActivity) silentHosts(now time.Time, hosts []roster.Host, self string) (silent []roster.Host) {
	if a.readerSince.IsZero() || now.Sub(a.readerSince) < maxHostSilence {
		return nil
	}
	for _, h := range hosts {
		if h.Name != self && now.Sub(a.lastRequest[h.Addr]) >= maxHostSilence {
			silent = append(silent, h)
		}
	}
	return silent
}

// removeSilentHosts removes silent hosts from the host list, one per call: each
// removal makes all hosts read the list again. A failed removal is tried again
// after the next reading of the list.
func (f *Follower) removeSilentHosts() {
	now := f.Clock.Now()
	f.mu.Lock()
	f.activity.setReader(now, f.isReader())
	silent := f.activity.silentHosts(now, f.knownHosts, f.Roster.Self().Name)
	f.mu.Unlock()
	if len(silent) == 0 {
		return
	}
	err := f.Source.RemoveHost(silent[0])
	f.Logger.Info("removing host that sent no sync request for too long", zap.String("gone", silent[0].Name), zap.Stringer("address", silent[0].Addr),
		zap.Duration("silent", maxHostSilence), zap.Int("others", len(silent)-1), zap.Error(err))
}

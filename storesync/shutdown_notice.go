package storesync

import (
	"time"

	"go.uber.org/zap"

	"github.com/chestnutfield/chestnutfield/hostmsg"
)

// kindShutdownNotice is the message kind of a shutdownNotice.
const kindShutdownNotice hostmsg.Kind = 21

// shutdownNotice tells other hosts to give the sender no tasks for a number of
// milliseconds.
type shutdownNotice struct {
	_      struct{} `cbor:",toarray"`
	Name   string
	Millis int64
}

// maxShutdownNotice caps the duration in a received notice.
const maxShutdownNotice = time.Minute

// AnnounceShutdown tells the other hosts that this one is leaving and takes no
// new tasks for a duration; tasks in progress continue. A host that misses
// the message finds out by one request that times out.
func (f *Follower) AnnounceShutdown(d time.Duration) {
	f.Roster.MarkLeaving(f.Roster.Self().Name, f.Clock.Now().Add(d))
	for _, h := range f.Roster.Others() {
		if err := f.Node.Notify(h.Addr, kindShutdownNotice, shutdownNotice{Name: f.Roster.Self().Name, Millis: d.Milliseconds()}); err != nil {
			f.Logger.Debug("shutdown notice not sent; the other host notices when requests time out", zap.String("to", h.Name), zap.Error(err))
		}
	}
}

func (f *Follower) handleShutdownNotice(m hostmsg.Message) {
	var notice shutdownNotice
	if err := m.Decode(&notice); err != nil {
		f.Logger.Debug("malformed shutdown notice dropped", zap.Stringer("from", m.From), zap.Error(err))
		return
	}
	f.Logger.Info("host is leaving; it gets no tasks for now", zap.String("stopping", notice.Name))
	f.Roster.MarkLeaving(notice.Name, f.Clock.Now().Add(min(hostmsg.Milliseconds(notice.Millis), maxShutdownNotice)))
}

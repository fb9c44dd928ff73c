package news

import (
	"time"

	"go.uber.org/zap"

	"github.com/chestnutfield/chestnutfield/mesh"
)

// kindFarewell is the news that a host stops.
const kindFarewell mesh.Kind = 21

// farewell says that the host that sends it takes no tasks for a time, in
// milliseconds.
type farewell struct {
	_    struct{} `cbor:",toarray"`
	Name string
	For  int64
}

// longestFarewell bounds what another host may say.
const longestFarewell = time.Minute

// Farewell tells the others that this host stops and takes no tasks for them
// for a time; tasks that are under way go on. News that is lost costs the
// others a question without an answer.
func (f *Follower) Farewell(d time.Duration) {
	f.Roster.Leave(f.Roster.Self().Name, f.Clock.Now().Add(d))
	for _, h := range f.Roster.Others() {
		if err := f.Node.Tell(h.Addr, kindFarewell, farewell{Name: f.Roster.Self().Name, For: d.Milliseconds()}); err != nil {
			f.Logger.Debug("farewell not told", zap.String("to", h.Name), zap.Error(err))
		}
	}
}

func (f *Follower) hearFarewell(m mesh.Message) {
	var news farewell
	if err := m.Decode(&news); err != nil {
		f.Logger.Debug("farewell is malformed", zap.Stringer("from", m.From), zap.Error(err))
		return
	}
	f.Logger.Info("host stops", zap.String("stopping", news.Name))
	f.Roster.Leave(news.Name, f.Clock.Now().Add(min(mesh.Millis(news.For), longestFarewell)))
}

package platformd

import (
	"bytes"
	"encoding/json"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/samber/lo"
	"github.com/valyala/fasthttp"

	"github.com/chestnutfield/chestnutfield/cloud"
)

// hostList makes each change of the list visible after a lag.
type hostList struct {
	clock clockwork.Clock

	mu      sync.Mutex
	visible []cloud.ListedHost
	pending []listChange
}

type listChange struct {
	visibleAt time.Time
	hosts     []cloud.ListedHost
}

func newHostList(clock clockwork.Clock) *hostList {
	return &hostList{clock: clock, visible: []cloud.ListedHost{}}
}

func (l *hostList) set(hosts []cloud.ListedHost, lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = append(l.pending, listChange{visibleAt: l.clock.Now().Add(lag), hosts: hosts})
}

func (l *hostList) list(service string) []cloud.ListedHost {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.pending) > 0 && !now.Before(l.pending[0].visibleAt) {
		l.visible = l.pending[0].hosts
		l.pending = l.pending[1:]
	}
	return lo.Filter(l.visible, func(h cloud.ListedHost, _ int) bool {
		return service == "" || h.Service == service
	})
}

// SetHosts replaces the host list. The change becomes visible after
// Faults.ListLag.
func (s *Server) SetHosts(hosts []cloud.ListedHost) {
	s.hosts.set(hosts, time.Duration(s.Faults().ListLag))
}

// handleHostList serves GET /hostlist?service=NAME and PUT /hostlist.
func (s *Server) handleHostList(ctx *fasthttp.RequestCtx) {
	if ctx.IsPut() {
		var hosts []cloud.ListedHost
		if err := decodeStrict(ctx.PostBody(), &hosts); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
		s.SetHosts(hosts)
		ctx.SetStatusCode(fasthttp.StatusNoContent)
		return
	}
	s.stats.add(access{operation: "ListHosts"})
	writeJSON(ctx, s.hosts.list(string(ctx.QueryArgs().Peek("service"))))
}

// decodeStrict decodes JSON and rejects unknown fields.
func decodeStrict(body []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	return errors.Wrap(d.Decode(v), "JSON body")
}

package placement

import (
	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/table"
)

// ExtensionInUse reports whether requests of a deployment with these tables may
// have a workspace, home regions or an upload. Only then hosts tell coordinators
// more of a request than older builds can decode, and orders are held back from
// targets that are too slow for them.
func ExtensionInUse(t *table.Tables) bool {
	return t.Workspaces != nil || lo.SomeBy(lo.Values(t.Routes), func(r table.Route) bool { return r.Upload || len(r.Regions) > 0 })
}

// Extended reports whether the tables of a pool use the extension.
func (b *Balancer) Extended(pool string) bool {
	ps := (*b.pools.Load())[pool]
	return len(ps) > 0 && ps[0].extended.Load()
}

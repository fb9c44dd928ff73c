package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/platform/fakestore"
)

const (
	// workspaceCount is the number of workspaces. The first is hot and gets hotShare of
	// the requests; the last has no quota and sends what checks the deployment.
	workspaceCount = 30
	hotShare       = 0.5
	// quotaPerSecond and quotaBurst are the quota of a workspace.
	quotaPerSecond = 6
	quotaBurst     = 6
	// Of the requests, unknownKeyShare have an unknown key or none, withdrawnKeyShare
	// one that was withdrawn lately and changingKeyShare one that may be withdrawn.
	unknownKeyShare   = 0.03
	withdrawnKeyShare = 0.1
	changingKeyShare  = 0.2
	// recentlyWithdrawn is the number of withdrawn keys that callers go on using.
	recentlyWithdrawn = 4
	// keyPropagation is the time after which a change of keys is in force.
	keyPropagation = 2500 * time.Millisecond
)

// workspace is a workspace with a key that stays and one that changes.
type workspace struct {
	name          string
	perSecond     float64
	stay, changes string
}

// issuedKey is what the operator did with a key.
type issuedKey struct {
	workspace string
	// stays is true if the key is in every configuration.
	stays bool
	// addedAt and withdrawnAt are when the store had accepted the change,
	// withdrawnFrom is when the operator wrote the withdrawal. Zero: not yet.
	addedAt, withdrawnFrom, withdrawnAt time.Time
}

// hasNewParts reports whether the run has cold upstreams, workspaces and evacuations.
func (d *Deployment) hasNewParts() bool { return d.seed >= newPartsSince }

// createWorkspaces creates the workspaces and their first keys.
func (d *Deployment) createWorkspaces() {
	if !d.hasNewParts() {
		return
	}
	d.keys = map[string]*issuedKey{}
	for i := range workspaceCount {
		w := &workspace{name: fmt.Sprintf("w%d-%d", d.seed, i), perSecond: lo.Ternary(i < workspaceCount-1, float64(quotaPerSecond), 0)}
		w.stay = "stay-" + w.name
		d.keys[w.stay] = &issuedKey{workspace: w.name, stays: true, addedAt: time.Now()}
		d.workspaces = append(d.workspaces, w)
		d.issueKey(w)
	}
}

// issueKey gives a workspace another key that changes. The caller holds the mutex.
func (d *Deployment) issueKey(w *workspace) {
	w.changes = fmt.Sprintf("changes-%d-%s", len(d.keys), w.name)
	d.keys[w.changes] = &issuedKey{workspace: w.name}
}

// tenants returns the workspaces as the operator writes them, nil for none. The
// caller holds the mutex.
func (d *Deployment) tenants() []fakestore.Tenant {
	if len(d.workspaces) == 0 {
		return nil
	}
	return lo.Map(d.workspaces, func(w *workspace, _ int) fakestore.Tenant {
		t := fakestore.Tenant{Name: w.name, Keys: []string{w.stay, w.changes}}
		if w.perSecond > 0 {
			t.PerSecond, t.Burst = w.perSecond, quotaBurst
		}
		return t
	})
}

// recordKeys records the keys that were added by a configuration that the store has
// accepted. The caller holds the mutex.
func (d *Deployment) recordKeys() {
	for _, k := range d.keys {
		if k.addedAt.IsZero() {
			k.addedAt = time.Now()
		}
	}
}

// withdrawKey withdraws a key of a workspace and issues another.
func (d *Deployment) withdrawKey(selector int) {
	d.mu.Lock()
	w := d.workspaces[selector%(workspaceCount-1)]
	old := w.changes
	d.keys[old].withdrawnFrom = time.Now()
	d.issueKey(w)
	d.mu.Unlock()
	d.writeConfiguration()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.keys[old].withdrawnAt = time.Now()
	d.withdrawn = append(d.withdrawn, old)
}

// withdrawKeyAtCut withdraws keys while hosts are cut off from the upstreams or, with
// an odd selector, half of them from the store.
func (d *Deployment) withdrawKeyAtCut(e Event) {
	const before = 500 * time.Millisecond
	time.AfterFunc(before, func() { d.withdrawKey(e.Selector) })
	if e.Selector%2 == 0 {
		d.cutHosts(e)
		return
	}
	from := time.Now()
	cut := lo.Filter(d.hosts, func(_ *host, i int) bool { return (e.Selector+i)%4 < 2 })
	for _, h := range cut {
		h.storeRelay.SetMode(ModeStall)
	}
	time.Sleep(bounds.settleTime + e.Duration)
	for _, h := range cut {
		h.storeRelay.SetMode(ModeForward)
		d.recordImpact(Impact{Kind: e.Kind, Host: h.name, From: from, To: time.Now()})
	}
}

// chooseKey chooses the key of a caller's request.
func (d *Deployment) chooseKey() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.workspaces) == 0 {
		return ""
	}
	w := d.workspaces[0]
	if rand.Float64() >= hotShare {
		w = d.workspaces[1+rand.IntN(workspaceCount-2)]
	}
	draw := rand.Float64()
	switch {
	case draw < unknownKeyShare/2:
		return ""
	case draw < unknownKeyShare:
		return "unknown-" + w.name
	case draw < unknownKeyShare+withdrawnKeyShare && len(d.withdrawn) > 0:
		return d.withdrawn[max(0, len(d.withdrawn)-1-rand.IntN(recentlyWithdrawn))]
	case draw < unknownKeyShare+withdrawnKeyShare+changingKeyShare:
		return w.changes
	default:
		return w.stay
	}
}

// checkKey returns the key of requests that check the deployment: that of the
// workspace without a quota.
func (d *Deployment) checkKey() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.workspaces) == 0 {
		return ""
	}
	return d.workspaces[workspaceCount-1].stay
}

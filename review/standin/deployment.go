//go:build review

package standin

import (
	"fmt"
	"os"
	"time"

	"github.com/chestnutfield/chestnutfield/platform/fakestore"
)

// Deployment is a small deployment: a store, targets and gateway processes.
type Deployment struct {
	Store    *fakestore.Server
	Record   *Record
	Gateways []*Gateway
	Dir      string
	// Descriptors is the maxFds of the machines, 0 for that of this machine.
	Descriptors int

	targets []*Target
}

// zones are the zones of a deployment.
var zones = []string{"a", "b", "c"}

// NewDeployment creates a deployment without targets and processes. The record goes to
// the folder of the case.
func NewDeployment(caseDir string) (*Deployment, error) {
	record, err := NewRecord(caseDir)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	return &Deployment{Store: fakestore.New(), Record: record, Dir: dir}, err
}

// AddTarget starts a target that is born now, at a free address.
func (d *Deployment) AddTarget(id, service string, work time.Duration) (*Target, error) {
	return d.AddTargetAt(id, service, FreeAddress(), time.Now().UnixMilli(), work)
}

// AddTargetAt starts a target at an address; born is its start by its own clock.
func (d *Deployment) AddTargetAt(id, service, address string, born int64, work time.Duration) (*Target, error) {
	t, err := StartTarget(id, service, zones[len(d.targets)%len(zones)], address, born, work, d.Store, d.Record)
	if err == nil {
		d.targets = append(d.targets, t)
	}
	return t, err
}

// StartGateways starts gateways for the first time and waits until they are ready.
func (d *Deployment) StartGateways(n int) error {
	for i := range n {
		g := NewGateway(fmt.Sprint("edge-", i+1), zones[i%len(zones)], d.Dir, d.Store.Addr().String())
		g.Descriptors = d.Descriptors
		d.Gateways = append(d.Gateways, g)
		if err := g.Start(true); err != nil {
			return err
		}
	}
	const maxStart = 15 * time.Second
	for _, g := range d.Gateways {
		if err := g.AwaitReady(maxStart); err != nil {
			return err
		}
	}
	// A machine is in touch contactS after its start.
	time.Sleep(3 * time.Second)
	return nil
}

// Close ends everything that the deployment started.
func (d *Deployment) Close() {
	for _, g := range d.Gateways {
		g.Kill()
	}
	for _, t := range d.targets {
		t.End(false)
	}
	d.Store.Close()
	_ = os.RemoveAll(d.Dir)
}

// Route returns a route of RouteHost.
func Route(name, prefix, service string, idempotent bool, timeout, objective time.Duration) fakestore.Route {
	const maxTargets = 3
	return fakestore.Route{
		Name: name, Host: RouteHost, Prefix: prefix, Service: service, Idempotent: idempotent,
		TimeoutSeconds: timeout.Seconds(), ObjectiveSeconds: objective.Seconds(), Targets: maxTargets,
	}
}

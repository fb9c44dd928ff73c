package fake

import (
	"context"
	"sync"

	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/cloud"
)

// HostList is an in-memory cloud.HostList. List returns the entries of the last
// call to Set, so that the test decides how far the list lags.
type HostList struct {
	Faults

	hostsMu sync.Mutex
	hosts   []cloud.ListedHost
}

var _ cloud.HostList = (*HostList)(nil)

// NewHostList returns an empty list.
func NewHostList() *HostList { return &HostList{} }

// Set replaces the whole list.
func (l *HostList) Set(hosts ...cloud.ListedHost) {
	l.hostsMu.Lock()
	defer l.hostsMu.Unlock()
	l.hosts = append([]cloud.ListedHost(nil), hosts...)
}

// List implements cloud.HostList.
func (l *HostList) List(ctx context.Context, service string) (hosts []cloud.ListedHost, err error) {
	err = l.read(ctx, func() {
		l.hostsMu.Lock()
		defer l.hostsMu.Unlock()
		hosts = lo.Filter(l.hosts, func(h cloud.ListedHost, _ int) bool {
			return service == "" || h.Service == service
		})
	})
	return hosts, err
}

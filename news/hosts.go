package news

import (
	"context"
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/chestnutfield/chestnutfield/roster"
)

// followHosts makes this host known and keeps the others until the context
// ends. The reader looks for new hosts now and then; the others hear from it
// that there are some.
func (f *Follower) followHosts(ctx context.Context) {
	d := f.dependency("hosts")
	announced := false
	for ctx.Err() == nil {
		var err error
		if !announced {
			err = f.Source.Announce(f.Roster.Self())
			announced = err == nil
			f.greet()
			// The others of a deployment that starts announce themselves too.
			f.sleep(ctx, meetAfter, nil)
		}
		var hosts []roster.Host
		if err == nil {
			hosts, err = f.Source.Hosts()
		}
		pause := d.read(f.Clock.Now(), err)
		if err != nil {
			if d.idle() {
				pause = retryIdle
			}
			f.sleep(ctx, pause, nil)
			continue
		}
		f.takeHosts(hosts)
		f.meet.Do(func() { close(f.met) })
		// A row that was written under an earlier address of this host.
		announced = slices.Contains(hosts, f.Roster.Self())
		f.awaitHosts(ctx)
	}
}

// greet takes the hosts that have announced themselves before: after a loss of
// all hosts those are the ones that start again.
func (f *Follower) greet() {
	hosts, err := f.Source.Hosts()
	if err != nil {
		f.Logger.Info("hosts not read at the start", zap.Error(err))
		return
	}
	f.takeHosts(hosts)
}

const (
	// meetAfter is the time from the announcement of a host to its first look
	// at the others: hosts that start together do so within 0.3 s.
	meetAfter = 400 * time.Millisecond
	// meetLongest is how long a host waits for the others before it reads the
	// store itself.
	meetLongest = time.Second
)

// awaitMeeting returns when the other hosts are known, or may not be soon.
func (f *Follower) awaitMeeting(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-f.met:
	case <-f.Clock.After(f.started.Add(meetLongest).Sub(f.Clock.Now())):
	}
}

// awaitHosts returns when the hosts should be read again.
func (f *Follower) awaitHosts(ctx context.Context) {
	for ctx.Err() == nil {
		if f.isReader() {
			f.sleep(ctx, hostsEvery, nil)
			return
		}
		select {
		case <-ctx.Done():
		case <-f.rehost:
			return
		case <-f.Clock.After(hostsEvery):
		}
	}
}

func (f *Follower) takeHosts(hosts []roster.Host) {
	f.mu.Lock()
	f.hosts = hashOf(hosts)
	f.mu.Unlock()
	if f.Roster.Set(hosts) {
		f.Logger.Info("hosts known", zap.Int("hosts", f.Roster.Count()))
	}
}

// hashOf is a hash over hosts, whatever their order.
func hashOf(hosts []roster.Host) uint64 {
	sorted := slices.SortedFunc(slices.Values(hosts), func(a, b roster.Host) int { return strings.Compare(a.Name, b.Name) })
	var d xxhash.Digest
	d.Reset()
	for _, h := range sorted {
		_, _ = d.WriteString(h.Name)
		addr := h.Addr.Addr().As16()
		_, _ = d.Write(binary.BigEndian.AppendUint16(addr[:], h.Addr.Port()))
	}
	return d.Sum64()
}

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
	for ctx.Err() == nil {
		err := f.meetHosts(ctx)
		f.list.Do(func() { close(f.listed) })
		if pause := d.read(f.Clock.Now(), err); err != nil {
			if f.Roster.Count() > 1 {
				// The others are known; the register shows when the store is back.
				pause = hostsEvery
			}
			f.sleep(ctx, pause, nil)
			continue
		}
		f.meet.Do(func() { close(f.met) })
		f.strikeGone()
		f.awaitHosts(ctx)
	}
}

// meetHosts reads the hosts, and makes this one known when it is not among
// them under its present address.
func (f *Follower) meetHosts(ctx context.Context) error {
	if !f.FirstStart || f.hasAnnounced() {
		hosts, err := f.Source.Hosts()
		if err != nil {
			return err
		}
		// After a loss of all hosts those are the ones that start again.
		f.takeHosts(hosts)
		if slices.Contains(hosts, f.Roster.Self()) {
			return nil
		}
		f.list.Do(func() { close(f.listed) })
	}
	if err := f.Source.Announce(f.Roster.Self()); err != nil {
		return err
	}
	f.mu.Lock()
	f.announced = f.Clock.Now()
	f.mu.Unlock()
	// The others of a deployment that starts announce themselves too.
	f.sleep(ctx, meetAfter, nil)
	hosts, err := f.Source.Hosts()
	if err != nil {
		return err
	}
	f.takeHosts(hosts)
	return nil
}

func (f *Follower) hasAnnounced() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.announced.IsZero()
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
			if !f.fetch(f.readerHost()) || f.struckOff() {
				return
			}
		case <-f.Clock.After(hostsEvery):
		}
	}
}

// struckOff says that this host has announced itself a while ago and is not
// among the hosts: it was taken for gone.
func (f *Follower) struckOff() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !slices.Contains(f.known, f.Roster.Self()) && f.Clock.Now().Sub(f.announced) > 2*hostsEvery
}

func (f *Follower) takeHosts(hosts []roster.Host) {
	f.mu.Lock()
	f.known, f.hosts = hosts, hashOf(hosts)
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

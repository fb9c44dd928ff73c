package storesync

import (
	"math"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/chestnutfield/chestnutfield/hostmsg"
	"github.com/chestnutfield/chestnutfield/roster"
	"github.com/chestnutfield/chestnutfield/table"
)

// kindEvacuations is the message kind of an evacuationNotice. Hosts of older versions
// ignore it.
const kindEvacuations hostmsg.Kind = 22

// evacuationNotice tells another host what the sender knows of evacuations. The
// reader sends it after each response to a sync request, and a follower that gets
// none sends it to its reader, which may have started after the evacuation. Ages are
// in milliseconds.
type evacuationNotice struct {
	_ struct{} `cbor:",toarray"`
	// Version and Domains are the latest set of the store, Age the time since the
	// store held it, EraAge the time since a host first read its era.
	Version     uint64
	Domains     []string
	Age, EraAge int64
	// BeforeVersion and Before are the set from before a restore, while it is in
	// force; BeforeVersion is 0 otherwise.
	BeforeVersion uint64
	Before        []string
	// Omitted is true when the failure domains don't fit a message. The receiver
	// then reads the store itself.
	Omitted bool
}

// noticeSilence is the time without a notice after which a follower sends the reader
// its own: a few sync requests, as messages may be lost.
const noticeSilence = 3 * syncInterval

// The sources of sets, as logs and metrics name them.
const (
	fromStore    = "store"
	fromHost     = "host"
	fromSnapshot = "snapshot"
	fromGraceEnd = "grace-end"
)

// evacuationMetrics shows the evacuations in force and where they are learned.
type evacuationMetrics struct {
	inForce *prometheus.GaugeVec
	sets    *prometheus.CounterVec
}

func newEvacuationMetrics() evacuationMetrics {
	return evacuationMetrics{
		inForce: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "chestnut_failure_domain_evacuated",
			Help: "1 while the targets of the failure domain get no requests because the operator evacuated it.",
		}, []string{"failure_domain"}),
		sets: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chestnut_evacuation_updates_total",
			Help: "Sets of evacuated failure domains that this host got, by source and whether they were older than the known one.",
		}, []string{"source", "result"}),
	}
}

// evacuationAge returns a metric with the age of what this host knows of
// evacuations.
func (f *Follower) evacuationAge() prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "chestnut_evacuation_age_seconds",
		Help: "Time since the store was last known to hold the evacuations that this host knows; 0 while the deployment never had one.",
	}, func() float64 {
		f.mu.Lock()
		defer f.mu.Unlock()
		if !f.evacuations.used {
			return 0
		}
		return f.Clock.Now().Sub(f.evacuations.confirmedAt).Seconds()
	})
}

// applyEvacuations puts in force what a reading of the store says about evacuations.
// The caller holds f.mu.
func (f *Follower) applyEvacuations(r TablesReading) {
	now := f.Clock.Now()
	f.countWord(fromStore, f.evacuations.read(now, uint64(r.Cursor), r.Evacuations))
	f.enforceEvacuations(now, fromStore, "")
}

// learnFromSnapshot learns the evacuations in the tables of a snapshot. The caller
// holds f.mu.
func (f *Follower) learnFromSnapshot(now, confirmedAt time.Time, t *table.Tables) {
	if t.EvacuatedVersion == 0 {
		return
	}
	w := newEvacuationSet(t.EvacuatedVersion, t.Evacuated)
	f.countWord(fromSnapshot, f.evacuations.learn(now, confirmedAt, now, w))
	f.enforceEvacuations(now, fromSnapshot, "")
}

func (f *Follower) countWord(source string, known bool) {
	f.evacuationMetrics.sets.WithLabelValues(source, lo.Ternary(known, "current", "older")).Inc()
}

// enforceEvacuations puts the evacuations that hold at now in force if they are not,
// in tables of the same version. The caller holds f.mu.
func (f *Follower) enforceEvacuations(now time.Time, source, host string) {
	set, before := f.evacuations.inForce(now), f.Current()
	after := before.WithEvacuated(set.domains, set.version)
	if slices.Equal(before.Evacuated, after.Evacuated) && Era(before.EvacuatedVersion) == Era(after.EvacuatedVersion) {
		return
	}
	if f.targets != nil {
		f.OnChange(f.targets, after)
	}
	f.tables.Store(after)
	f.showEvacuations(now, before, after, source, host)
}

// showEvacuations logs a change of the evacuations in force and sets the metric.
func (f *Follower) showEvacuations(now time.Time, before, after *table.Tables, source, host string) {
	withdrawn, added := lo.Difference(before.Evacuated, after.Evacuated)
	for _, d := range withdrawn {
		f.evacuationMetrics.inForce.DeleteLabelValues(d)
	}
	for _, d := range added {
		f.evacuationMetrics.inForce.WithLabelValues(d).Set(1)
	}
	fields := []zap.Field{
		zap.Strings("evacuated", after.Evacuated), zap.Strings("added", added), zap.Strings("withdrawn", withdrawn),
		zap.Uint64("era", Era(after.EvacuatedVersion)), zap.Uint64("number", Number(after.EvacuatedVersion)),
		zap.Duration("age", now.Sub(f.evacuations.confirmedAt)), zap.String("source", source), zap.String("host", host),
	}
	if len(added) > 0 {
		f.Logger.Info("failure domains are evacuated; their targets get no more requests", fields...)
	}
	if len(withdrawn) > 0 {
		f.Logger.Info("evacuation of failure domains was withdrawn; their targets get requests again", fields...)
	}
}

// evacuationNotice returns what this host knows; ok is false while the deployment is
// not known to have had an evacuation. The caller holds f.mu.
func (f *Follower) evacuationNotice() (n evacuationNotice, ok bool) {
	now, e := f.Clock.Now(), &f.evacuations
	if !e.used || e.latest.version == 0 {
		return evacuationNotice{}, false
	}
	n = evacuationNotice{Version: e.latest.version, Domains: e.latest.domains, Age: age(now, e.confirmedAt), EraAge: age(now, e.eraReadAt)}
	if e.inGrace(now) {
		n.BeforeVersion, n.Before = e.before.version, e.before.domains
	}
	return n, true
}

// tellEvacuations sends a host what this one knows of evacuations.
func (f *Follower) tellEvacuations(to roster.Host) {
	f.mu.Lock()
	n, ok := f.evacuationNotice()
	f.mu.Unlock()
	if !ok {
		return
	}
	err := f.Node.Notify(to.Addr, kindEvacuations, n)
	if errors.Is(err, hostmsg.ErrTooLarge) {
		err = f.Node.Notify(to.Addr, kindEvacuations, evacuationNotice{Version: n.Version, Omitted: true})
	}
	if err != nil {
		f.Logger.Debug("evacuations not told to another host; it reads the store when it hears nothing for too long", zap.Stringer("to", to.Addr), zap.Error(err))
	}
}

// tellSilentReader sends the reader what this host knows of evacuations if no host
// has sent a notice lately: the reader may know of none.
func (f *Follower) tellSilentReader(reader roster.Host) {
	f.mu.Lock()
	silent := f.Clock.Now().Sub(f.noticeAt) > noticeSilence
	f.mu.Unlock()
	if silent {
		f.tellEvacuations(reader)
	}
}

// askForEvacuations asks a random host for evacuations, at most once a syncInterval.
// It is called while this host can't read the store: a reader follows nobody, and the
// readers of a follower may be cut off from the store as well. The question is a sync
// request that asks for no changes, whose response is ignored; a host that knows of an
// evacuation sends a notice after it.
func (f *Follower) askForEvacuations() {
	now, others := f.Clock.Now(), f.Roster.Others()
	f.mu.Lock()
	due := now.Sub(f.askedAt) >= syncInterval && len(others) > 0
	if due {
		f.askedAt = now
	}
	f.mu.Unlock()
	if !due {
		return
	}
	request, err := f.Node.Request(lo.Sample(others).Addr, kindSync, syncRequest{RegistryVersion: math.MaxUint64})
	if err != nil {
		f.Logger.Debug("host could not be asked for evacuations; another one is asked soon", zap.Error(err))
		return
	}
	request.Close()
}

func (f *Follower) handleEvacuations(m hostmsg.Message) {
	var n evacuationNotice
	if err := m.Decode(&n); err != nil {
		f.Logger.Debug("malformed evacuation notice dropped", zap.Stringer("from", m.From), zap.Error(err))
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.applyNotice(n, m.From.String())
}

// applyNotice applies a notice of another host. The caller holds f.mu.
func (f *Follower) applyNotice(n evacuationNotice, host string) {
	now, e := f.Clock.Now(), &f.evacuations
	f.noticeAt, e.used = now, true
	if n.Omitted {
		return
	}
	confirmedAt, eraReadAt := now.Add(-hostmsg.Milliseconds(n.Age)), now.Add(-hostmsg.Milliseconds(n.EraAge))
	latest := newEvacuationSet(n.Version, n.Domains)
	f.countWord(fromHost, e.learn(now, confirmedAt, eraReadAt, latest))
	e.learnPrevious(newEvacuationSet(n.BeforeVersion, n.Before))
	e.learnPrevious(latest)
	f.enforceEvacuations(now, fromHost, host)
}

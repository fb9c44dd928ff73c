package faults

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
)

// TestMain makes fasthttp start its goroutine for the Date header here. It never
// ends, so that a synctest bubble in which it was started could not end either.
func TestMain(m *testing.M) {
	_ = (&fasthttp.ResponseHeader{}).Header()
	m.Run()
}

// fault is the name of an injected fault.
type fault string

const (
	targetSlow      fault = "target slow x10"
	targetDrains    fault = "target drains unannounced"
	targetFailsFast fault = "target fails fast"
	targetSilent    fault = "target accepts and never answers"
	reportFrozen    fault = "load report frozen"
	reportIdle      fault = "load report says idle"
	storeDown       fault = "store down"
	storeSlow       fault = "store slow"
	ackLost         fault = "acknowledgement lost"
	leaseLapsed     fault = "lease lapsed in a paused host"
	entryKilled     fault = "entry host killed"
	ownerKilled     fault = "owner of a group killed"
	peersCut        fault = "peers unreachable"
	listStale       fault = "host list stale by 30 s"
	operatorsRace   fault = "two operators racing"
	batchFlood      fault = "batch flood"
	callerFlood     fault = "caller flood"
)

var allFaults = []fault{
	targetSlow, targetDrains, targetFailsFast, targetSilent, reportFrozen, reportIdle, storeDown, storeSlow, ackLost,
	leaseLapsed, entryKilled, ownerKilled, peersCut, listStale, operatorsRace, batchFlood, callerFlood,
}

// testbed runs the cases of the faults that apply to it.
type testbed struct {
	name   string
	faults []fault
	run    func(t *testing.T, c faultCase)
}

var testbeds = []testbed{
	{"request", []fault{
		targetSlow, targetDrains, targetFailsFast, targetSilent, reportFrozen, reportIdle, storeDown, storeSlow, ackLost,
		entryKilled, ownerKilled, peersCut, listStale, batchFlood, callerFlood,
	}, runRequests},
	{"hosts", []fault{
		targetDrains, targetSilent, storeDown, storeSlow, ackLost, leaseLapsed, entryKilled, peersCut, operatorsRace,
	}, runCluster},
}

// excluded gives the reason why a fault is not combined with the faults that
// share no testbed with it.
var excluded = map[fault]string{
	leaseLapsed:   "a lease covers probes alone; load, floods, owners and the host list don't enter into it",
	operatorsRace: "tables change through the table service and peers alone",
}

// faultCase is one or two faults and the seed of the random numbers.
type faultCase struct {
	faults []fault
	seed   uint64
}

func (c faultCase) has(f ...fault) bool {
	return slices.ContainsFunc(f, func(f fault) bool { return slices.Contains(c.faults, f) })
}

func (c faultCase) name() string {
	names := make([]string, len(c.faults))
	for i, f := range c.faults {
		names[i] = string(f)
	}
	return strings.Join(names, " + ")
}

// cases returns each fault of a testbed alone and each pair of them.
func (b testbed) cases() (cs []faultCase) {
	for i, f := range b.faults {
		cs = append(cs, faultCase{[]fault{f}, uint64(i + 1)})
		for j := i + 1; j < len(b.faults); j++ {
			cs = append(cs, faultCase{[]fault{f, b.faults[j]}, uint64((i+1)*100 + j)})
		}
	}
	return cs
}

// TestFaults runs every case. A failure message contains the faults and the seed.
func TestFaults(t *testing.T) {
	for _, b := range testbeds {
		t.Run(b.name, func(t *testing.T) {
			for _, c := range b.cases() {
				t.Run(fmt.Sprintf("%s, seed %d", c.name(), c.seed), func(t *testing.T) { b.run(t, c) })
			}
		})
	}
}

// TestEveryPairIsCoveredOrExcluded checks that each pair of faults shares a
// testbed or is excluded for a reason.
func TestEveryPairIsCoveredOrExcluded(t *testing.T) {
	for i, f := range allFaults {
		for _, g := range allFaults[i+1:] {
			shared := slices.ContainsFunc(testbeds, func(b testbed) bool {
				return slices.Contains(b.faults, f) && slices.Contains(b.faults, g)
			})
			if !shared && excluded[f] == "" && excluded[g] == "" {
				t.Errorf("%s + %s has neither a case nor a reason", f, g)
			}
		}
	}
}

package ledger

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnutfield/chestnutfield/cloud"
	"github.com/chestnutfield/chestnutfield/cloud/fake"
	"github.com/chestnutfield/chestnutfield/lb"
	"github.com/chestnutfield/chestnutfield/outcome"
)

var order = lb.OrderKey{Caller: "ministry", Key: "k1", Fingerprint: 7}

// deployment is a number of hosts that share one table, in the fake time of a
// synctest bubble.
type deployment struct {
	table *fake.Table
	hosts []*Ledger
	kill  []context.CancelFunc
}

func deploy(t *testing.T, hosts int, test func(g *WithT, d *deployment)) {
	synctest.Test(t, func(t *testing.T) {
		d := &deployment{table: fake.NewTable()}
		var runs sync.WaitGroup
		for i := range hosts {
			l, err := New(Options{Table: d.table, Host: fmt.Sprintf("entry-%d", i)})
			if err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithCancel(t.Context())
			d.hosts, d.kill = append(d.hosts, l), append(d.kill, cancel)
			runs.Go(func() { _ = l.Run(ctx) })
		}
		test(NewWithT(t), d)
		for _, cancel := range d.kill {
			cancel()
		}
		runs.Wait()
	})
}

func (d *deployment) claim(host int) lb.Claim {
	return d.hosts[host].Claim(context.Background(), order)
}

func (d *deployment) recordOutcome(host int, c lb.Claim, o outcome.Outcome, response *lb.RecordedResponse) {
	d.hosts[host].RecordOutcome(context.Background(), order, c.Token, o, response)
}

func (d *deployment) row(g *WithT) (record, bool) {
	row, ok, err := d.table.Get(context.Background(), idOf(order).rowKey())
	g.Expect(err).NotTo(HaveOccurred())
	if !ok {
		return record{}, false
	}
	r, err := decodeRow(&row)
	g.Expect(err).NotTo(HaveOccurred())
	return r, true
}

func TestOneHostHoldsAKey(t *testing.T) {
	deploy(t, 2, func(g *WithT, d *deployment) {
		c := d.claim(0)
		g.Expect(c.State).To(Equal(lb.ClaimGranted))
		for host := range 2 {
			again := d.claim(host)
			g.Expect(again.State).To(Equal(lb.ClaimInFlight))
			g.Expect(again.Outcome).To(Equal(outcome.Unknown))
		}
		response := &lb.RecordedResponse{Status: 201, Header: [][2]string{{"A", "b"}}, Body: []byte("ok")}
		d.recordOutcome(0, c, outcome.Ran, response)
		synctest.Wait()
		for host := range 2 {
			again := d.claim(host)
			g.Expect(again.State).To(Equal(lb.ClaimDone))
			g.Expect(again.Response).To(Equal(response))
			g.Expect(again.Outcome).To(Equal(outcome.Ran))
			other := order
			other.Fingerprint++
			g.Expect(d.hosts[host].Claim(context.Background(), other).State).To(Equal(lb.ClaimConflict))
		}
	})
}

func TestRequestThatDidNotRunFreesItsKey(t *testing.T) {
	deploy(t, 2, func(g *WithT, d *deployment) {
		for i := range 6 {
			c := d.claim(i % 2)
			g.Expect(c.State).To(Equal(lb.ClaimGranted), "round %d", i)
			d.recordOutcome(i%2, c, outcome.NotRun, nil)
			if i%3 == 0 {
				// The same host claims again before the release is recorded.
				c = d.claim(i % 2)
				g.Expect(c.State).To(Equal(lb.ClaimGranted), "round %d", i)
				d.recordOutcome(i%2, c, outcome.NotRun, nil)
			}
			synctest.Wait()
		}
	})
}

func TestHostKilledAfterItsClaimLeavesUnknown(t *testing.T) {
	deploy(t, 2, func(g *WithT, d *deployment) {
		g.Expect(d.claim(0).State).To(Equal(lb.ClaimGranted))
		d.kill[0]()
		for range 23 {
			time.Sleep(time.Hour)
			c := d.claim(1)
			g.Expect(c.State).To(Equal(lb.ClaimInFlight))
			g.Expect(c.Outcome).To(Equal(outcome.Unknown))
		}
	})
}

func TestPausedHostStillHoldsItsKeyWhenItResumes(t *testing.T) {
	deploy(t, 2, func(g *WithT, d *deployment) {
		c := d.claim(0)
		for range 20 {
			time.Sleep(time.Hour)
			g.Expect(d.claim(1).State).To(Equal(lb.ClaimInFlight))
		}
		d.recordOutcome(0, c, outcome.Ran, nil)
		synctest.Wait()
		g.Expect(d.claim(1).State).To(Equal(lb.ClaimDone))
	})
}

func TestUnknownOutcomeStaysUnknown(t *testing.T) {
	deploy(t, 2, func(g *WithT, d *deployment) {
		d.recordOutcome(0, d.claim(0), outcome.Unknown, nil)
		synctest.Wait()
		for host := range 2 {
			c := d.claim(host)
			g.Expect(c.State).To(Equal(lb.ClaimInFlight))
			g.Expect(c.Outcome).To(Equal(outcome.Unknown))
		}
	})
}

func TestLostAcknowledgementsAreResolvedByTheExistingRow(t *testing.T) {
	deploy(t, 2, func(g *WithT, d *deployment) {
		d.table.LoseAcks(1)
		c := d.claim(0)
		g.Expect(c.State).To(Equal(lb.ClaimGranted))
		g.Expect(d.claim(1).State).To(Equal(lb.ClaimInFlight))
		d.table.LoseAcks(1)
		d.recordOutcome(0, c, outcome.Ran, nil)
		time.Sleep(time.Second)
		g.Expect(d.hosts[0].Pending()).To(BeZero())
		g.Expect(d.claim(1).State).To(Equal(lb.ClaimDone))
		d.table.LoseAcks(1)
		g.Expect(d.claim(1).State).To(Equal(lb.ClaimDone))
	})
}

func TestTableServiceDownRefusesFastWithFewCalls(t *testing.T) {
	deploy(t, 1, func(g *WithT, d *deployment) {
		d.table.SetDown(true)
		start := time.Now()
		for range 50 {
			c := d.claim(0)
			g.Expect(c.State).To(Equal(lb.ClaimUnavailable))
			g.Expect(c.Outcome).To(Equal(outcome.NotRun))
			g.Expect(c.RetryAfter).To(BeNumerically(">", 0))
		}
		g.Expect(time.Since(start)).To(BeNumerically("<", time.Second))
		before := d.table.Counts()
		g.Expect(before.Writes).To(BeNumerically("<=", 4))
		time.Sleep(time.Minute)
		after := d.table.Counts()
		g.Expect(after.Reads - before.Reads).To(BeNumerically("<=", 61))
		g.Expect(after.Writes).To(Equal(before.Writes))
		d.table.SetDown(false)
		time.Sleep(2 * time.Second)
		g.Expect(d.claim(0).State).To(Equal(lb.ClaimGranted))
	})
}

func TestOutcomesAreRecordedOnceTheTableServiceRecovers(t *testing.T) {
	deploy(t, 2, func(g *WithT, d *deployment) {
		c := d.claim(0)
		d.table.SetDown(true)
		d.recordOutcome(0, c, outcome.Ran, &lb.RecordedResponse{Status: 201})
		time.Sleep(time.Hour)
		g.Expect(d.hosts[0].Pending()).To(Equal(1))
		d.table.SetDown(false)
		time.Sleep(3 * time.Second)
		g.Expect(d.hosts[0].Flush(context.Background())).To(Succeed())
		g.Expect(d.claim(1).Response.Status).To(Equal(201))
	})
}

// TestDelayedClaimDoesNotBlockItsKey freezes the table service so that a claim is
// refused although its write may still take effect. The key must end up released,
// whether or not the write took effect.
func TestDelayedClaimDoesNotBlockItsKey(t *testing.T) {
	for _, released := range []bool{false, true} {
		deploy(t, 2, func(g *WithT, d *deployment) {
			if released {
				d.recordOutcome(0, d.claim(0), outcome.NotRun, nil)
				synctest.Wait()
			}
			d.table.Freeze()
			c := d.claim(0)
			g.Expect(c.State).To(Equal(lb.ClaimUnavailable))
			g.Expect(c.Outcome).To(Equal(outcome.NotRun))
			time.Sleep(time.Minute)
			d.table.Thaw()
			time.Sleep(5 * time.Second)
			g.Expect(d.hosts[0].Pending()).To(BeZero())
			r, ok := d.row(g)
			g.Expect(ok).To(BeTrue())
			g.Expect(r.State).To(Equal(stateReleased))
			g.Expect(d.claim(1).State).To(Equal(lb.ClaimGranted))
		})
	}
}

// withholdingTable withholds writes, returns cloud.ErrUncertain for them and
// applies the last withheld one on request.
type withholdingTable struct {
	cloud.Table
	mu        sync.Mutex
	withheld  *cloud.Write
	remaining int
}

func (h *withholdingTable) Write(ctx context.Context, w cloud.Write) error {
	h.mu.Lock()
	hold := h.remaining > 0
	if hold {
		h.remaining--
		h.withheld = &w
	}
	h.mu.Unlock()
	if hold {
		return cloud.ErrUncertain
	}
	return h.Table.Write(ctx, w)
}

// apply sends the withheld write.
func (h *withholdingTable) apply() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.Table.Write(context.Background(), *h.withheld)
}

// withholdNext withholds the next n writes.
func (h *withholdingTable) withholdNext(n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.remaining = n
}

func TestClaimAppliedAfterItsReleaseTakesNoEffect(t *testing.T) {
	for _, replaces := range []bool{false, true} {
		deploy(t, 2, func(g *WithT, d *deployment) {
			if replaces {
				d.recordOutcome(1, d.claim(1), outcome.NotRun, nil)
				synctest.Wait()
			}
			slow := &withholdingTable{Table: d.table}
			d.hosts[0].claims.table = slow
			ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
			defer cancel()
			if replaces {
				// The first write would fail on the released row; withhold the second.
				found, _, _ := d.table.Get(ctx, idOf(order).rowKey())
				e := d.hosts[0].active.start(idOf(order), order.Fingerprint, "late").entry
				slow.withholdNext(1)
				_, ok := d.hosts[0].writeClaim(ctx, e, &found, found.Revision+1)
				g.Expect(ok).To(BeFalse())
			} else {
				slow.withholdNext(1)
				g.Expect(d.hosts[0].Claim(ctx, order).State).To(Equal(lb.ClaimUnavailable))
			}
			time.Sleep(5 * time.Second)
			g.Expect(slow.apply()).To(MatchError(cloud.ErrConditionFailed))
			g.Expect(d.claim(1).State).To(Equal(lb.ClaimGranted))
		})
	}
}

func TestDisconnectedCallerReleasesItsClaim(t *testing.T) {
	deploy(t, 2, func(g *WithT, d *deployment) {
		d.table.SetDelay(100 * time.Millisecond)
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		g.Expect(d.hosts[0].Claim(ctx, order).State).To(Equal(lb.ClaimUnavailable))
		time.Sleep(time.Second)
		g.Expect(d.claim(1).State).To(Equal(lb.ClaimGranted))
	})
}

func TestTokensThatDoNotHoldTheKeyAreIgnored(t *testing.T) {
	deploy(t, 1, func(g *WithT, d *deployment) {
		c := d.claim(0)
		d.recordOutcome(0, lb.Claim{Token: "forged"}, outcome.NotRun, nil)
		synctest.Wait()
		g.Expect(d.claim(0).State).To(Equal(lb.ClaimInFlight))
		d.recordOutcome(0, c, outcome.Ran, nil)
		d.recordOutcome(0, c, outcome.NotRun, nil)
		synctest.Wait()
		g.Expect(d.claim(0).State).To(Equal(lb.ClaimDone))
	})
}

func TestBatchWithConflictsGrantsTheRest(t *testing.T) {
	deploy(t, 2, func(g *WithT, d *deployment) {
		d.table.SetDelay(50 * time.Millisecond)
		var wg sync.WaitGroup
		var mu sync.Mutex
		granted := map[string]int{}
		for i := range 60 {
			for host, l := range d.hosts {
				if host == 1 && i%3 != 0 {
					continue
				}
				wg.Go(func() {
					k := lb.OrderKey{Caller: "c", Key: fmt.Sprint(i)}
					c := l.Claim(context.Background(), k)
					mu.Lock()
					defer mu.Unlock()
					if c.State == lb.ClaimGranted {
						granted[k.Key]++
					}
				})
			}
		}
		wg.Wait()
		g.Expect(granted).To(HaveLen(60))
		for key, n := range granted {
			g.Expect(n).To(Equal(1), "key %s", key)
		}
		g.Expect(d.table.Counts().Writes).To(BeNumerically("<", 20))
	})
}

func TestTableServiceSlowerThanItsTimeoutBlocksNoKey(t *testing.T) {
	deploy(t, 2, func(g *WithT, d *deployment) {
		d.table.SetDelay(2 * time.Second)
		for range 20 {
			start := time.Now()
			c := d.claim(0)
			g.Expect(c.State).To(Equal(lb.ClaimUnavailable))
			g.Expect(time.Since(start)).To(BeNumerically("<=", d.hosts[0].opt.ClaimTimeout))
			time.Sleep(100 * time.Millisecond)
		}
		d.table.SetDelay(0)
		time.Sleep(5 * time.Second)
		g.Expect(d.hosts[0].Pending()).To(BeZero())
		g.Expect(d.claim(1).State).To(Equal(lb.ClaimGranted))
	})
}

func TestTooManyUnrecordedOutcomesRefuseClaims(t *testing.T) {
	deploy(t, 1, func(g *WithT, d *deployment) {
		d.hosts[0].opt.MaxPendingOrders = 1
		c := d.claim(0)
		d.table.SetDown(true)
		d.recordOutcome(0, c, outcome.Ran, nil)
		other := lb.OrderKey{Caller: "ministry", Key: "k2"}
		g.Expect(d.hosts[0].Claim(context.Background(), other).State).To(Equal(lb.ClaimUnavailable))
		d.table.SetDown(false)
		time.Sleep(5 * time.Second)
		g.Expect(d.hosts[0].Claim(context.Background(), other).State).To(Equal(lb.ClaimGranted))
	})
}

func TestLargeResponsesAreNotStored(t *testing.T) {
	deploy(t, 2, func(g *WithT, d *deployment) {
		d.recordOutcome(0, d.claim(0), outcome.Ran, &lb.RecordedResponse{Status: 201, Body: make([]byte, 17<<10)})
		synctest.Wait()
		c := d.claim(1)
		g.Expect(c.State).To(Equal(lb.ClaimDone))
		g.Expect(c.Response).To(BeNil())
	})
}

package command_test

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutfield/chestnutfield/cloud"
	"github.com/chestnutfield/chestnutfield/cloud/fake"
	"github.com/chestnutfield/chestnutfield/config/command"
	"github.com/chestnutfield/chestnutfield/config/query"
	"github.com/chestnutfield/chestnutfield/config/schema"
	"github.com/chestnutfield/chestnutfield/table"
)

const backoff = time.Microsecond

var now = time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)

func newHandler(store cloud.Table) *command.Handler {
	return command.New(command.Options{Store: store, Backoff: backoff})
}

func applyPools(id string, pools ...string) command.Request {
	r := command.Request{Table: schema.Pools, Operation: schema.Apply, File: "pools.ini", ChangeID: "change-" + id, Author: "kirsty"}
	for _, p := range pools {
		r.Data = append(r.Data, fmt.Sprintf("[%s]\nservice = %s\n", p, p)...)
	}
	return r
}

func applyRoutes(id, pool string) command.Request {
	data := fmt.Sprintf("[r]\npath_prefix = /\nclass = order\npool = %s\n", pool)
	return command.Request{Table: schema.Routes, Operation: schema.Apply, File: "routes.ini", ChangeID: "change-" + id, Data: []byte(data)}
}

func deleteRequest(id string, kind schema.TableName, name string) command.Request {
	return command.Request{Table: kind, Operation: schema.Delete, Name: name, ChangeID: "change-" + id}
}

var _ = Describe("Handler", func() {
	var (
		ctx    context.Context
		store  *fake.Table
		c      *command.Handler
		reader *query.Reader
	)
	BeforeEach(func() {
		ctx, store = context.Background(), fake.NewTable()
		c, reader = newHandler(store), query.New(store)
	})
	tables := func() *table.Tables {
		GinkgoHelper()
		t, err := reader.Tables(ctx)
		Expect(err).NotTo(HaveOccurred())
		return t
	}

	It("stores a change with author, time and id, and passes the new version to OnAccepted", func() {
		var notified *table.Tables
		c = command.New(command.Options{Store: store, Clock: clockwork.NewFakeClockAt(now),
			OnAccepted: func(t *table.Tables, _ []byte) { notified = t }})
		Expect(c.Do(ctx, applyPools("one", "b", "a"))).To(Equal(command.Result{
			State: command.Accepted, Version: 1, ChangeID: "change-one"}))
		Expect(notified).To(Equal(tables()))
		Expect(notified.Pools).To(HaveLen(2))
		history, err := reader.History(ctx, 10)
		Expect(err).NotTo(HaveOccurred())
		Expect(history).To(HaveLen(1))
		Expect(history[0].Fingerprint).NotTo(BeZero())
		history[0].Fingerprint = 0
		Expect(history[0]).To(Equal(schema.Change{ID: "change-one", Version: 1, Author: "kirsty", Time: now,
			Table: schema.Pools, Operation: schema.Apply, Names: []string{"a", "b"}}))
	})

	It("keeps the sections that the file does not name", func() {
		c.Do(ctx, applyPools("one", "a"))
		c.Do(ctx, applyPools("two", "b"))
		Expect(tables().Pools).To(And(HaveKey("a"), HaveKey("b")))
		Expect(tables().Version).To(Equal(uint64(2)))
	})

	It("accepts no new version for the same file", func() {
		c.Do(ctx, applyPools("one", "a"))
		res := c.Do(ctx, applyPools("two", "a"))
		Expect(res.State).To(Equal(command.Unchanged))
		Expect(res.Version).To(Equal(uint64(1)))
	})

	It("changes nothing when anything in the file is wrong", func() {
		res := c.Do(ctx, applyRoutes("one", "none"))
		Expect(res.State).To(Equal(command.Refused))
		Expect(res.Problems).To(Equal(table.Problems{{File: "routes.ini", Section: "r", Key: "pool", Found: "none",
			Expected: "a pool that exists"}}))
		Expect(tables()).To(Equal(table.Empty()))
	})

	It("refuses to delete a pool that a route uses, and deletes it once no route does", func() {
		c.Do(ctx, applyPools("one", "a"))
		c.Do(ctx, applyRoutes("two", "a"))
		Expect(c.Do(ctx, deleteRequest("three", schema.Pools, "a")).State).To(Equal(command.Refused))
		Expect(c.Do(ctx, deleteRequest("four", schema.Pools, "x")).State).To(Equal(command.NotFound))
		Expect(c.Do(ctx, deleteRequest("five", schema.Routes, "r")).State).To(Equal(command.Accepted))
		Expect(c.Do(ctx, deleteRequest("six", schema.Pools, "a")).State).To(Equal(command.Accepted))
		Expect(tables().Pools).To(BeEmpty())
	})

	It("returns a conflict when IfVersion is not the accepted version", func() {
		c.Do(ctx, applyPools("one", "a"))
		r := applyPools("two", "b")
		r.IfVersion = new(uint64)
		Expect(c.Do(ctx, r).State).To(Equal(command.Conflict))
		*r.IfVersion = 1
		Expect(c.Do(ctx, r).State).To(Equal(command.Accepted))
	})

	It("returns a conflict to the second of two concurrent changes and keeps the first", func() {
		race := &hookedTable{Table: store, before: func() { newHandler(store).Do(ctx, applyPools("winner", "w")) }}
		res := newHandler(race).Do(ctx, applyPools("loser", "l"))
		Expect(res.State).To(Equal(command.Conflict))
		Expect(res.Version).To(Equal(uint64(1)))
		Expect(tables().Pools).To(And(HaveLen(1), HaveKey("w")))
	})

	It("accepts concurrent changes one at a time and keeps each accepted one", func() {
		const operators, each = 8, 5
		var wg sync.WaitGroup
		results := make([][each]command.Result, operators)
		for o := range operators {
			wg.Add(1)
			go func() {
				defer wg.Done()
				own := newHandler(store)
				for i := range each {
					name := fmt.Sprintf("pool-%d-%d", o, i)
					results[o][i] = own.Do(ctx, applyPools(name, name))
				}
			}()
		}
		wg.Wait()
		accepted := 0
		for o := range results {
			for i, res := range results[o] {
				Expect(res.State).To(BeElementOf(command.Accepted, command.Conflict))
				if res.State == command.Accepted {
					accepted++
					Expect(tables().Pools).To(HaveKey(fmt.Sprintf("pool-%d-%d", o, i)))
				}
			}
		}
		Expect(tables().Version).To(BeEquivalentTo(accepted))
		Expect(tables().Pools).To(HaveLen(accepted))
	})

	It("recovers from a lost acknowledgement and applies the change once", func() {
		store.LoseAcks(1)
		Expect(c.Do(ctx, applyPools("one", "a")).State).To(Equal(command.Accepted))
		Expect(tables().Version).To(Equal(uint64(1)))
	})

	It("reports its change as accepted after a lost acknowledgement, although another change followed", func() {
		store.LoseAcks(1)
		race := &hookedTable{Table: store, after: func() { newHandler(store).Do(ctx, applyPools("other", "b")) }}
		res := newHandler(race).Do(ctx, applyPools("one", "a"))
		Expect(res).To(Equal(command.Result{State: command.Accepted, Version: 1, ChangeID: "change-one"}))
		Expect(tables().Version).To(Equal(uint64(2)))
	})

	It("returns unknown while the outcome can't be determined, and the outcome from ChangeOutcome later", func() {
		store.LoseAcks(1)
		race := &hookedTable{Table: store, after: func() { store.SetDown(true) }}
		res := newHandler(race).Do(ctx, applyPools("one", "a"))
		Expect(res.State).To(Equal(command.Unknown))
		Expect(res.ChangeID).To(Equal("change-one"))
		Expect(c.ChangeOutcome(ctx, res.ChangeID, res.Base).State).To(Equal(command.Unknown))
		store.SetDown(false)
		Expect(c.ChangeOutcome(ctx, res.ChangeID, res.Base)).To(Equal(command.Result{
			State: command.Accepted, Version: 1, ChangeID: "change-one"}))
		Expect(c.Do(ctx, applyPools("one", "a")).State).To(Equal(command.Accepted), "sent again")
		Expect(tables().Version).To(Equal(uint64(1)))
	})

	It("returns unavailable while the store is down", func() {
		store.SetDown(true)
		Expect(c.Do(ctx, applyPools("one", "a")).State).To(Equal(command.Unavailable))
		store.SetDown(false)
		Expect(c.ChangeOutcome(ctx, "change-one", 0).State).To(Equal(command.Unknown))
		c.Do(ctx, applyPools("two", "b"))
		Expect(c.ChangeOutcome(ctx, "change-one", 0).State).To(Equal(command.Conflict))
	})

	It("refuses a change id that another change used", func() {
		c.Do(ctx, applyPools("one", "a"))
		Expect(c.Do(ctx, applyPools("one", "b")).State).To(Equal(command.Refused))
	})

	It("stores 88 services with 1,200 targets in one row", func() {
		r := applyPools("big")
		for p := range 88 {
			r.Data = append(r.Data, fmt.Sprintf("[service-%d]\ntargets = ", p)...)
			for i := range 14 {
				r.Data = append(r.Data, fmt.Sprintf("%s10.%d.%d.%d:9001@scot-central-%d", ", "[:2*min(i, 1)], p, i, i*7, i%7)...)
			}
			r.Data = append(r.Data, '\n')
		}
		Expect(c.Do(ctx, r).State).To(Equal(command.Accepted))
		encoded, _, err := reader.EncodedTables(ctx)
		Expect(err).NotTo(HaveOccurred())
		GinkgoWriter.Println("encoded bytes:", len(encoded))
		Expect(len(encoded)).To(BeNumerically("<=", table.MaxEncodedBytes))
	})
})

// hookedTable runs a hook before or after its first transaction.
type hookedTable struct {
	cloud.Table
	before, after func()
}

func (t *hookedTable) Transact(ctx context.Context, ws []cloud.Write) error {
	if f := t.before; f != nil {
		t.before = nil
		f()
	}
	err := t.Table.Transact(ctx, ws)
	if f := t.after; f != nil {
		t.after = nil
		f()
	}
	return err
}

package dynamo_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pkg/errors"

	"github.com/chestnutfield/chestnutfield/cloud"
	"github.com/chestnutfield/chestnutfield/cloud/dynamo"
	"github.com/chestnutfield/chestnutfield/cloud/fake"
	"github.com/chestnutfield/chestnutfield/lab/platformd"
)

// startPlatform starts a simulated platform and returns it with a client.
func startPlatform() (*platformd.Server, cloud.Table) {
	GinkgoHelper()
	s := platformd.New(platformd.Options{})
	Expect(s.Start("127.0.0.1:0")).To(Succeed())
	DeferCleanup(s.Close)
	return s, dynamo.New(dynamo.Options{Endpoint: s.URL()})
}

func row(sort string, rev uint64, body string) cloud.Row {
	return cloud.Row{Key: cloud.Key{Partition: "p", Sort: sort}, Revision: rev, Writer: "w", Body: []byte(body)}
}

func conditionError(err error) *cloud.ConditionError {
	GinkgoHelper()
	var ce *cloud.ConditionError
	Expect(errors.As(err, &ce)).To(BeTrue(), "%v", err)
	return ce
}

// The client and the fake have to behave alike, so that tests against the fake
// are valid for the client.
var _ = DescribeTableSubtree("Table", func(open func() cloud.Table) {
	var (
		ctx context.Context
		tab cloud.Table
	)
	BeforeEach(func() { ctx, tab = context.Background(), open() })

	It("returns a row as it was written", func() {
		in := row("a", 7, "body")
		in.Expires = time.Unix(1_800_000_000, 0).UTC()
		Expect(tab.Write(ctx, cloud.Write{Row: in, IfAbsent: true})).To(Succeed())
		out, ok, err := tab.Get(ctx, in.Key)
		Expect(err).NotTo(HaveOccurred())
		Expect(ok).To(BeTrue())
		Expect(out).To(Equal(in))
	})

	It("reports a missing row", func() {
		_, ok, err := tab.Get(ctx, cloud.Key{Partition: "p", Sort: "none"})
		Expect(err).NotTo(HaveOccurred())
		Expect(ok).To(BeFalse())
	})

	It("returns the stored row when a condition fails, nil if there is none", func() {
		Expect(tab.Write(ctx, cloud.Write{Row: row("a", 1, "x")})).To(Succeed())
		ce := conditionError(tab.Write(ctx, cloud.Write{Row: row("a", 1, "y"), IfAbsent: true}))
		Expect(ce.Failed[0]).To(HaveValue(Equal(row("a", 1, "x"))))
		ce = conditionError(tab.Write(ctx, cloud.Write{Row: row("b", 2, "y"), IfRevision: 1}))
		Expect(ce.Failed).To(HaveKeyWithValue(0, BeNil()))
	})

	It("applies a transaction atomically", func() {
		Expect(tab.Write(ctx, cloud.Write{Row: row("a", 1, "x")})).To(Succeed())
		ws := []cloud.Write{
			{Row: row("b", 1, "y"), IfAbsent: true},
			{Row: row("a", 2, "z"), IfRevision: 5},
		}
		ce := conditionError(tab.Transact(ctx, ws))
		Expect(ce.Failed).To(HaveLen(1))
		Expect(ce.Failed[1].Revision).To(Equal(uint64(1)))
		ws[1].IfRevision = 1
		Expect(tab.Transact(ctx, ws)).To(Succeed())
		Expect(tab.Query(ctx, "p", "", 10)).To(Equal([]cloud.Row{row("a", 2, "z"), row("b", 1, "y")}))
	})

	It("deletes conditionally", func() {
		Expect(tab.Write(ctx, cloud.Write{Row: row("a", 3, "x")})).To(Succeed())
		Expect(tab.Write(ctx, cloud.Write{Row: row("a", 0, ""), Delete: true, IfRevision: 2})).
			To(MatchError(cloud.ErrConditionFailed))
		Expect(tab.Write(ctx, cloud.Write{Row: row("a", 0, ""), Delete: true, IfRevision: 3})).To(Succeed())
		Expect(tab.Query(ctx, "p", "", 10)).To(BeEmpty())
	})

	It("queries a partition from a sort key with a limit", func() {
		for i := range 5 {
			Expect(tab.Write(ctx, cloud.Write{Row: row(fmt.Sprint(i), 1, "x")})).To(Succeed())
		}
		rows, err := tab.Query(ctx, "p", "1", 2)
		Expect(err).NotTo(HaveOccurred())
		Expect(rows).To(Equal([]cloud.Row{row("2", 1, "x"), row("3", 1, "x")}))
	})
},
	Entry("dynamo.Client over HTTP", func() cloud.Table { _, t := startPlatform(); return t }),
	Entry("fake.Table", func() cloud.Table { return fake.NewTable() }),
)

var _ = Describe("the error of a failed call", func() {
	ctx := context.Background()
	write := cloud.Write{Row: row("a", 1, "x"), IfAbsent: true}

	It("is ErrUncertain when the acknowledgement of an applied write is lost", func() {
		s, tab := startPlatform()
		s.SetFaults(platformd.Faults{AckLost: 1})
		Expect(tab.Write(ctx, write)).To(MatchError(cloud.ErrUncertain))
		_, ok, err := tab.Get(ctx, write.Row.Key)
		Expect(err).NotTo(HaveOccurred())
		Expect(ok).To(BeTrue())
	})

	It("is ErrUnavailable when no connection can be opened", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		Expect(l.Close()).To(Succeed())
		tab := dynamo.New(dynamo.Options{Endpoint: "http://" + l.Addr().String()})
		Expect(tab.Write(ctx, write)).To(MatchError(cloud.ErrUnavailable))
	})

	DescribeTable("depends on the response",
		func(status int, body string, want error) {
			calls := 0
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				calls++
				w.Header().Set("Content-Type", "application/x-amz-json-1.0")
				w.WriteHeader(status)
				fmt.Fprint(w, body)
			}))
			DeferCleanup(srv.Close)
			tab := dynamo.New(dynamo.Options{Endpoint: srv.URL})
			Expect(tab.Transact(ctx, []cloud.Write{write})).To(MatchError(want))
			Expect(calls).To(Equal(1), "the SDK's retries are disabled")
		},
		Entry("throttled", 400, `{"__type":"ProvisionedThroughputExceededException"}`, cloud.ErrUnavailable),
		Entry("rejected", 400, `{"__type":"ValidationException"}`, cloud.ErrUnavailable),
		Entry("internal error", 500, `{"__type":"InternalServerError"}`, cloud.ErrUncertain),
		Entry("unavailable", 503, `{"__type":"ServiceUnavailable"}`, cloud.ErrUncertain),
		Entry("response of another protocol", 200, `<html>`, cloud.ErrUncertain),
		Entry("conflict with another transaction", 400, `{"__type":"TransactionCanceledException",
			"CancellationReasons":[{"Code":"TransactionConflict"}]}`, cloud.ErrUnavailable),
		Entry("failed condition", 400, `{"__type":"TransactionCanceledException",
			"CancellationReasons":[{"Code":"ConditionalCheckFailed"}]}`, cloud.ErrConditionFailed),
	)

	It("is ErrUncertain for a write that times out and ErrUnavailable for a read", func() {
		hold := make(chan struct{})
		srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-hold }))
		DeferCleanup(srv.Close)
		DeferCleanup(func() { close(hold) })
		tab := dynamo.New(dynamo.Options{Endpoint: srv.URL, Timeout: 20 * time.Millisecond})
		Expect(tab.Write(ctx, write)).To(MatchError(cloud.ErrUncertain))
		_, _, err := tab.Get(ctx, write.Row.Key)
		Expect(err).To(MatchError(cloud.ErrUnavailable))
	})
})

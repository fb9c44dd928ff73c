package s3_test

import (
	"bytes"
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutfield/chestnutfield/cloud"
	"github.com/chestnutfield/chestnutfield/cloud/s3"
	"github.com/chestnutfield/chestnutfield/lab/platformd"
)

var _ = Describe("the object store client", func() {
	ctx := context.Background()
	open := func() (*platformd.Server, *s3.Client) {
		srv := platformd.New(platformd.Options{})
		Expect(srv.Start("127.0.0.1:0")).To(Succeed())
		DeferCleanup(srv.Close)
		return srv, s3.New(s3.Options{Endpoint: srv.URL()})
	}

	It("returns a stored object and reports a missing one", func() {
		_, c := open()
		body := bytes.Repeat([]byte{0, 1, 255}, 100_000)
		Expect(c.Put(ctx, "config/a", body)).To(Succeed())
		got, ok, err := c.Get(ctx, "config/a")
		Expect(err).NotTo(HaveOccurred())
		Expect(ok).To(BeTrue())
		Expect(got).To(Equal(body))
		_, ok, err = c.Get(ctx, "config/none")
		Expect(err).NotTo(HaveOccurred())
		Expect(ok).To(BeFalse())
	})

	It("distinguishes a lost acknowledgement from an outage", func() {
		srv, c := open()
		srv.SetFaults(platformd.Faults{AckLost: 1})
		Expect(c.Put(ctx, "k", []byte("x"))).To(MatchError(cloud.ErrUncertain))
		_, ok, _ := c.Get(ctx, "k")
		Expect(ok).To(BeTrue())
		srv.SetFaults(platformd.Faults{Down: true})
		_, _, err := c.Get(ctx, "k")
		Expect(err).To(MatchError(cloud.ErrUnavailable))
		Expect(srv.Close()).To(Succeed())
		Expect(s3.New(s3.Options{Endpoint: srv.URL()}).Put(ctx, "k", nil)).To(MatchError(cloud.ErrUnavailable))
	})
})

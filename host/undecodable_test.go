package host_test

import (
	"context"
	"fmt"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutfield/chestnutfield/cloud"
	"github.com/chestnutfield/chestnutfield/cloud/dynamo"
	"github.com/chestnutfield/chestnutfield/config/schema"
)

var _ = Describe("a host that can't decode the accepted version", func() {
	// Guards against a final 404 for routes of that version.
	It("serves the routes that it has and refuses others as not run until it can", func() {
		d := newDeployment(1, 1)
		d.waitUntilServing()
		unknown := func() string {
			r, _ := send(d.hosts[0], http.MethodGet, "/new/x", "")
			return fmt.Sprint(r.status, " ", r.outcome)
		}
		Eventually(unknown, waitTimeout).Should(Equal("404 not-run"))
		const next = 9
		store := dynamo.New(dynamo.Options{Endpoint: d.platform.URL()})
		for _, r := range []cloud.Row{{Key: schema.BodyKey, Revision: next, Body: []byte("of another release")}, {Key: schema.VersionKey, Revision: next}} {
			Expect(store.Write(context.Background(), cloud.Write{Row: r})).To(Succeed())
		}
		Eventually(func() string { return metric(d.hosts[0], "chestnut_config_undecodable_version") }, waitTimeout).Should(Equal("9"))
		Expect(unknown()).To(Equal("503 not-run"))
		Expect(lookupStatus(d.hosts[0])).To(Equal(http.StatusOK))
	})
})

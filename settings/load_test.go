package settings_test

import (
	"os"
	"path/filepath"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/chestnutfield/chestnutfield/settings"
)

const valid = `[host]
name = entry-1
failure_domain = scot-central-a
[listen]
callers = 127.0.0.1:7001
admin = 127.0.0.1:7002
peers = 127.0.0.1:7003
[platform]
table = http://127.0.0.1:7400
objects = http://127.0.0.1:7400
[admin]
token =
[limits]
drain_timeout = 5s
`

func load(text string) (*settings.Settings, error) {
	path := filepath.Join(GinkgoT().TempDir(), "s.ini")
	Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	return settings.Load(path)
}

var _ = Describe("Load", func() {
	It("reads a valid file and fills in defaults", func() {
		s, err := load(valid)
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Host.Name).To(Equal("entry-1"))
		Expect(s.Host.Handoff).To(BeTrue())
		Expect(s.Limits.DrainTimeout).To(Equal(5 * time.Second))
		Expect(s.Limits.MaxHeaderBytes).To(Equal(settings.DefaultMaxHeaderBytes))
		Expect(s.Platform.Hosts).To(Equal("http://127.0.0.1:7400"))
	})

	// Guards against regions that are lost or swapped, and against a template that
	// names none and is refused.
	It("reads the regions of failure domains", func() {
		s, err := load(strings.Replace(valid, "[listen]", "regions = zone-a:region-1, zone-b:region-1,zone-c:region-2\n[listen]", 1))
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Host.Regions).To(Equal(map[string]string{"zone-a": "region-1", "zone-b": "region-1", "zone-c": "region-2"}))
		s, err = load(strings.Replace(valid, "[listen]", "regions =\n[listen]", 1))
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Host.Regions).To(BeEmpty())
	})

	DescribeTable("rejects with section, key and what was expected",
		func(from, to, section, key string) {
			_, err := load(strings.Replace(valid, from, to, 1))
			var problem *settings.Error
			Expect(errors.As(err, &problem)).To(BeTrue(), "%v", err)
			Expect(problem.Section).To(Equal(section))
			Expect(problem.Key).To(Equal(key))
			Expect(problem.Expected).NotTo(BeEmpty())
			Expect(problem.Error()).To(ContainSubstring("s.ini"))
		},
		Entry("failure domain without region", "[listen]", "regions = a:one,b\n[listen]", "host", "regions"),
		Entry("failure domain with two regions", "[listen]", "regions = a:one,a:two\n[listen]", "host", "regions"),
		Entry("region without failure domain", "[listen]", "regions = :one\n[listen]", "host", "regions"),
		Entry("unknown key", "token =", "tokn =", "admin", "tokn"),
		Entry("unknown section", "[limits]", "[limit]", "limit", ""),
		Entry("missing key", "name = entry-1\n", "", "host", "name"),
		Entry("missing section", "[platform]\ntable = http://127.0.0.1:7400\nobjects = http://127.0.0.1:7400\n", "", "platform", "table"),
		Entry("bad duration", "5s", "5 parsecs", "limits", "drain_timeout"),
		Entry("negative duration", "5s", "-5s", "limits", "drain_timeout"),
		Entry("bad truth value", "name = entry-1", "name = entry-1\nhandoff = perhaps", "host", "handoff"),
		Entry("host name for IP", "callers = 127.0.0.1:7001", "callers = localhost:7001", "listen", "callers"),
		Entry("bad URL", "table = http://127.0.0.1:7400", "table = 127.0.0.1:7400", "platform", "table"),
		Entry("section twice", "[limits]", "[host]\nname = b\n[limits]", "host", ""),
		Entry("key twice", "name = entry-1", "name = entry-1\nname = entry-2", "host", "name"),
		Entry("key outside of sections", "[host]\n", "x = 1\n[host]\n", "", "x"),
		Entry("admin off loopback without token", "admin = 127.0.0.1:7002", "admin = 10.0.0.1:7002", "admin", "token"),
		Entry("peers off loopback without token", "peers = 127.0.0.1:7003", "peers = 0.0.0.0:7003", "peers", "token"),
		Entry("peers at the unspecified address", "peers = 127.0.0.1:7003\n", "peers = 0.0.0.0:7003\n[peers]\ntoken = t\n", "listen", "peers"),
		Entry("bad seed", "[limits]", "[peers]\nseeds = 127.0.0.1:7003, there\n[limits]", "peers", "seeds"),
		Entry("TLS without its files", "token =", "tls_cert = /no/a.pem\ntls_key = /no/b.pem\ntls_ca = /no/c.pem", "admin", "tls_cert"),
		Entry("TLS with some files only", "token =", "tls_cert = a.pem", "admin", "tls_cert"),
	)

	It("rejects a missing file", func() {
		_, err := settings.Load("/nonexistent/s.ini")
		Expect(err).To(MatchError(ContainSubstring("s.ini")))
	})
})

var _ = Describe("the settings of a host that reads a store", func() {
	const good = `[host]
name = entry-1
failure_domain = a
strength = 0.32
[listen]
callers = 10.0.0.1:7001
ready = 10.0.0.1:7002
peers = 10.0.0.1:7003
[store]
address = 10.0.0.9:8000
[bounds]
retry_ratio = 0.2
retry_slack = 62
probes_per_second = 60
stop_grace = 6s
`
	It("need neither the platform's services nor an admin address", func() {
		s, err := load(good)
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Store.Configured()).To(BeTrue())
		Expect(s.Bounds).To(Equal(settings.Bounds{RetryRatio: 0.2, RetrySlack: 62, ProbesPerSecond: 60, StopGrace: 6 * time.Second}))
		Expect(s.Host.Strength).To(Equal(0.32))
	})

	DescribeTable("are rejected with what was found and expected",
		func(from, to, want string) {
			_, err := load(strings.Replace(good, from, to, 1))
			Expect(err).To(MatchError(ContainSubstring(want)))
		},
		Entry("no readiness address", "ready = 10.0.0.1:7002\n", "", `key "ready": the required key is missing`),
		Entry("a store that is not an address", "10.0.0.9:8000", "store", `the value "store" can't be used; expected IP:PORT`),
		Entry("a ratio above 1", "0.2", "2", `the value "2" can't be used; expected a number from 0 to 1`),
		Entry("not a number", "62", "NaN", `the value "NaN"`),
		Entry("a rate of extra attempts without their ratio", "[bounds]", "[extra_attempts]\nper_second = 5\n[bounds]", `a ratio above 0 beside per_second`),
	)
})

package host_test

import (
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/chestnutfield/chestnutfield/host"
	"github.com/chestnutfield/chestnutfield/settings"
)

// Guards against a final 404 from a host that has no configuration yet.
func TestRequestBeforeTheFirstConfigurationMayComeAgain(t *testing.T) {
	g := NewWithT(t)
	const unreachable = "http://127.0.0.1:1"
	h, err := host.New(&settings.Settings{
		Host:     settings.Host{Name: "entry-0", FailureDomain: "a"},
		Listen:   settings.Listen{Callers: anyPort, Admin: anyPort, Peers: anyPort},
		Platform: settings.Platform{Table: unreachable, Objects: unreachable, Hosts: unreachable},
	}, host.Options{})
	g.Expect(err).NotTo(HaveOccurred())
	h.Start()
	t.Cleanup(h.Kill)
	resp, err := http.Get("http://" + h.CallersAddr().String() + "/specs/x")
	g.Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	g.Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
	g.Expect(resp.Header.Get("Retry-After")).NotTo(BeEmpty())
	g.Expect(resp.Header.Get("Chestnut-Outcome")).To(Equal("not-run"))
}

package storesync

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnutfield/chestnutfield/roster"
)

func TestOnlyHostsSilentForTheLimitAreRemoved(t *testing.T) {
	g := NewWithT(t)
	start := time.Unix(1_700_000_000, 0)
	at := func(n byte) netip.AddrPort { return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 7000) }
	hosts := []roster.Host{{Name: "self", Addr: at(1)}, {Name: "asks", Addr: at(2)}, {Name: "silent", Addr: at(3)}}
	var a hostActivity
	a.recordRequest(start, at(2))
	g.Expect(a.silentHosts(start.Add(time.Hour), hosts, "self")).To(BeEmpty(), "a host that is not the reader reports no silent hosts")
	a.setReader(start, true)
	a.recordRequest(start.Add(time.Second), at(3))
	almost := start.Add(maxHostSilence - time.Second)
	a.recordRequest(almost, at(2))
	g.Expect(a.silentHosts(almost, hosts, "self")).To(BeEmpty(), "a new reader waits for the full limit")
	end := start.Add(maxHostSilence + time.Second)
	g.Expect(a.silentHosts(end, hosts, "self")).To(Equal(hosts[2:]))
	a.recordRequest(end, at(3))
	g.Expect(a.silentHosts(end, hosts, "self")).To(BeEmpty())
	a.setReader(end, false)
	a.setReader(end.Add(time.Hour), true)
	g.Expect(a.silentHosts(end.Add(time.Hour), hosts, "self")).To(BeEmpty(), "the wait starts over when a host becomes the reader again")
}

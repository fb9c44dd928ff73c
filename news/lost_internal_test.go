package news

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnutfield/chestnutfield/roster"
)

func TestOnlyWhoWasSilentForLongIsTakenForGone(t *testing.T) {
	g := NewWithT(t)
	start := time.Unix(1_700_000_000, 0)
	at := func(n byte) netip.AddrPort { return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 7000) }
	hosts := []roster.Host{{Name: "self", Addr: at(1)}, {Name: "asks", Addr: at(2)}, {Name: "silent", Addr: at(3)}}
	var a attendance
	a.ask(start, at(2))
	g.Expect(a.gone(start.Add(time.Hour), hosts, "self")).To(BeEmpty(), "a host that does not read knows nothing")
	a.read(start, true)
	a.ask(start.Add(time.Second), at(3))
	almost := start.Add(goneAfter - time.Second)
	a.ask(almost, at(2))
	g.Expect(a.gone(almost, hosts, "self")).To(BeEmpty(), "a new reader waits")
	end := start.Add(goneAfter + time.Second)
	g.Expect(a.gone(end, hosts, "self")).To(Equal(hosts[2:]))
	a.ask(end, at(3))
	g.Expect(a.gone(end, hosts, "self")).To(BeEmpty())
	a.read(end, false)
	a.read(end.Add(time.Hour), true)
	g.Expect(a.gone(end.Add(time.Hour), hosts, "self")).To(BeEmpty(), "the count begins anew")
}

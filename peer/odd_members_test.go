package peer

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"github.com/chestnutfield/chestnutfield/cloud"
	"github.com/chestnutfield/chestnutfield/cloud/fake"
	"github.com/chestnutfield/chestnutfield/membership"
)

// Guards against an odd member row whose host is passed on in messages, which all other
// hosts then reject as a whole, and against one that counts as a host.
func TestOddMemberRowLeavesMessagesReadable(t *testing.T) {
	now := time.Now()
	long := strings.Repeat("x", 60_000)
	for _, odd := range []string{
		`"failure_domain":"` + long + `"`, `"failure_domain":"a\nb"`, `"failure_domain":"\ud800\u0000"`, `"name":"` + long + `"`, `"name":"a\u0000b"`,
		`"addr":"127.0.0.1:0"`, `"addr":"0.0.0.0:7003"`, `"addr":"224.0.0.1:7003"`, `"addr":"[fe80::1%eth0]:7003"`, `"addr":"127.0.0.1:99999"`,
		`"state":9`, `"state":-1`, `"state":0.5`, `"incarnation":18446744073709551615`, `"incarnation":-1`, `"heartbeat":1e400`, `"heartbeat":18446744073709551616`,
	} {
		t.Run(fmt.Sprintf("%.40s", odd), func(t *testing.T) {
			g := NewWithT(t)
			rows, ctx := fake.NewTable(), t.Context()
			write := func(body string) {
				var named struct{ Name string }
				_ = json.Unmarshal([]byte(body), &named)
				g.Expect(rows.Write(ctx, cloud.Write{Row: cloud.Row{
					Key: cloud.Key{Partition: membership.Partition, Sort: named.Name}, Revision: 1, Writer: "w", Body: []byte(body), Expires: now.Add(time.Hour),
				}})).To(Succeed())
			}
			member := func(name, odd string) string {
				fields := []string{`"name":"` + name + `"`, `"addr":"127.0.0.1:7003"`, `"failure_domain":"a"`, fmt.Sprint(`"incarnation":`, now.UnixMilli()), `"heartbeat":1`, `"state":1`}
				return "{" + strings.Join(append(fields, odd), ",") + "}"
			}
			write(member("good", `"state":1`))
			write(member("odd", odd))
			s, err := membership.New(membership.Options{
				Self:  membership.Member{Name: "self", Addr: netip.MustParseAddrPort("127.0.0.1:7004"), State: membership.Live},
				Table: rows, Clock: clockwork.NewRealClock(),
			})
			g.Expect(err).NotTo(HaveOccurred())
			ctx, cancel := context.WithCancel(ctx)
			done := make(chan error)
			go func() { done <- s.Run(ctx) }()
			g.Eventually(s.HostsKnown).WithTimeout(30 * time.Second).Should(BeTrue())
			cancel()
			g.Expect(<-done).To(Succeed())
			members := s.Members()
			sent := message{from: "self", members: members}
			_, err = decode(sent.encode())
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(members).To(HaveLen(2), "this host and the good one")
		})
	}
}

package ctl_test

import (
	"context"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"

	"github.com/chestnutfield/chestnutfield/cloud"
	"github.com/chestnutfield/chestnutfield/config"
	"github.com/chestnutfield/chestnutfield/config/schema"
	"github.com/chestnutfield/chestnutfield/ctl"
)

const (
	poolsFile = `[catalogue]
targets = 127.0.0.1:9001@scot-central-a, 127.0.0.1:9002@scot-central-b
probe_budget = 20          ; probes a second
load_path = /load
[booking]
service = booking`
	routesFile = `[lookup]
path_prefix = /specs/
methods = GET
callers = *
pool = catalogue
class = lookup
idempotent = true
timeout = 2s
[order]
path_prefix = /orders/
pool = booking
class = order`
	// keyDigest is the digest of "hello".
	keyDigest      = "2cf24dba5fb0a30e26e83b2ac5b9e29e1b161e5c1fa7425e73043362938b9824"
	workspacesFile = `[acme]
key_digests = ` + keyDigest + `
rank = 0
rate_per_second = 12.5
burst = 12.5
regions = north, south
[bolt]`
	invalidRoutesFile = `[order]
path_prefix = orders
pool = booking
class = orders
retries = 2
[lookup]
path_prefix = /specs/
pool = catalogue
class = lookup
colour = blue`
)

var _ = Describe("an operator's session", func() {
	golden := func(d *deployment, name string) {
		GinkgoHelper()
		goldie.New(GinkgoTB()).Assert(GinkgoTB(), name, []byte(d.transcript.String()))
	}

	It("sets up a deployment and shows it", func() {
		d := newDeployment()
		d.run("", "pools list")
		d.run(poolsFile, "pools apply - --author kirsty")
		d.run(routesFile, "routes apply - --author kirsty")
		d.run(routesFile, "routes apply - --author dorj")
		d.run("", "pools list")
		d.run("", "routes list")
		d.run("", "routes get lookup")
		d.run("", "pools get booking --output json")
		d.run("", "pools get none")
		d.run("", "pools history")
		d.run("", "routes history --output json")
		d.peers, d.pools = testPeers, testPools
		d.run("", "status")
		d.run("", "wait --version 2 --timeout 5s")
		d.run("", "wait --version 3 --timeout 0s")
		d.run("", "wait --version 3 --timeout 0s --output json")
		golden(d, "set_up")
	})

	It("adds, moves and withdraws keys, and evacuates a failure domain", func() {
		d := newDeployment()
		d.run("", "workspaces list")
		d.run(workspacesFile, "workspaces apply - --author kirsty")
		d.run("", "workspaces list")
		d.run("", "workspaces get acme")
		d.run("[bolt]\nkey_digests = "+keyDigest, "workspaces apply - --author dorj")
		d.run("[bolt]\nkey_digests = "+keyDigest+"\n[acme]", "workspaces apply - --author dorj")
		d.run("[acme]\nkey_digests = sesame", "workspaces apply -")
		d.run("", "workspaces delete bolt --author kirsty")
		d.run("", "workspaces delete acme --author kirsty")
		d.run("", "workspaces list --output json")
		d.run("", "workspaces delete * --author kirsty")
		d.run("", "workspaces delete *")
		d.run("", "domains evacuate scot-central-b --author kirsty")
		d.run("", "domains evacuate scot-central-b --author kirsty")
		d.run("", "domains evacuate scot-central-a --author kirsty")
		d.run("", "domains list")
		d.run("", "domains restore scot-central-b --author kirsty")
		d.run("", "domains restore scot-central-c --author kirsty")
		d.run("", "domains list --output json")
		d.run("", "workspaces history --limit 4")
		golden(d, "workspaces")
	})

	// Guards against a host that stays behind without a reason that an operator can see.
	It("is told of a version that the host can't decode", func() {
		d := newDeployment()
		Expect(d.store.Transact(context.Background(), []cloud.Write{
			{Row: cloud.Row{Key: schema.VersionKey, Revision: 9}},
			{Row: cloud.Row{Key: schema.BodyKey, Revision: 9, Body: []byte("of another release")}},
		})).To(Succeed())
		Eventually(func() uint64 { d.clock.Advance(config.MaxPollInterval); return d.syncer.Status().UndecodableVersion }).
			WithTimeout(10 * time.Second).Should(BeEquivalentTo(9))
		Expect(d.run("", "status")).To(Equal(ctl.ExitOK))
		Expect(d.run("", "wait --version 9 --timeout 0s")).To(Equal(ctl.ExitLagging))
		Expect(d.run(poolsFile, "pools apply -")).NotTo(Equal(ctl.ExitOK))
		Expect(d.transcript.String()).To(And(
			ContainSubstring("behind: version 9 is known\nversion 9 can't be decoded by this host: gunzip tables"),
			ContainSubstring("version 9 is not in force on: entry-1")))
	})

	It("is told why invalid changes are refused", func() {
		d := newDeployment()
		d.run(poolsFile, "pools apply - --author kirsty")
		d.run(invalidRoutesFile, "routes apply -")
		d.run("[x]\npath_prefix = /\npool = none\nclass = batch", "routes apply -")
		d.run(routesFile, "routes apply - --author kirsty")
		d.run("", "pools delete booking")
		d.run("", "routes delete nothing")
		d.run("", "routes delete order --author kirsty")
		d.run("", "pools delete booking --author kirsty")
		d.run("", "pools paint")
		golden(d, "refused")
	})

	It("gets a conflict when another operator changed the tables", func() {
		d := newDeployment()
		d.run(poolsFile, "pools apply - --author kirsty")
		d.run("[booking]\nservice = orders", "pools apply - --if-version 1 --author dorj")
		d.run("[booking]\nservice = bookings", "pools apply - --if-version 1 --author kirsty")
		d.run("", "pools get booking")
		golden(d, "race")
	})

	It("recovers from a store that loses acknowledgements, then goes down", func() {
		d := newDeployment()
		d.note("the next acknowledgement is lost")
		d.store.LoseAcks(1)
		d.run(poolsFile, "pools apply - --author kirsty")
		d.note("every acknowledgement is lost")
		d.store.LoseAcks(100)
		d.run("[lost]\nservice = lost", "pools apply - --author kirsty")
		d.store.LoseAcks(0)
		d.note("the table service is down")
		d.store.SetDown(true)
		d.run("[late]\nservice = late", "pools apply - --output json")
		d.run("", "pools get booking")
		d.run("", "change change-02 --base 1")
		d.note("it is back")
		d.store.SetDown(false)
		d.run("", "change change-02 --base 1")
		d.run("[late]\nservice = late", "pools apply - --change-id change-03 --author kirsty")
		d.run("[late]\nservice = late", "pools apply - --change-id change-03 --author kirsty")
		golden(d, "store_down")
	})

	It("shows no tables without the token", func() {
		d := newDeployment()
		Expect(d.run("", "--token wrong pools list")).To(Equal(ctl.ExitFailed))
		Expect(d.run(poolsFile, "--token wrong pools apply -")).To(Equal(ctl.ExitFailed))
		golden(d, "token")
	})
})

var _ = Describe("a change on a host that can't be reached", func() {
	run := func(address string) int {
		return ctl.Run(context.Background(), []string{"--admin", address, "pools", "delete", "x"},
			ctl.Options{Streams: ctl.Streams{Out: GinkgoWriter, Err: GinkgoWriter}})
	}
	It("has changed nothing and failed when no connection was opened", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		Expect(l.Close()).To(Succeed())
		Expect(run("http://" + l.Addr().String())).To(Equal(ctl.ExitFailed))
	})
	It("has an unknown outcome when the connection is cut", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(l.Close)
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				_, _ = c.Read(make([]byte, 1))
				_ = c.Close()
			}
		}()
		Expect(run("http://" + l.Addr().String())).To(Equal(ctl.ExitUnknown))
	})
})

package host_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/cloud/dynamo"
	"github.com/chestnutfield/chestnutfield/config/command"
	"github.com/chestnutfield/chestnutfield/config/schema"
	"github.com/chestnutfield/chestnutfield/host"
	"github.com/chestnutfield/chestnutfield/lab/platformd"
	"github.com/chestnutfield/chestnutfield/settings"
)

const (
	refusal = "HTTP/1.1 503 Busy\r\nChestnut-Not-Run: 1\r\nContent-Length: 4\r\n\r\nbusy"
	// runTime is how long a request runs, repeatWithin the time from a response or a
	// request within which a refusal is written again.
	runTime, repeatWithin = 25 * time.Millisecond, 20 * time.Millisecond
)

// repeatingTargets refuse requests for /…/refuse. They write an earlier response of the
// connection, any in turn, again around each later request, at moments that change from
// request to request.
type repeatingTargets struct {
	mu          sync.Mutex
	runs        map[string]int
	turn, conns int
	// closes is true when they close each connection 0 to 1.5 ms after an answer.
	closes bool
	// refusalsOnly is true when they write no other response again.
	refusalsOnly bool
}

// start starts a target and returns its address.
func (r *repeatingTargets) start(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go r.serve(c)
		}
	}()
	return ln.Addr().String()
}

func (r *repeatingTargets) serve(c net.Conn) {
	defer c.Close()
	r.mu.Lock()
	r.conns++
	r.mu.Unlock()
	write := func(s string) { _, _ = io.WriteString(c, s) }
	br, earlier := bufio.NewReader(c), []string{""}
	for {
		if _, err := br.Peek(1); err != nil {
			return
		}
		r.mu.Lock()
		r.turn++
		moment, after := r.turn%4, time.Duration(r.turn%5)*repeatWithin/4
		repeated := earlier[r.turn%len(earlier)]
		r.mu.Unlock()
		if moment == 0 {
			write(repeated)
		}
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if strings.Contains(req.URL.Path, "/refuse") {
			earlier = append(earlier, refusal)
			write(refusal)
			continue
		}
		r.mu.Lock()
		r.runs[req.URL.Path]++
		r.mu.Unlock()
		time.Sleep(after)
		if moment == 1 || moment == 2 {
			write(repeated)
		}
		time.Sleep(runTime - after)
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(req.URL.Path), req.URL.Path)
		if !r.refusalsOnly {
			earlier = append(earlier, answer)
		}
		write(answer)
		if r.closes {
			time.Sleep(after * 3 / 40)
			return
		}
		if moment == 3 {
			time.AfterFunc(after, func() { write(repeated) })
		}
	}
}

func (r *repeatingTargets) count(path string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[path]
}

func (r *repeatingTargets) connections() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.conns
}

// startHosts starts entry hosts with routes to the given targets.
func startHosts(t *testing.T, n int, targets []string) []*host.Host {
	g := NewWithT(t)
	p := platformd.New(platformd.Options{})
	g.Expect(p.Start("127.0.0.1:0")).To(Succeed())
	t.Cleanup(func() { _ = p.Close() })
	hosts := lo.Times(n, func(i int) *host.Host {
		free := netip.MustParseAddrPort("127.0.0.1:0")
		h, err := host.New(&settings.Settings{
			Host:     settings.Host{Name: fmt.Sprintf("entry-%d", i), FailureDomain: domain(i), Handoff: true},
			Listen:   settings.Listen{Callers: free, Admin: free, Peers: free},
			Platform: settings.Platform{Table: p.URL(), Objects: p.URL(), Hosts: p.URL()},
		}, host.Options{})
		g.Expect(err).NotTo(HaveOccurred())
		h.Start()
		t.Cleanup(h.Kill)
		return h
	})
	routes := ""
	for name, keys := range map[string]string{
		"specs": "class = lookup\nidempotent = true\n", "orders": "class = order\n", "batches": "class = batch\n", "uploads": "class = order\nupload = true\n",
	} {
		routes += fmt.Sprintf("[%s]\npath_prefix = /%s/\npool = catalogue\nmethods = GET, POST\ntimeout = 10s\n%s", name, name, keys)
	}
	pools := "[catalogue]\nslots = 50\ntargets = " + strings.Join(targets, "@a, ") + "@a\n"
	for _, table := range []struct {
		kind schema.TableName
		text string
	}{{schema.Pools, pools}, {schema.Routes, routes}} {
		r := command.New(command.Options{Store: dynamo.New(dynamo.Options{Endpoint: p.URL()})}).
			Do(context.Background(), command.Request{Table: table.kind, Operation: schema.Apply, File: "f", Data: []byte(table.text), ChangeID: "change-" + string(table.kind)})
		g.Expect(r.State).To(Equal(command.Accepted), "%+v", r)
	}
	for _, h := range hosts {
		g.Eventually(func() int { return lookupStatus(h) }).WithTimeout(waitTimeout).Should(Equal(http.StatusOK))
	}
	return hosts
}

// resultsAmongRefusals sends each caller's requests of the given kinds between refused
// ones. It returns which of them were called not run though they ran, which ran more than
// once, and which got the answer to another request.
func resultsAmongRefusals(t *testing.T, targets *repeatingTargets, kinds ...string) (untrue, twice, foreign []string) {
	const callers, requests = 20, 16
	targets.runs = map[string]int{}
	hosts := startHosts(t, 2, lo.Times(8, func(int) string { return targets.start(t) }))
	var calls sync.WaitGroup
	var mu sync.Mutex
	refused := map[string]bool{}
	for i := range callers {
		calls.Go(func() {
			for j := range requests {
				h, id := hosts[(i+j)%len(hosts)], fmt.Sprintf("%d-%d", i, j)
				kind, keyed := strings.CutPrefix(kinds[j%len(kinds)], "keyed ")
				_, _ = send(h, http.MethodPost, "/"+kind+"/refuse/"+id, "")
				time.Sleep(time.Duration(j%5) * repeatWithin / 4)
				path := "/" + kind + "/run/" + id
				r, err := send(h, http.MethodPost, path, lo.Ternary(keyed, id, ""))
				mu.Lock()
				refused[path] = err == nil && r.status == http.StatusServiceUnavailable
				if r.status == http.StatusOK && r.body != path {
					foreign = append(foreign, path)
				}
				mu.Unlock()
			}
		})
	}
	calls.Wait()
	time.Sleep(2 * runTime)
	for path, refused := range refused {
		if refused && targets.count(path) > 0 {
			untrue = append(untrue, path)
		}
		if targets.count(path) > 1 {
			twice = append(twice, path)
		}
	}
	t.Logf("%d requests on %d connections of targets: %d refusals untrue, %d ran twice, %d foreign answers",
		2*callers*requests, targets.connections(), len(untrue), len(twice), len(foreign))
	return untrue, twice, foreign
}

// TestEarlierRefusalIsNoAnswerToAnOrder guards against orders that are called not run,
// or sent to a second target, because a target wrote an earlier refusal once more.
func TestEarlierRefusalIsNoAnswerToAnOrder(t *testing.T) {
	g := NewWithT(t)
	untrue, twice, foreign := resultsAmongRefusals(t, &repeatingTargets{}, "orders", "batches", "uploads", "keyed orders")
	g.Expect(untrue).To(BeEmpty())
	g.Expect(twice).To(BeEmpty())
	g.Expect(foreign).To(BeEmpty())
}

// TestEarlierRefusalIsNoAnswerToALookup guards against lookups that are called not run
// though they ran, because a target wrote an earlier refusal once more.
func TestEarlierRefusalIsNoAnswerToALookup(t *testing.T) {
	untrue, _, _ := resultsAmongRefusals(t, &repeatingTargets{refusalsOnly: true}, "specs")
	NewWithT(t).Expect(untrue).To(BeEmpty())
}

// TestOrdersAtTargetsThatCloseConnections guards against orders that are lost because a
// target closes its connections, unannounced, shortly after an answer.
func TestOrdersAtTargetsThatCloseConnections(t *testing.T) {
	const orders = 60
	g := NewWithT(t)
	targets := &repeatingTargets{runs: map[string]int{}, closes: true}
	h := startHosts(t, 1, []string{targets.start(t)})[0]
	before := targets.connections()
	for i := range orders {
		path := fmt.Sprint("/orders/run/", i)
		r, err := send(h, http.MethodPost, path, "")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(r.status).To(Equal(http.StatusOK))
		g.Expect(targets.count(path)).To(Equal(1))
	}
	g.Expect(targets.connections() - before).To(BeNumerically("<=", orders))
}

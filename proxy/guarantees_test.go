package proxy

import (
	"fmt"
	"hash/fnv"
	"math/rand"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutfield/chestnutfield/table"
)

// runCounter counts how often upstreams ran each request.
type runCounter struct {
	mu   sync.Mutex
	runs map[string]int
}

func (r *runCounter) ran(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id]++
}

func (r *runCounter) of(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

// faulty responds to each request with a fault that depends only on the seed
// and the path.
func (r *runCounter) faulty(seed string) func(u *rawConn) {
	return func(u *rawConn) {
		for {
			req, _, ok := u.request()
			if !ok {
				return
			}
			id := req.URL.Path
			h := fnv.New32a()
			_, _ = h.Write([]byte(seed + id))
			fault := h.Sum32() % 10
			if fault == 0 {
				u.send(notRunResponse)
				continue
			}
			r.ran(id)
			whole := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id)
			switch fault {
			case 1:
				return
			case 2:
				u.send(whole[:len(whole)-3])
				return
			case 3:
				u.waitClosed()
				u.send(whole)
				return
			case 4:
				u.send(whole + whole)
			case 5:
				u.send("HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n")
			case 6:
				u.send(fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(id), id))
				return
			default:
				u.send(whole)
			}
		}
	}
}

// violationOf compares the response that a caller received with what ran. It
// returns a description of the guarantee that was violated, or "".
func violationOf(r *runCounter, id string, resp *http.Response, body string, err error) string {
	runs := r.of(id)
	switch {
	case err == nil && resp.StatusCode == 200 && body != id:
		return fmt.Sprintf("%s received the body %q of another request", id, body)
	case err == nil && resp.Header.Get("Chestnut-Outcome") == "not-run" && runs > 0:
		return fmt.Sprintf("%s was reported as not run, but ran", id)
	}
	return ""
}

var _ = Describe("many callers of faulty upstreams", func() {
	It("get their own complete responses and correct outcomes, and orders run at most once", func() {
		const callers, calls, seed = 16, 60, 20261203
		r := &runCounter{runs: map[string]int{}}
		b := newHarness([]*rawUpstream{newUpstream(r.faulty("a")), newUpstream(r.faulty("b")), newUpstream(r.faulty("c"))},
			withRoute("lookup", func(t *table.Route) { t.Timeout, t.HedgeAfter, t.Retries = 200*time.Millisecond, 5*time.Millisecond, 2 }),
			withRoute("order", func(t *table.Route) { t.Timeout = 50 * time.Millisecond }))
		b.budget.left.Store(callers * calls)
		var violations sync.Map
		var wg sync.WaitGroup
		for n := range callers {
			wg.Go(func() {
				defer GinkgoRecover()
				rng := rand.New(rand.NewSource(int64(seed + n)))
				c := b.dial()
				for i := range calls {
					raw, id := getSpec, fmt.Sprintf("/specs/%d-%d", n, i)
					if rng.Intn(2) == 0 {
						raw, id = postOrder, fmt.Sprintf("/orders/%d-%d", n, i)
					}
					method, rest, _ := strings.Cut(raw, " ")
					_, rest, _ = strings.Cut(rest, " ")
					c.send(method + " " + id + " " + rest)
					resp, body, err := c.readResponse(method)
					if violation := violationOf(r, id, resp, body, err); violation != "" {
						violations.Store(violation, true)
					}
					if err != nil || resp.Close {
						c = b.dial()
					}
				}
			})
		}
		wg.Wait()
		for id, runs := range r.runs {
			if strings.HasPrefix(id, "/orders/") && runs > 1 {
				violations.Store(fmt.Sprintf("%s ran %d times", id, runs), true)
			}
		}
		violations.Range(func(violation, _ any) bool {
			Fail(fmt.Sprintf("seed %d: %s", seed, violation))
			return false
		})
		Eventually(b.balancer.inFlight, "10s").Should(BeZero())
	})
})

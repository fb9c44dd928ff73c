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

// ranCount counts how often upstreams ran each request.
type ranCount struct {
	mu   sync.Mutex
	runs map[string]int
}

func (r *ranCount) ran(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id]++
}

func (r *ranCount) of(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

// moody answers each request by its path, with a mood that depends on the
// path and the upstream alone.
func (r *ranCount) moody(seed string) func(u *rawConn) {
	return func(u *rawConn) {
		for {
			req, _, ok := u.request()
			if !ok {
				return
			}
			id := req.URL.Path
			h := fnv.New32a()
			_, _ = h.Write([]byte(seed + id))
			mood := h.Sum32() % 10
			if mood == 0 {
				u.send(shedAnswer)
				continue
			}
			r.ran(id)
			whole := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id)
			switch mood {
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

// promiseKept checks what one caller learned against what ran.
func promiseKept(r *ranCount, id string, resp *http.Response, body string, err error) string {
	runs := r.of(id)
	switch {
	case err == nil && resp.StatusCode == 200 && body != id:
		return fmt.Sprintf("%s got %q", id, body)
	case err == nil && resp.Header.Get("Chestnut-Outcome") == "not-run" && runs > 0:
		return fmt.Sprintf("%s is said not to have run, and ran", id)
	}
	return ""
}

var _ = Describe("many callers of moody upstreams", func() {
	It("get their own whole answers and true outcomes, and orders run at most once", func() {
		const callers, calls, seed = 16, 60, 20261203
		r := &ranCount{runs: map[string]int{}}
		b := newBed([]*rawUpstream{newUpstream(r.moody("a")), newUpstream(r.moody("b")), newUpstream(r.moody("c"))},
			withRoute("lookup", func(t *table.Route) { t.Timeout, t.HedgeAfter, t.Retries = 200*time.Millisecond, 5*time.Millisecond, 2 }),
			withRoute("order", func(t *table.Route) { t.Timeout = 50 * time.Millisecond }))
		b.budget.left.Store(callers * calls)
		var broken sync.Map
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
					resp, body, err := c.answer(method)
					if wrong := promiseKept(r, id, resp, body, err); wrong != "" {
						broken.Store(wrong, true)
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
				broken.Store(fmt.Sprintf("%s ran %d times", id, runs), true)
			}
		}
		broken.Range(func(wrong, _ any) bool {
			Fail(fmt.Sprintf("seed %d: %s", seed, wrong))
			return false
		})
		Eventually(b.balancer.inFlight, "10s").Should(BeZero())
	})
})

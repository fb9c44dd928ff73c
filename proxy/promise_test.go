package proxy

import (
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/chestnutfield/chestnutfield/lb"
	"github.com/chestnutfield/chestnutfield/outcome"
	"github.com/chestnutfield/chestnutfield/table"
)

// withStatusPromises is the signed dialect of callers that take a status alone for the
// promise that a request has not run.
func withStatusPromises(o *Options, t *table.Tables) {
	withSignedDialect(o, t)
	o.Dialect.StatusPromises = true
}

// promisedStatuses are the statuses that promise that a request has not run.
var promisedStatuses = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// framings are the ways to delimit a body of five bytes.
var framings = map[string]string{
	"length":      "HTTP/1.1 STATUS\r\nContent-Length: 5\r\nLINES\r\nran 5",
	"chunks":      "HTTP/1.1 STATUS\r\nTransfer-Encoding: chunked\r\nLINES\r\n5\r\nran 5\r\n0\r\n\r\n",
	"until close": "HTTP/1.1 STATUS\r\nLINES\r\nran 5",
	"HTTP/1.0":    "HTTP/1.0 STATUS\r\nLINES\r\nran 5",
	"no body":     "HTTP/1.1 STATUS\r\nContent-Length: 0\r\nLINES\r\n",
	"interim":     "HTTP/1.1 103 Hints\r\nLink: a\r\n\r\nHTTP/1.1 STATUS\r\nContent-Length: 5\r\nLINES\r\nran 5",
	"large":       "HTTP/1.1 STATUS\r\nContent-Length: 100000\r\nLINES\r\nran 5" + strings.Repeat("a", 99_995),
}

// failedWith returns the response of a target with a status and header lines.
func failedWith(framing string, status int, lines string) string {
	response := strings.Replace(framings[framing], "STATUS", fmt.Sprintf("%d Failed", status), 1)
	return strings.Replace(response, "LINES", "Bend-Id: r\r\n"+lines, 1)
}

// respondOnce runs a request, answers it and closes the connection.
func respondOnce(runs *atomic.Int32, response string) func(u *rawConn) {
	return func(u *rawConn) {
		if _, _, ok := u.request(); ok {
			runs.Add(1)
			u.send(response)
		}
	}
}

// Guards against an order that has run and whose caller is promised that it has not:
// the target fails it with a status that callers take for that promise, but without the
// header that says so.
func TestFailedOrderIsNotPromisedNotToHaveRun(t *testing.T) {
	for _, status := range promisedStatuses {
		for framing := range framings {
			for _, lines := range []string{"", "Bend-Seal: s\r\n", "Retry-After: 1\r\n"} {
				t.Run(fmt.Sprint(status, "/", framing, "/", lines), func(t *testing.T) {
					RegisterTestingT(t)
					var runs, others atomic.Int32
					grey := startUpstream(respondOnce(&runs, failedWith(framing, status, lines)))
					other := startUpstream(respondOnce(&others, soundResponse))
					b := startHarness([]*rawUpstream{grey, other}, withStatusPromises)
					t.Cleanup(func() { b.abort(); grey.ln.Close(); other.ln.Close() })
					expectFailed(b, spoiledOrder)
					Expect(runs.Load()).To(BeEquivalentTo(1))
					Expect(others.Load()).To(BeZero(), "the order was sent again")
				})
			}
		}
	}
}

// expectFailed sends a request and expects 502, with an unknown outcome and nothing of
// the target's response.
func expectFailed(b *harness, request string) {
	resp, body, err := b.tryAsk(request)
	Expect(err).NotTo(HaveOccurred())
	Expect(resp.StatusCode).To(Equal(http.StatusBadGateway))
	Expect(resp.Header.Get("Chestnut-Outcome")).To(Equal("unknown"))
	Expect(resp.Header).NotTo(HaveKey("Bend-Seal"))
	Expect(resp.Header).NotTo(HaveKey("Retry-After"))
	Expect(body).NotTo(ContainSubstring("ran 5"))
}

// Guards against the same promise on the way through another host, of this version or of
// one that passes the response on.
func TestFailedOrderIsNotPromisedNotToHaveRunByARelay(t *testing.T) {
	for _, status := range promisedStatuses {
		for _, earlier := range []bool{false, true} {
			t.Run(fmt.Sprint(status, earlier), func(t *testing.T) {
				RegisterTestingT(t)
				var runs atomic.Int32
				response := failedWith("length", status, "Bend-Seal: s\r\n")
				if earlier {
					response = failedWith("length", status, "Bend-Seal: s\r\nChestnut-Handover: answered\r\n")
				}
				grey := startUpstream(respondOnce(&runs, response))
				next := grey.addr()
				if !earlier {
					relay := startHarness([]*rawUpstream{grey}, withStatusPromises, asOwner)
					t.Cleanup(relay.abort)
					next = relay.addrPort()
				}
				b := startHarness(nil, withStatusPromises, handingOver(&peerBalancer{orderedBalancer{targets: []netip.AddrPort{next}}}))
				t.Cleanup(func() { b.abort(); grey.ln.Close() })
				expectFailed(b, spoiledOrder)
				Expect(runs.Load()).To(BeEquivalentTo(1))
			})
		}
	}
}

// Guards against a true statement that an order has not run that is no longer believed:
// it goes to another target, and with none the refusal is passed on.
func TestOrderThatATargetDidNotRunGoesToAnotherOrIsRefused(t *testing.T) {
	for _, status := range []int{http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		RegisterTestingT(t)
		var refusals, runs atomic.Int32
		refusal := failedWith("length", status, "Chestnut-Not-Run: 1\r\nRetry-After: 7\r\n")
		full := startUpstream(respondOnce(&refusals, refusal))
		other := startUpstream(respondOnce(&runs, soundResponse))
		t.Cleanup(func() { full.ln.Close(); other.ln.Close() })
		b := startHarness([]*rawUpstream{full, other}, withStatusPromises)
		resp, body, err := b.tryAsk(spoiledOrder)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusOK))
		Expect(body).To(Equal("sound"))
		b.abort()
		b = startHarness([]*rawUpstream{full}, withStatusPromises)
		resp, _, err = b.tryAsk(spoiledOrder)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(status))
		Expect(resp.Header.Get("Retry-After")).To(Equal("7"))
		b.abort()
		Expect(refusals.Load()).To(BeEquivalentTo(2))
		Expect(runs.Load()).To(BeEquivalentTo(1))
	}
}

// Guards against the same promise for a body that is streamed, whether the target answers
// before or after it has all of it.
func TestFailedUploadIsNotPromisedNotToHaveRun(t *testing.T) {
	const bodyBytes = 200_000
	upload := fmt.Sprintf("POST /orders/a HTTP/1.1\r\nHost: h\r\nBend-Id: r\r\nContent-Length: %d\r\n\r\n", bodyBytes) + strings.Repeat("u", bodyBytes)
	for _, status := range promisedStatuses {
		for _, early := range []bool{false, true} {
			t.Run(fmt.Sprint(status, "/", early), func(t *testing.T) {
				b := startCutTest(t, func(u *rawConn) {
					if early {
						_, _ = u.br.Peek(bodyBytes / 100)
					} else if _, _, ok := u.request(); !ok {
						return
					}
					u.send(failedWith("length", status, "Bend-Seal: s\r\n"))
					u.waitClosed()
				}, withStatusPromises)
				expectFailed(b, upload)
			})
		}
	}
}

// Guards against a lookup whose target's status changes: its caller repeats it whatever
// the status, and Retry-After is of use.
func TestFailedLookupKeepsTheStatusOfItsTarget(t *testing.T) {
	for _, status := range promisedStatuses {
		RegisterTestingT(t)
		b := startCutTest(t, respondAlways(failedWith("length", status, "Retry-After: 7\r\n")), withStatusPromises)
		resp, body, err := b.tryAsk(spoiledLookup)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(status))
		Expect(body).To(Equal("ran 5"))
	}
}

// Guards against another status than the target's for an order of callers who take the
// promise from a header alone.
func TestFailedOrderKeepsItsStatusWhereAHeaderPromises(t *testing.T) {
	for _, status := range promisedStatuses {
		RegisterTestingT(t)
		b := startCutTest(t, respondAlways(failedWith("length", status, "")))
		resp, body, err := b.tryAsk(spoiledOrder)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(status))
		Expect(resp.Header).NotTo(HaveKey("Chestnut-Outcome"))
		Expect(body).To(Equal("ran 5"))
	}
}

// Guards against a record of an order that ran, kept by an older version, that promises
// the caller of a repeat that it has not.
func TestRecordedFailureIsNotReplayedAsAPromise(t *testing.T) {
	for _, status := range promisedStatuses {
		b := startCutTest(t, closeWithoutResponse, withStatusPromises)
		b.ledger.claim = lb.Claim{State: lb.ClaimDone, Response: &lb.RecordedResponse{Status: status}}
		resp, _, err := b.tryAsk(keyedOrder)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusConflict))
		Expect(resp.Header.Get("Chestnut-Outcome")).To(Equal("ran"))
	}
}

// Guards against a response of a further host behind this one that says that it did not
// run the request, passed on although an attempt at another target may have run.
func TestOutcomeOfAFurtherHostIsNotThatOfAllAttempts(t *testing.T) {
	refusal := "HTTP/1.1 503 Busy\r\nOUTCOME: not-run\r\nContent-Length: 0\r\n\r\n"
	for _, name := range []string{"Chestnut-Outcome", "chestnut-outcome"} {
		for first, want := range map[string]string{"loses": "unknown", "down": "not-run"} {
			t.Run(name+"/"+first, func(t *testing.T) {
				RegisterTestingT(t)
				loser := startUpstream(closeWithoutResponse)
				further := startUpstream(respondAlways(strings.Replace(refusal, "OUTCOME", name, 1)))
				b := startHarness([]*rawUpstream{loser, further})
				t.Cleanup(func() { b.abort(); loser.ln.Close(); further.ln.Close() })
				if first == "down" {
					b.balancer.targets[0] = unusedAddr(0)
				}
				resp, _, err := b.tryAsk(getSpec)
				Expect(err).NotTo(HaveOccurred())
				Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
				Expect(resp.Header.Values("Chestnut-Outcome")).To(Equal([]string{want}))
			})
		}
	}
}

// Guards against a reply of a host that promises more than is known of the request.
func TestRepliesPromiseWhatIsKnown(t *testing.T) {
	RegisterTestingT(t)
	for reason := range reasonStatus {
		for _, o := range []outcome.Outcome{outcome.NotRun, outcome.Unknown, outcome.Ran} {
			p := newLocalReply(reason, o, "")
			Expect(o == outcome.NotRun || !outcome.PromisesNotRun(p.status)).To(BeTrue(), "%s, %s: %d", reason, o, p.status)
			for _, status := range promisedStatuses {
				p.status = status
				Expect(p.afterDispatch(o).status == status).To(Equal(o == outcome.NotRun), "%s: %d", o, status)
			}
		}
	}
}

package proxy

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/chestnutfield/chestnutfield/http1"
	"github.com/chestnutfield/chestnutfield/table"
)

// spoiledHeads are responses whose header, or that of an interim response before
// them, is not HTTP/1.1. STATUS stands for a status line of the response.
var spoiledHeads = map[string]string{
	"status 000":                     "HTTP/1.1 000 None\r\nBend-Id: r\r\nBend-Seal: s\r\nContent-Length: 4\r\n\r\nfake",
	"status 700":                     "HTTP/1.1 700 None\r\nBend-Id: r\r\nBend-Seal: s\r\nContent-Length: 4\r\n\r\nfake",
	"NUL in the reason":              "STATUS\x00\r\nBend-Id: r\r\nBend-Seal: s\r\nContent-Length: 4\r\n\r\nfake",
	"DEL in the reason":              "STATUS\x7f\r\nBend-Id: r\r\nBend-Seal: s\r\nContent-Length: 4\r\n\r\nfake",
	"blank in a name":                "STATUS\r\nBend-Id: r\r\nBend-Seal: s\r\nServer Load: 1\r\nContent-Length: 4\r\n\r\nfake",
	"blank before a colon":           "STATUS\r\nBend-Id: r\r\nBend-Seal: s\r\nServer-Load : 1\r\nContent-Length: 4\r\n\r\nfake",
	"blank in the length's name":     "STATUS\r\nBend-Id: r\r\nBend-Seal: s\r\nContent-Length : 4\r\n\r\nfakemore",
	"blank in the coding's name":     "STATUS\r\nBend-Id: r\r\nBend-Seal: s\r\nTransfer-Encoding : chunked\r\n\r\n4\r\nfake\r\n0\r\n\r\n",
	"blank inside the length":        "STATUS\r\nBend-Id: r\r\nBend-Seal: s\r\nContent Length: 9\r\nContent-Length: 4\r\n\r\nfake",
	"control byte in a name":         "STATUS\r\nBend-Id: r\r\nBend-Seal: s\r\nServer\x01Load: 1\r\nContent-Length: 4\r\n\r\nfake",
	"control byte in a value":        "STATUS\r\nBend-Id: r\r\nBend-Seal: s\r\nServer-Load: \x01\r\nContent-Length: 4\r\n\r\nfake",
	"blank in an interim name":       "HTTP/1.1 103 Hints\r\nServer Load: 1\r\n\r\nSTATUS\r\nBend-Id: r\r\nBend-Seal: s\r\nContent-Length: 4\r\n\r\nfake",
	"control byte in an interim":     "HTTP/1.1 103 H\x01\r\n\r\nSTATUS\r\nBend-Id: r\r\nBend-Seal: s\r\nContent-Length: 4\r\n\r\nfake",
	"blank in a trailer's name":      "STATUS\r\nBend-Id: r\r\nBend-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfake\r\n0\r\nServer Load: 1\r\n\r\n",
	"control byte in a trailer":      "STATUS\r\nBend-Id: r\r\nBend-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfake\r\n0\r\nServer-Load: \x01\r\n\r\n",
	"blank before a trailer's colon": "STATUS\r\nBend-Id: r\r\nBend-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfake\r\n0\r\nServer-Load : 1\r\n\r\n",
	"two lengths":                    "STATUS\r\nBend-Id: r\r\nBend-Seal: s\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\nfake",
	"length and chunks":              "STATUS\r\nBend-Id: r\r\nBend-Seal: s\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfake\r\n0\r\n\r\n",
}

const (
	spoiledLookup = "GET /specs/a HTTP/1.1\r\nHost: h\r\nBend-Id: r\r\n\r\n"
	spoiledOrder  = "POST /orders/a HTTP/1.1\r\nHost: h\r\nBend-Id: r\r\nContent-Length: 5\r\n\r\nhello"
	soundResponse = "HTTP/1.1 200 OK\r\nBend-Id: r\r\nBend-Seal: s\r\nContent-Length: 5\r\n\r\nsound"
)

// spoiledTest is a proxy with a target that sends spoiled responses and a sound one.
type spoiledTest struct {
	*harness
	spoiler, sound *rawUpstream
	logs           *observer.ObservedLogs
	registry       *prometheus.Registry
	orders         atomic.Int32
}

func startSpoiledTest(t *testing.T, response string, options ...harnessOption) *spoiledTest {
	RegisterTestingT(t)
	s := &spoiledTest{registry: prometheus.NewRegistry()}
	s.spoiler = startUpstream(respondAlways(response))
	s.sound = startUpstream(func(u *rawConn) {
		for {
			req, _, ok := u.request()
			if !ok {
				return
			}
			if req.Method == http.MethodPost {
				s.orders.Add(1)
			}
			u.send(soundResponse)
		}
	})
	core, logs := observer.New(zap.WarnLevel)
	s.logs = logs
	monitor, err := http1.NewMonitor(zap.New(core), s.registry)
	Expect(err).NotTo(HaveOccurred())
	s.harness = startHarness([]*rawUpstream{s.spoiler, s.sound}, append(options, func(o *Options, _ *table.Tables) {
		o.Responses = monitor
	})...)
	t.Cleanup(func() {
		s.abort()
		s.spoiler.ln.Close()
		s.sound.ln.Close()
	})
	return s
}

// rejected returns the number of responses of targets that were rejected and counted.
func (s *spoiledTest) rejected() float64 {
	families, err := s.registry.Gather()
	Expect(err).NotTo(HaveOccurred())
	total := 0.0
	for _, f := range families {
		for _, m := range f.GetMetric() {
			total += m.GetCounter().GetValue()
		}
	}
	return total
}

// buffersAll makes the proxy read responses with chunks whole before it forwards them.
var buffersAll = withLimits(func(l *Limits) { l.BufferUnknownLength = true })

// Guards against bytes that are no HTTP/1.1 response and reach a caller as one: a
// lookup goes to another target, an order that may have run fails with 502 and is not
// repeated, and the connection is not used again.
func TestSpoiledResponsesReachNoCaller(t *testing.T) {
	for _, status := range []string{"HTTP/1.1 200 OK", "HTTP/1.1 404 Not Found", "HTTP/1.1 500 Failed"} {
		for name, response := range spoiledHeads {
			response = strings.Replace(response, "STATUS", status, 1)
			for _, dialect := range []string{"signed", "own"} {
				options := []harnessOption{buffersAll}
				if dialect == "signed" {
					options = append(options, withSignedDialect)
				}
				t.Run(status+"/"+name+"/"+dialect, func(t *testing.T) {
					s := startSpoiledTest(t, response, options...)
					s.check()
				})
			}
		}
	}
}

func (s *spoiledTest) check() {
	for range 2 {
		resp, body, err := s.tryAsk(spoiledLookup)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusOK))
		Expect(body).To(Equal("sound"))
	}
	Expect(s.spoiler.conns.Load()).To(BeEquivalentTo(2), "connections to the target that spoils responses")
	resp, body, err := s.tryAsk(spoiledOrder)
	Expect(err).NotTo(HaveOccurred())
	Expect(resp.StatusCode).To(Equal(http.StatusBadGateway))
	Expect(resp.Header.Get("Chestnut-Outcome")).To(Equal("unknown"))
	Expect(body).NotTo(ContainSubstring("fake"))
	Expect(s.orders.Load()).To(BeZero(), "orders repeated at another target")
	Expect(s.rejected()).To(BeNumerically(">=", 3))
	Expect(s.logs.Len()).To(BeNumerically(">=", 3))
	for _, line := range s.logs.All() {
		fields := line.ContextMap()
		Expect(fields).To(HaveKeyWithValue("source", "target"))
		Expect(fields).To(HaveKeyWithValue("from", s.spoiler.addr().String()))
		Expect(fields["reason"]).NotTo(BeEmpty())
	}
}

// Guards against a streamed response with a spoiled trailer that ends as a whole one.
func TestStreamedResponseWithSpoiledTrailerIsCut(t *testing.T) {
	for _, trailer := range []string{"Server Load: 1", "Server-Load : 1", "Server-Load: \x01", "Server-Load", "Content-Length: 4"} {
		t.Run(trailer, func(t *testing.T) {
			s := startSpoiledTest(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfake\r\n0\r\n"+trailer+"\r\n\r\n")
			_, _, err := s.tryAsk(spoiledLookup)
			Expect(err).To(HaveOccurred())
			Expect(s.rejected()).To(BeEquivalentTo(1))
		})
	}
}

// Guards against a spoiled response of another host that is taken for a target's.
func TestSpoiledResponseOfAnOwnerReachesNoCaller(t *testing.T) {
	for name, response := range spoiledHeads {
		response = strings.Replace(response, "STATUS", "HTTP/1.1 200 OK", 1)
		response = strings.Replace(response, "Bend-Id", "Chestnut-Handover: answered\r\nBend-Id", 1)
		t.Run(name, func(t *testing.T) {
			s := startSpoiledTest(t, response, buffersAll)
			b := startHarness(nil, buffersAll, handingOver(&peerBalancer{orderedBalancer{targets: s.balancer.targets[:1]}}))
			t.Cleanup(b.abort)
			resp, body, err := b.tryAsk(spoiledOrder)
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.StatusCode).To(Equal(http.StatusBadGateway))
			Expect(body).NotTo(ContainSubstring("fake"))
		})
	}
}

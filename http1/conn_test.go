package http1

import (
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// serveRaw answers each request on the connections of a listener with the same bytes.
func serveRaw(t *testing.T, ln net.Listener, response string) {
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				buf := make([]byte, 4<<10)
				for {
					if _, err := c.Read(buf); err != nil {
						return
					}
					_, _ = io.WriteString(c, response)
				}
			}()
		}
	}()
}

// guardedClient returns a client, the base URL of a server that answers with the same
// bytes, over TLS or plain TCP, and the client's monitor.
func guardedClient(t *testing.T, response string, secure bool) (*http.Client, string, *observer.ObservedLogs, *prometheus.Registry) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	transport, scheme := &http.Transport{}, "http://"
	if secure {
		certified := httptest.NewTLSServer(nil)
		t.Cleanup(certified.Close)
		transport.TLSClientConfig = certified.Client().Transport.(*http.Transport).TLSClientConfig.Clone()
		transport.TLSClientConfig.ServerName = "example.com"
		ln, scheme = tls.NewListener(ln, &tls.Config{Certificates: certified.TLS.Certificates}), "https://"
	}
	serveRaw(t, ln, response)
	core, logs := observer.New(zap.WarnLevel)
	registry := prometheus.NewRegistry()
	m, err := NewMonitor(zap.New(core), registry)
	Expect(err).NotTo(HaveOccurred())
	Guard(transport, Host, m)
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport, Timeout: 10 * time.Second}, scheme + ln.Addr().String(), logs, registry
}

// Guards against a transport that reads malformed responses, in plain text or over TLS,
// and against one that rejects valid ones.
func TestGuardedTransportReadsValidResponsesOnly(t *testing.T) {
	for _, secure := range []bool{false, true} {
		RegisterTestingT(t)
		expectSound(t, secure)

		client, url, logs, registry := guardedClient(t, invalid["status 000"].stream, secure)
		_, err := client.Get(url)
		var malformed *Error
		Expect(errors.As(err, &malformed)).To(BeTrue(), "%v", err)
		Expect(malformed.Reason).To(Equal(Status))
		Expect(testutil.GatherAndCount(registry, "chestnut_malformed_responses_total")).To(Equal(1))
		Expect(logs.Len()).To(Equal(1))
		Expect(logs.All()[0].ContextMap()).To(And(HaveKeyWithValue("source", "host"), HaveKeyWithValue("reason", "status")))
	}
}

func expectSound(t *testing.T, secure bool) {
	client, url, logs, _ := guardedClient(t, valid["a length"], secure)
	for range 3 {
		response, err := client.Get(url)
		Expect(err).NotTo(HaveOccurred())
		body, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(body)).To(Equal("done"))
	}
	Expect(logs.Len()).To(BeZero())
}

// Guards against a HEAD request whose response waits for a body.
func TestGuardedTransportKnowsHEAD(t *testing.T) {
	RegisterTestingT(t)
	client, url, _, _ := guardedClient(t, ok+"Content-Length: 400\r\n\r\n", false)
	for range 2 {
		response, err := client.Head(url)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.ContentLength).To(BeEquivalentTo(400))
		_ = response.Body.Close()
	}
}

// Guards against a second response to one request that the next request gets.
func TestConnReadsOneResponseForEachRequest(t *testing.T) {
	RegisterTestingT(t)
	client, server := net.Pipe()
	defer client.Close()
	go func() {
		buf := make([]byte, 1<<10)
		for range 2 {
			_, _ = server.Read(buf)
			_, _ = io.WriteString(server, valid["a length"]+valid["chunks"])
		}
	}()
	var rejected []Reason
	c := NewConn(client, func(err *Error) { rejected = append(rejected, err.Reason) })
	_, _ = io.WriteString(c, "GET / HTTP/1.1\r\n\r\n")
	buf := make([]byte, 4<<10)
	n, err := c.Read(buf)
	Expect(err).NotTo(HaveOccurred())
	Expect(string(buf[:n])).To(Equal(valid["a length"]))
	_, err = c.Read(buf)
	Expect(err).To(HaveOccurred())
	_, _ = io.WriteString(c, "GET / HTTP/1.1\r\n\r\n")
	_, err = c.Read(buf)
	Expect(err).To(HaveOccurred())
	Expect(rejected).To(Equal([]Reason{Unsolicited}))
}

// Guards against bytes without any request that are read as a response.
func TestConnReadsNothingBeforeARequest(t *testing.T) {
	RegisterTestingT(t)
	client, server := net.Pipe()
	defer client.Close()
	go func() { _, _ = io.WriteString(server, valid["a length"]) }()
	_, err := NewConn(client, nil).Read(make([]byte, 100))
	Expect(err).To(MatchError(ContainSubstring("without a request")))
}

// Guards against an observer that is told of one rejection again and again.
func TestReaderReportsARejectionOnce(t *testing.T) {
	RegisterTestingT(t)
	reports := 0
	r := NewReader(strings.NewReader(invalid["a blank in a name"].stream), func(*Error) { reports++ })
	for range 3 {
		_, _ = io.ReadAll(r)
	}
	Expect(reports).To(Equal(1))
	Expect(r.Err()).To(HaveOccurred())
}

// Guards against a log that one sender of malformed responses fills.
func TestMonitorBoundsItsLog(t *testing.T) {
	RegisterTestingT(t)
	core, logs := observer.New(zap.WarnLevel)
	registry := prometheus.NewRegistry()
	m, err := NewMonitor(zap.New(core), registry)
	Expect(err).NotTo(HaveOccurred())
	const rejections = 1000
	for range rejections {
		m.Record(Target, "127.0.0.1:1", malformed(Status, "status 000"))
	}
	Expect(logs.Len()).To(BeNumerically("<", rejections/2))
	Expect(testutil.ToFloat64(m.malformed.WithLabelValues("target", "status"))).To(BeEquivalentTo(rejections))
	var none *Monitor
	none.Record(Target, "127.0.0.1:1", malformed(Status, "status 000"))
	Expect(none.Observer(Target, "127.0.0.1:1")).To(BeNil())
}

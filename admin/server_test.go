package admin_test

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sys/unix"

	"github.com/chestnutfield/chestnutfield/admin"
	"github.com/chestnutfield/chestnutfield/admin/api"
	"github.com/chestnutfield/chestnutfield/admin/client"
	"github.com/chestnutfield/chestnutfield/cloud/fake"
	"github.com/chestnutfield/chestnutfield/config"
	"github.com/chestnutfield/chestnutfield/config/command"
	"github.com/chestnutfield/chestnutfield/config/query"
	"github.com/chestnutfield/chestnutfield/config/schema"
	"github.com/chestnutfield/chestnutfield/table"
)

// fakeHost is a fake StatusSource whose readiness a test sets.
type fakeHost struct{ ready, stopping bool }

func (s *fakeHost) Self() api.HostStatus    { return api.HostStatus{Name: "entry-1"} }
func (s *fakeHost) Peers() []api.HostStatus { return nil }
func (s *fakeHost) Pools() []api.PoolStatus { return nil }
func (s *fakeHost) Stopping() bool          { return s.stopping }

// fakeConfig is the fake Config of that host.
type fakeConfig struct{ *fakeHost }

func (f fakeConfig) Current() *table.Tables { return table.Empty() }
func (f fakeConfig) Status() config.Status  { return config.Status{Ready: f.ready} }

func options(s *fakeHost, token string) admin.Options {
	store := fake.NewTable()
	registry := prometheus.NewRegistry()
	registry.MustRegister(prometheus.NewCounter(prometheus.CounterOpts{Name: "chestnut_sample_total"}))
	return admin.Options{Token: token, Config: fakeConfig{s}, Status: s, Metrics: registry,
		Commands: command.New(command.Options{Store: store}), Queries: query.New(store)}
}

// serve starts a server on loopback and returns its address.
func serve(o admin.Options) string {
	GinkgoHelper()
	server, err := admin.New(o)
	Expect(err).NotTo(HaveOccurred())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	go func() { _ = server.Serve(l) }()
	DeferCleanup(func() { _ = server.Shutdown(context.Background()) })
	return l.Addr().String()
}

func get(address, path, authorization string) (int, string) {
	GinkgoHelper()
	req, err := http.NewRequest(http.MethodGet, "http://"+address+path, nil)
	Expect(err).NotTo(HaveOccurred())
	if authorization != "" {
		req.Header.Set("Authorization", authorization)
	}
	res, err := http.DefaultClient.Do(req)
	Expect(err).NotTo(HaveOccurred())
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	Expect(err).NotTo(HaveOccurred())
	return res.StatusCode, string(body)
}

var _ = Describe("Shutdown", func() {
	It("before Serve makes Serve return at once", func() {
		server, err := admin.New(options(&fakeHost{ready: true}, "right"))
		Expect(err).NotTo(HaveOccurred())
		Expect(server.Shutdown(context.Background())).To(Succeed())
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer l.Close()
		ended := make(chan error, 1)
		go func() { ended <- server.Serve(l) }()
		Eventually(ended).WithTimeout(20 * time.Second).Should(Receive(BeNil()))
	})
})

var _ = Describe("authentication", func() {
	DescribeTable("by token",
		func(path, authorization string, want int) {
			address := serve(options(&fakeHost{ready: true}, "right"))
			status, body := get(address, path, authorization)
			Expect(status).To(Equal(want))
			Expect(body).NotTo(ContainSubstring("right"))
		},
		Entry("none", "/v1/pools", "", 401),
		Entry("wrong", "/v1/pools", "Bearer wrong", 401),
		Entry("a prefix", "/v1/pools", "Bearer righ", 401),
		Entry("another scheme", "/v1/pools", "Basic right", 401),
		Entry("no scheme", "/v1/pools", "right", 401),
		Entry("right", "/v1/pools", "Bearer right", 200),
		Entry("metrics without", "/metrics", "", 401),
		Entry("metrics with", "/metrics", "Bearer right", 200),
		Entry("health without", "/healthz", "", 200),
		Entry("unknown path without", "/v1/none", "", 401),
		Entry("unknown path with", "/v1/none", "Bearer right", 404),
	)

	It("needs no token on loopback when none is configured", func() {
		address := serve(options(&fakeHost{ready: true}, ""))
		status, body := get(address, "/metrics", "")
		Expect(status).To(Equal(200))
		Expect(body).To(ContainSubstring("chestnut_sample_total 0"))
	})

	It("is mandatory for listeners that are not on loopback", func() {
		server, err := admin.New(options(&fakeHost{}, ""))
		Expect(err).NotTo(HaveOccurred())
		Expect(server.Serve(nonLoopbackListener{})).To(MatchError(ContainSubstring("expected a token or TLS with client certificates")))
	})

	It("discards the HTTP library's log of unreadable requests, which may contain tokens", func() {
		server, err := admin.New(options(&fakeHost{}, "right"))
		Expect(err).NotTo(HaveOccurred())
		output := captureStderr(func() { server.HTTPLogger().Printf("Authorization: Bearer hidden") })
		Expect(output).To(BeEmpty())
	})
})

// nonLoopbackListener is a listener that is not on loopback and must not be served.
type nonLoopbackListener struct{}

func (nonLoopbackListener) Accept() (net.Conn, error) { return nil, net.ErrClosed }
func (nonLoopbackListener) Close() error              { return nil }
func (nonLoopbackListener) Addr() net.Addr {
	return &net.TCPAddr{IP: net.IPv4(10, 0, 0, 1), Port: 7002}
}

// captureStderr returns what was written to the standard error stream of the process
// during f, also through copies of the file made earlier. It redirects the file
// descriptor itself.
func captureStderr(f func()) string {
	GinkgoHelper()
	r, w, err := os.Pipe()
	Expect(err).NotTo(HaveOccurred())
	savedStderr, err := unix.Dup(unix.Stderr)
	Expect(err).NotTo(HaveOccurred())
	Expect(unix.Dup3(int(w.Fd()), unix.Stderr, 0)).To(Succeed())
	func() {
		defer func() {
			Expect(unix.Dup3(savedStderr, unix.Stderr, 0)).To(Succeed())
			Expect(unix.Close(savedStderr)).To(Succeed())
			Expect(w.Close()).To(Succeed())
		}()
		f()
	}()
	b, err := io.ReadAll(r)
	Expect(err).NotTo(HaveOccurred())
	return string(b)
}

var _ = DescribeTable("readiness",
	func(s fakeHost, want int) {
		status, _ := get(serve(options(&s, "t")), "/readyz", "")
		Expect(status).To(Equal(want))
	},
	Entry("before any configuration", fakeHost{}, 503),
	Entry("with a configuration", fakeHost{ready: true}, 200),
	Entry("during a graceful stop", fakeHost{ready: true, stopping: true}, 503),
)

var _ = Describe("TLS with client certificates", func() {
	It("accepts clients with a certificate and records its name as the author", func() {
		ca, pool := newAuthority()
		o := options(&fakeHost{ready: true}, "")
		o.TLS = &tls.Config{Certificates: []tls.Certificate{ca.issue("host")}, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert}
		address := "https://" + serve(o)
		ctx := context.Background()
		config := &tls.Config{RootCAs: pool, Certificates: []tls.Certificate{ca.issue("kirsty")}}
		c := client.New(client.Options{Address: address, TLS: config})
		res, err := c.Apply(ctx, client.ChangeOptions{Table: schema.Pools, ChangeID: "change-01", Author: "forged"}, "p", []byte("[a]\nservice = a\n"))
		Expect(err).NotTo(HaveOccurred())
		Expect(res.State).To(Equal(command.Accepted))
		h, err := c.History(ctx, schema.Pools, 1)
		Expect(err).NotTo(HaveOccurred())
		Expect(h.Changes[0].Author).To(Equal("kirsty"))

		_, err = client.New(client.Options{Address: address, TLS: &tls.Config{RootCAs: pool}}).List(ctx, schema.Pools)
		Expect(err).To(HaveOccurred())
	})
})

// authority is a certificate authority for tests.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority() (authority, *x509.CertPool) {
	GinkgoHelper()
	a := authority{}
	selfSigned := a.issue("authority")
	cert, err := x509.ParseCertificate(selfSigned.Certificate[0])
	Expect(err).NotTo(HaveOccurred())
	pool := x509.NewCertPool()
	pool.AddCert(cert)
	return authority{cert: cert, key: selfSigned.PrivateKey.(*ecdsa.PrivateKey)}, pool
}

// issue returns a certificate signed by the authority, or a self-signed one for
// the zero authority.
func (a authority) issue(name string) tls.Certificate {
	GinkgoHelper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: a.cert == nil, BasicConstraintsValid: true,
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	parent, signer := a.cert, a.key
	if parent == nil {
		parent, signer = template, key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	Expect(err).NotTo(HaveOccurred())
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}
}

var _ = Describe("a file that is too large", func() {
	It("is rejected with an error that names the file", func() {
		address := serve(options(&fakeHost{ready: true}, ""))
		body := bytes.Repeat([]byte(";"), table.MaxFileBytes+1)
		res, err := http.Post("http://"+address+"/v1/pools/apply?change=change-01&file=big.ini", "text/plain", bytes.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		defer res.Body.Close()
		Expect(res.StatusCode).To(Equal(http.StatusUnprocessableEntity))
		Expect(io.ReadAll(res.Body)).To(ContainSubstring("big.ini: found \\\"1048577 bytes\\\": expected at most 1048576 bytes"))
	})

	It("is rejected by its Content-Length when it is far too large", func() {
		c, err := net.Dial("tcp", serve(options(&fakeHost{ready: true}, "")))
		Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		fmt.Fprintf(c, "POST /v1/pools/apply HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", 100*table.MaxFileBytes)
		response, err := io.ReadAll(c)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(response)).To(HavePrefix("HTTP/1.1 413 "))
	})
})

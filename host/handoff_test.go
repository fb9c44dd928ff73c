package host_test

import (
	"bufio"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/config/schema"
	"github.com/chestnutfield/chestnutfield/host"
	"github.com/chestnutfield/chestnutfield/settings"
)

// unresponsiveTarget starts a target that accepts requests and answers none. The
// channels signal that a request has arrived and that its connection has been
// closed.
func unresponsiveTarget() (addr string, requested, closed <-chan struct{}) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(ln.Close)
	requests, closes := make(chan struct{}, 1), make(chan struct{}, 1)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				r := bufio.NewReader(conn)
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				requests <- struct{}{}
				_, _ = io.Copy(io.Discard, r)
				closes <- struct{}{}
			}()
		}
	}()
	return ln.Addr().String(), requests, closes
}

// newSelfSignedAuth writes a self-signed certificate for 127.0.0.1, which
// also serves as the certificate authority.
func newSelfSignedAuth() settings.Auth {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "entry"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	Expect(err).NotTo(HaveOccurred())
	pkcs8, err := x509.MarshalPKCS8PrivateKey(key)
	Expect(err).NotTo(HaveOccurred())
	dir := GinkgoT().TempDir()
	write := func(name, kind string, b []byte) string {
		path := filepath.Join(dir, name)
		Expect(os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: b}), 0o600)).To(Succeed())
		return path
	}
	cert := write("cert.pem", "CERTIFICATE", der)
	return settings.Auth{Cert: cert, CA: cert, Key: write("key.pem", "PRIVATE KEY", pkcs8)}
}

// waitForHandoff waits until every host has handed requests over and an owner
// has dispatched some.
func (d *deployment) waitForHandoff() {
	for _, h := range d.hosts {
		Eventually(func() string {
			lookupStatus(h)
			return metric(h, "chestnut_handoff_requests_total")
		}, waitTimeout).ShouldNot(Or(Equal("0"), BeEmpty()))
	}
	Eventually(func() []string {
		lookupStatus(d.hosts[0])
		return lo.Map(d.hosts, func(h *host.Host, _ int) string {
			return metric(h, `chestnut_added_seconds_count{class="lookup",side="peers"}`)
		})
	}, waitTimeout).Should(ContainElement(Not(BeEmpty())))
}

// expectCancellation checks for every host in turn that a request is cancelled
// at the target when its caller disconnects.
func (d *deployment) expectCancellation() {
	addr, requested, closed := unresponsiveTarget()
	d.apply(schema.Pools, "[silent]\ntargets = "+addr+"@a\n")
	d.apply(schema.Routes, "[silent]\npath_prefix = /silent/\npool = silent\nclass = order\ntimeout = 10m\n")
	for _, h := range d.hosts {
		Eventually(func() string { return metric(h, "chestnut_config_version") }, waitTimeout).Should(Equal("4"))
		ctx, cancel := context.WithCancel(context.Background())
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.CallersAddr().String()+"/silent/x", nil)
		Expect(err).NotTo(HaveOccurred())
		go func() {
			if resp, err := http.DefaultClient.Do(req); err == nil {
				resp.Body.Close()
			}
		}()
		Eventually(requested, waitTimeout).Should(Receive())
		cancel()
		Eventually(closed, waitTimeout).Should(Receive())
	}
}

var _ = Describe("a request that is handed over", func() {
	It("is cancelled at the target when the caller disconnects", func() {
		d := newDeployment(3, 3)
		d.waitUntilServing()
		d.waitForHandoff()
		d.expectCancellation()
	})

	It("uses TLS when the peers have certificates, and is cancelled as well", func() {
		d := newDeploymentWithAuth(3, 3, newSelfSignedAuth())
		d.waitUntilServing()
		d.waitForHandoff()
		d.expectCancellation()
	})

	It("is refused without a client certificate when the peers address requires one", func() {
		d := newDeploymentWithAuth(2, 2, newSelfSignedAuth())
		d.waitUntilServing()
		runs := d.runs.Totals().Runs
		request := "POST /orders/1 HTTP/1.1\r\nHost: x\r\nChestnut-Group: catalogue@a\r\nChestnut-Class: order\r\n\r\n"
		plain, err := net.Dial("tcp", d.hosts[0].PeersAddr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(plain.Close)
		noCert, err := tls.Dial("tcp", d.hosts[0].PeersAddr().String(), &tls.Config{InsecureSkipVerify: true})
		Expect(err).NotTo(HaveOccurred())
		defer noCert.Close()
		for _, conn := range []net.Conn{plain, noCert} {
			_, _ = io.WriteString(conn, request)
			got, _ := io.ReadAll(conn)
			Expect(string(got)).NotTo(ContainSubstring("HTTP/1.1"))
		}
		Expect(d.runs.Totals().Runs).To(Equal(runs))
	})
})

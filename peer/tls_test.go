package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/prometheus/client_golang/prometheus/testutil"
)

// selfSigned returns a certificate for 127.0.0.1 and a pool that trusts it.
func selfSigned() (tls.Certificate, *x509.CertPool) {
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
	parsed, err := x509.ParseCertificate(der)
	Expect(err).NotTo(HaveOccurred())
	pool := x509.NewCertPool()
	pool.AddCert(parsed)
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, pool
}

var _ = Describe("nodes with certificates", func() {
	cert, pool := tls.Certificate{}, (*x509.CertPool)(nil)
	BeforeEach(func() { cert, pool = selfSigned() })
	server := func(o *Options) {
		o.ServerTLS = &tls.Config{
			Certificates: []tls.Certificate{cert}, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert,
		}
	}
	exchanged := func(ctx SpecContext, client *tls.Config) float64 {
		a := startNode("a", func(o *Options) { o.ClientTLS = client })
		b := startNode("b", server)
		a.exchange(ctx, b.members.self.Addr)
		Expect(testutil.ToFloat64(a.metrics.bytesOut)).To(BeNumerically(">", 0))
		return testutil.ToFloat64(b.metrics.answered)
	}

	It("exchange when both certificates are trusted", func(ctx SpecContext) {
		Expect(exchanged(ctx, &tls.Config{Certificates: []tls.Certificate{cert}, RootCAs: pool})).To(Equal(1.0))
	}, NodeTimeout(20*time.Second))

	It("reject a client without a certificate", func(ctx SpecContext) {
		Expect(exchanged(ctx, &tls.Config{RootCAs: pool})).To(BeZero())
	}, NodeTimeout(20*time.Second))

	It("reject a client with an untrusted certificate", func(ctx SpecContext) {
		foreign, _ := selfSigned()
		Expect(exchanged(ctx, &tls.Config{Certificates: []tls.Certificate{foreign}, RootCAs: pool})).To(BeZero())
	}, NodeTimeout(20*time.Second))

	It("reject a server whose certificate they do not trust", func(ctx SpecContext) {
		_, other := selfSigned()
		Expect(exchanged(ctx, &tls.Config{Certificates: []tls.Certificate{cert}, RootCAs: other})).To(BeZero())
	}, NodeTimeout(20*time.Second))
})

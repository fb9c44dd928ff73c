package settings

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/pkg/errors"
)

// loadTLS returns a configuration for both servers and clients: each side
// presents the certificate and requires one of the same CA from the other.
func loadTLS(a Auth) (*tls.Config, error) {
	cert, err := tls.LoadX509KeyPair(a.Cert, a.Key)
	if err != nil {
		return nil, errors.Wrap(err, "load certificate and key")
	}
	pem, err := os.ReadFile(a.CA)
	if err != nil {
		return nil, errors.Wrap(err, "read CA file")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.Errorf("%s holds no PEM certificate", a.CA)
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{cert},
		ClientCAs:    pool,
		RootCAs:      pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		// A session ticket would be an unsolicited record on a pooled connection.
		SessionTicketsDisabled: true,
	}, nil
}

package settings

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/pkg/errors"
)

// loadTLS makes a configuration that serves as both ends of a connection:
// each side shows the certificate and asks the other for one of the same CA.
func loadTLS(a Access) (*tls.Config, error) {
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
		// A ticket would be a record that arrives unasked on a kept connection.
		SessionTicketsDisabled: true,
	}, nil
}

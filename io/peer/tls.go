package peer

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"monsoonfork/core/fault"
	"monsoonfork/core/settings"
)

// LoadTLS returns the configuration for mutual TLS between instances. Each instance
// verifies that the peer's certificate is signed by the CA. It does not verify the
// name in the certificate, as instances are addressed by IP address and may be
// replaced at any time.
func LoadTLS(s settings.TLS) (*tls.Config, error) {
	cert, err := tls.LoadX509KeyPair(s.CertFile, s.KeyFile)
	if err != nil {
		return nil, fault.Wrap(err, fault.BadSettings, "TLS: cannot load CertFile %s and KeyFile %s", s.CertFile, s.KeyFile)
	}
	pem, err := os.ReadFile(s.CAFile)
	if err != nil {
		return nil, fault.Wrap(err, fault.BadSettings, "TLS: cannot read CAFile %s", s.CAFile)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fault.New(fault.BadSettings, "TLS: CAFile %s contains no certificate", s.CAFile)
	}
	return &tls.Config{
		MinVersion:            tls.VersionTLS13,
		Certificates:          []tls.Certificate{cert},
		ClientAuth:            tls.RequireAndVerifyClientCert,
		ClientCAs:             pool,
		RootCAs:               pool,
		InsecureSkipVerify:    true, // VerifyPeerCertificate verifies the chain instead, without the name.
		VerifyPeerCertificate: newCertificateVerifier(pool),
	}, nil
}

// newCertificateVerifier returns a function that verifies the peer's certificate chain
// against the CAs in pool.
func newCertificateVerifier(pool *x509.CertPool) func([][]byte, [][]*x509.Certificate) error {
	return func(rawCerts [][]byte, _ [][]*x509.Certificate) error {
		if len(rawCerts) == 0 {
			return fault.New(fault.Unauthenticated, "the peer sent no certificate")
		}
		cert, err := x509.ParseCertificate(rawCerts[0])
		if err != nil {
			return fault.Wrap(err, fault.Unauthenticated, "the peer's certificate is malformed")
		}
		intermediates := x509.NewCertPool()
		for _, raw := range rawCerts[1:] {
			if c, err := x509.ParseCertificate(raw); err == nil {
				intermediates.AddCert(c)
			}
		}
		_, err = cert.Verify(x509.VerifyOptions{
			Roots:         pool,
			Intermediates: intermediates,
			KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
		})
		return err
	}
}

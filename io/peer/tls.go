package peer

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"monsoonfork/core/fault"
	"monsoonfork/core/settings"
)

// LoadTLS returns the configuration for mutual TLS between instances. The
// certificate of each instance is checked against the CA; its name is not, as
// instances are addressed by IP number and replaced at any time.
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
		return nil, fault.New(fault.BadSettings, "TLS: CAFile %s holds no certificate", s.CAFile)
	}
	return &tls.Config{
		MinVersion:            tls.VersionTLS13,
		Certificates:          []tls.Certificate{cert},
		ClientAuth:            tls.RequireAndVerifyClientCert,
		ClientCAs:             pool,
		RootCAs:               pool,
		InsecureSkipVerify:    true, // Replaced by VerifyPeerCertificate below.
		VerifyPeerCertificate: verifyAgainst(pool),
	}, nil
}

// verifyAgainst returns a check of the other end's certificate against pool.
func verifyAgainst(pool *x509.CertPool) func([][]byte, [][]*x509.Certificate) error {
	return func(rawCerts [][]byte, _ [][]*x509.Certificate) error {
		if len(rawCerts) == 0 {
			return fault.New(fault.Unauthenticated, "the other end showed no certificate")
		}
		cert, err := x509.ParseCertificate(rawCerts[0])
		if err != nil {
			return fault.Wrap(err, fault.Unauthenticated, "malformed certificate")
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

package peer

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/go-kit/log"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/link"
	"monsoonfork/core/settings"
)

// testCA is a certificate authority for tests.
type testCA struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	file string
}

// newTestCA creates a CA and writes its certificate to a file.
func newTestCA(t *testing.T, name string) *testCA {
	t.Helper()
	key := newKey(t)
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: name},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(raw)
	if err != nil {
		t.Fatal(err)
	}
	return &testCA{cert: cert, key: key, file: writePEM(t, name+"-ca.pem", "CERTIFICATE", raw)}
}

// issue creates a certificate signed by the CA. It returns TLS settings with this
// certificate that verify peers against the CA trusted.
func (a *testCA) issue(t *testing.T, name string, trusted *testCA) settings.TLS {
	t.Helper()
	key := newKey(t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	rawKey, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	return settings.TLS{
		CertFile: writePEM(t, name+".pem", "CERTIFICATE", raw),
		KeyFile:  writePEM(t, name+"-key.pem", "EC PRIVATE KEY", rawKey),
		CAFile:   trusted.file,
	}
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

// writePEM writes one PEM block to a file and returns its path.
func writePEM(t *testing.T, name, blockType string, raw []byte) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: raw}), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// newTLSLinks returns Links that listen on a loopback port with the given TLS
// settings, and their address.
func newTLSLinks(t *testing.T, id ident.InstanceID, s settings.TLS) (*Links, ident.Address) {
	t.Helper()
	cfg, err := LoadTLS(s)
	if err != nil {
		t.Fatal(err)
	}
	l := New(id, "d1", log.NewNopLogger(), WithTLS(cfg))
	address, err := l.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	link.Handle(l.RoleLinks(), "Test.Echo", echo)
	return l, address
}

func TestLinksWithTLS(t *testing.T) {
	clusterCA, foreignCA := newTestCA(t, "cluster"), newTestCA(t, "foreign")
	server, address := newTLSLinks(t, "b-1", clusterCA.issue(t, "b", clusterCA))
	_ = server
	call := func(l *Links) error {
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		_, err := l.CallAddress(ctx, address, "Test.Echo", &Hello{}, &Hello{})
		return err
	}
	sameCA, _ := newTLSLinks(t, "a-1", clusterCA.issue(t, "a", clusterCA))
	if err := call(sameCA); err != nil {
		t.Errorf("client with a certificate of the same CA: %v", err)
	}
	foreignCert, _ := newTLSLinks(t, "x-1", foreignCA.issue(t, "x", clusterCA))
	if err := call(foreignCert); !fault.Is(err, fault.PeerUnavailable) {
		t.Errorf("client with a certificate of another CA: got %v, want PeerUnavailable", err)
	}
	foreignRoot, _ := newTLSLinks(t, "y-1", clusterCA.issue(t, "y", foreignCA))
	if err := call(foreignRoot); !fault.Is(err, fault.PeerUnavailable) {
		t.Errorf("client that does not trust the server's CA: got %v, want PeerUnavailable", err)
	}
	plaintext, _ := newTestLinks(t, "p-1", "d1")
	if err := call(plaintext); err == nil {
		t.Error("a call without TLS was served")
	}
}

func TestUnusableTLSFilesReturnBadSettings(t *testing.T) {
	clusterCA := newTestCA(t, "cluster")
	valid := clusterCA.issue(t, "a", clusterCA)
	empty := filepath.Join(t.TempDir(), "empty.pem")
	if err := os.WriteFile(empty, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	for name, s := range map[string]settings.TLS{
		"no certificate": {CertFile: "missing.pem", KeyFile: valid.KeyFile, CAFile: valid.CAFile},
		"no CA":          {CertFile: valid.CertFile, KeyFile: valid.KeyFile, CAFile: "missing.pem"},
		"empty CA":       {CertFile: valid.CertFile, KeyFile: valid.KeyFile, CAFile: empty},
	} {
		if _, err := LoadTLS(s); !fault.Is(err, fault.BadSettings) {
			t.Errorf("%s: got %v, want BadSettings", name, err)
		}
	}
}

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

// authority signs the certificates of a test.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	file string
}

// newAuthority makes a CA and writes its certificate to a file.
func newAuthority(t *testing.T, name string) *authority {
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
	return &authority{cert: cert, key: key, file: writePEM(t, name+"-ca.pem", "CERTIFICATE", raw)}
}

// issue makes a certificate and returns the settings that use it, with the CA
// that the other end is checked against.
func (a *authority) issue(t *testing.T, name string, checkAgainst *authority) settings.TLS {
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
		CAFile:   checkAgainst.file,
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

func writePEM(t *testing.T, name, kind string, raw []byte) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: raw}), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// tlsLinks returns listening links with the given TLS settings.
func tlsLinks(t *testing.T, id ident.InstanceID, s settings.TLS) (*Links, ident.Address) {
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
	link.Handle(l.Seam(), "Test.Echo", echo)
	return l, address
}

func TestLinksWithTLS(t *testing.T) {
	ours, theirs := newAuthority(t, "ours"), newAuthority(t, "theirs")
	server, address := tlsLinks(t, "b-1", ours.issue(t, "b", ours))
	_ = server
	call := func(l *Links) error {
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		_, err := l.CallAddress(ctx, address, "Test.Echo", &Hello{}, &Hello{})
		return err
	}
	friend, _ := tlsLinks(t, "a-1", ours.issue(t, "a", ours))
	if err := call(friend); err != nil {
		t.Errorf("same CA: %v", err)
	}
	stranger, _ := tlsLinks(t, "x-1", theirs.issue(t, "x", ours))
	if err := call(stranger); !fault.Is(err, fault.PeerUnavailable) {
		t.Errorf("certificate of another CA: got %v, want PeerUnavailable", err)
	}
	suspicious, _ := tlsLinks(t, "y-1", ours.issue(t, "y", theirs))
	if err := call(suspicious); !fault.Is(err, fault.PeerUnavailable) {
		t.Errorf("server not trusted: got %v, want PeerUnavailable", err)
	}
	plain, _ := testLinks(t, "p-1", "d1")
	if err := call(plain); err == nil {
		t.Error("a link without TLS was served")
	}
}

func TestWrongTLSFilesAreNamed(t *testing.T) {
	ours := newAuthority(t, "ours")
	good := ours.issue(t, "a", ours)
	empty := filepath.Join(t.TempDir(), "empty.pem")
	if err := os.WriteFile(empty, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	for name, s := range map[string]settings.TLS{
		"no certificate": {CertFile: "missing.pem", KeyFile: good.KeyFile, CAFile: good.CAFile},
		"no CA":          {CertFile: good.CertFile, KeyFile: good.KeyFile, CAFile: "missing.pem"},
		"empty CA":       {CertFile: good.CertFile, KeyFile: good.KeyFile, CAFile: empty},
	} {
		if _, err := LoadTLS(s); !fault.Is(err, fault.BadSettings) {
			t.Errorf("%s: got %v, want BadSettings", name, err)
		}
	}
}

package certs_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"quetzalmount.dev/quetzalmount/internal/infra/certs"
)

func writePair(t *testing.T, dir string, serial int64, mod time.Time) (string, string) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(serial), NotAfter: mod.Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	raw, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	certFile, keyFile := filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	for file, block := range map[string]*pem.Block{
		certFile: {Type: "CERTIFICATE", Bytes: der}, keyFile: {Type: "EC PRIVATE KEY", Bytes: raw},
	} {
		if err := os.WriteFile(file, pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Chtimes(file, mod, mod); err != nil {
			t.Fatal(err)
		}
	}
	return certFile, keyFile
}

func serial(t *testing.T, c *tls.Config) int64 {
	t.Helper()
	cert, err := c.GetCertificate(nil)
	if err != nil {
		t.Fatal(err)
	}
	leaf, err := x509.ParseCertificate(cert.Certificate[0])
	if err != nil {
		t.Fatal(err)
	}
	return leaf.SerialNumber.Int64()
}

// TestReload guards against a renewed certificate that is used only after a restart, and against an outage while the files
// are being replaced.
func TestReload(t *testing.T) {
	dir := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		certFile, keyFile := writePair(t, dir, 1, time.Now())
		r, err := certs.New(certFile, keyFile)
		if err != nil {
			t.Fatal(err)
		}
		c := r.Config()
		writePair(t, dir, 2, time.Now().Add(time.Second))
		if got := serial(t, c); got != 1 {
			t.Errorf("serial before the next check = %d, want 1", got)
		}
		time.Sleep(certs.CheckEvery)
		if got := serial(t, c); got != 2 {
			t.Errorf("serial after the check = %d, want 2", got)
		}
		if err := os.WriteFile(keyFile, []byte("half a file"), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Chtimes(keyFile, time.Now().Add(time.Hour), time.Now().Add(time.Hour)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(certs.CheckEvery)
		if got := serial(t, c); got != 2 {
			t.Errorf("serial while the files are invalid = %d, want 2", got)
		}
	})
}

// TestNewRefuses guards against a listener that starts without a certificate.
func TestNewRefuses(t *testing.T) {
	if _, err := certs.New("missing.pem", "missing.pem"); err == nil {
		t.Error("New() succeeded without files")
	}
}

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

// writePair writes a self-signed certificate and its key with modification time mod, and returns the names of the files.
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

// serial returns the serial number of the certificate that c presents.
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

// TestReload checks that a renewed certificate takes effect without a restart, and that the previous one stays in use while
// the files are inconsistent.
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
		time.Sleep(certs.CheckInterval)
		if got := serial(t, c); got != 2 {
			t.Errorf("serial after the check = %d, want 2", got)
		}
		if err := os.WriteFile(keyFile, []byte("truncated key"), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Chtimes(keyFile, time.Now().Add(time.Hour), time.Now().Add(time.Hour)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(certs.CheckInterval)
		if got := serial(t, c); got != 2 {
			t.Errorf("serial while the files are invalid = %d, want 2", got)
		}
	})
}

// TestMissingFiles guards against a listener that starts without a certificate.
func TestMissingFiles(t *testing.T) {
	if _, err := certs.New("missing.pem", "missing.pem"); err == nil {
		t.Error("New() succeeded without files")
	}
}

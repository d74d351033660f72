// Package certs makes TLS settings whose certificate is read again when its files change, so that a renewed certificate needs
// no restart.
package certs

import (
	"crypto/tls"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// CheckEvery is the shortest time between two looks at the files.
const CheckEvery = 10 * time.Second

// Reloader serves the certificate of a pair of files.
type Reloader struct {
	certFile, keyFile string

	mu      sync.Mutex
	cert    *tls.Certificate
	modTime time.Time
	checked time.Time
}

// New reads the files. It fails if they are not a valid pair.
func New(certFile, keyFile string) (*Reloader, error) {
	r := &Reloader{certFile: certFile, keyFile: keyFile}
	if err := r.load(); err != nil {
		return nil, err
	}
	r.checked = time.Now()
	return r, nil
}

// Config returns TLS settings that use the newest valid certificate.
func (r *Reloader) Config() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return r.current(), nil },
	}
}

func (r *Reloader) current() *tls.Certificate {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.checked) >= CheckEvery {
		r.checked = time.Now()
		// A pair that is being replaced may be invalid for a moment; the old certificate is served until the next check.
		_ = r.load()
	}
	return r.cert
}

func (r *Reloader) load() error {
	mod, err := newest(r.certFile, r.keyFile)
	if err != nil {
		return err
	}
	if r.cert != nil && !mod.After(r.modTime) {
		return nil
	}
	cert, err := tls.LoadX509KeyPair(r.certFile, r.keyFile)
	if err != nil {
		return errors.WithMessagef(err, "load certificate %s", r.certFile)
	}
	r.cert, r.modTime = &cert, mod
	return nil
}

func newest(files ...string) (time.Time, error) {
	var t time.Time
	for _, f := range files {
		info, err := os.Stat(f)
		if err != nil {
			return t, errors.WithMessage(err, "check certificate")
		}
		if info.ModTime().After(t) {
			t = info.ModTime()
		}
	}
	return t, nil
}

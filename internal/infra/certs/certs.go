// Package certs provides TLS configurations that reload their certificate when its files change, so that a renewed
// certificate takes effect without a restart.
package certs

import (
	"crypto/tls"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// CheckInterval is the minimum time between two checks of the files for changes.
const CheckInterval = 10 * time.Second

// Reloader provides the certificate of a certificate file and a key file, and reloads it when they change. It is safe for
// concurrent use.
type Reloader struct {
	certFile, keyFile string

	mu        sync.Mutex
	cert      *tls.Certificate
	modTime   time.Time
	checkedAt time.Time
}

// New loads the certificate. It fails if the files are not a valid pair.
func New(certFile, keyFile string) (*Reloader, error) {
	r := &Reloader{certFile: certFile, keyFile: keyFile}
	if err := r.load(); err != nil {
		return nil, err
	}
	r.checkedAt = time.Now()
	return r, nil
}

// Config returns a server configuration that uses the most recent valid certificate and TLS 1.2 or later.
func (r *Reloader) Config() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return r.current(), nil },
	}
}

func (r *Reloader) current() *tls.Certificate {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.checkedAt) >= CheckInterval {
		r.checkedAt = time.Now()
		// The files may be inconsistent while they are being replaced. In that case the previous certificate stays in use
		// until a later check succeeds.
		_ = r.load()
	}
	return r.cert
}

// load reloads the certificate if either file is newer than the loaded pair.
func (r *Reloader) load() error {
	modTime, err := latestModTime(r.certFile, r.keyFile)
	if err != nil {
		return err
	}
	if r.cert != nil && !modTime.After(r.modTime) {
		return nil
	}
	cert, err := tls.LoadX509KeyPair(r.certFile, r.keyFile)
	if err != nil {
		return errors.WithMessagef(err, "load certificate %s", r.certFile)
	}
	r.cert, r.modTime = &cert, modTime
	return nil
}

func latestModTime(files ...string) (time.Time, error) {
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

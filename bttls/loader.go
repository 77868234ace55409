// Package bttls provides TLS configurations whose certificates are read again
// when their files change, without a restart.
package bttls

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/baobabtide/baobabtide/btsettings"
)

const defaultCheckPeriod = 5 * time.Second

// material is what was read from the files.
type material struct {
	cert tls.Certificate
	pool *x509.CertPool
}

// Loader reads the files of a TLS section.
type Loader struct {
	// CheckPeriod is the time between looks at the files. It must not change
	// once the loader is in use.
	CheckPeriod time.Duration

	settings btsettings.TLS

	mu       sync.Mutex
	current  *material
	modified [3]time.Time
	checked  time.Time
}

// NewLoader reads the files once. It returns nil for plaintext.
func NewLoader(settings btsettings.TLS) (*Loader, error) {
	if settings.Plaintext {
		return nil, nil
	}
	l := &Loader{settings: settings, CheckPeriod: defaultCheckPeriod}
	if err := l.reload(); err != nil {
		return nil, err
	}
	return l, nil
}

func (l *Loader) files() [3]string {
	return [3]string{l.settings.CertFile, l.settings.KeyFile, l.settings.CAFile}
}

func (l *Loader) reload() error {
	cert, err := tls.LoadX509KeyPair(l.settings.CertFile, l.settings.KeyFile)
	if err != nil {
		return fmt.Errorf("load certificate: %w", err)
	}
	pem, err := os.ReadFile(l.settings.CAFile)
	if err != nil {
		return fmt.Errorf("load CA certificates: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return fmt.Errorf("load CA certificates: %s holds none", l.settings.CAFile)
	}
	l.current = &material{cert: cert, pool: pool}
	l.modified = l.modificationTimes()
	return nil
}

func (l *Loader) modificationTimes() [3]time.Time {
	var times [3]time.Time
	for i, path := range l.files() {
		if info, err := os.Stat(path); err == nil {
			times[i] = info.ModTime()
		}
	}
	return times
}

// get returns the newest material. Files that can't be read leave the old one
// in force.
func (l *Loader) get() *material {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if now.Sub(l.checked) < l.CheckPeriod {
		return l.current
	}
	l.checked = now
	if l.modificationTimes() != l.modified {
		_ = l.reload() // a half-written pair is read again at the next check
	}
	return l.current
}

// Server returns the configuration of a listener. Clients must show a
// certificate that the CA has signed if clientAuth is set.
func (l *Loader) Server(clientAuth bool) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{"h2", "http/1.1"},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			m := l.get()
			config := &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{m.cert},
				NextProtos:   []string{"h2", "http/1.1"},
			}
			if clientAuth {
				config.ClientAuth = tls.RequireAndVerifyClientCert
				config.ClientCAs = m.pool
			}
			return config, nil
		},
	}
}

// Client returns the configuration of a connection to a node. The node proves
// that the CA has signed its certificate; addresses are IP numbers that change
// hands, so the name is not compared.
func (l *Loader) Client() *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		InsecureSkipVerify:     true, //nolint:gosec // the chain is verified below
		VerifyConnection:       l.verify,
		GetClientCertificate:   func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &l.get().cert, nil },
		NextProtos:             []string{"h2"},
		SessionTicketsDisabled: true,
	}
}

var errNoCertificate = errors.New("the other end showed no certificate")

func (l *Loader) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errNoCertificate
	}
	intermediates := x509.NewCertPool()
	for _, cert := range state.PeerCertificates[1:] {
		intermediates.AddCert(cert)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         l.get().pool,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	if err != nil {
		return fmt.Errorf("verify certificate: %w", err)
	}
	return nil
}

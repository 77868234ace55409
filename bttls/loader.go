// Package bttls provides TLS configurations whose certificates are reloaded when
// their files change, without a restart.
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

// credentials holds the contents of the files.
type credentials struct {
	cert tls.Certificate
	pool *x509.CertPool // CA certificates
}

// Loader loads the certificate, key and CA files of a TLS section of the settings.
// It is safe for concurrent use.
type Loader struct {
	// CheckPeriod is the minimum time between two checks of the files for
	// changes, 5 s by default. It must not be changed once the loader is in use.
	CheckPeriod time.Duration

	settings btsettings.TLS

	mu        sync.Mutex
	current   *credentials
	modTimes  [3]time.Time
	lastCheck time.Time
}

// NewLoader returns a loader that has loaded the files, or nil for plaintext. It
// fails if a file can't be read or parsed.
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

// reload loads the files. If it fails, the current credentials stay.
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
	l.current = &credentials{cert: cert, pool: pool}
	l.modTimes = l.modificationTimes()
	return nil
}

// modificationTimes returns the modification time of each file, zero for a file whose
// status can't be read.
func (l *Loader) modificationTimes() [3]time.Time {
	var times [3]time.Time
	for i, path := range l.files() {
		if info, err := os.Stat(path); err == nil {
			times[i] = info.ModTime()
		}
	}
	return times
}

// latest returns the latest credentials. Once per CheckPeriod it checks the files and
// reloads them if one has changed; if that fails, the previous credentials stay in use.
func (l *Loader) latest() *credentials {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if now.Sub(l.lastCheck) < l.CheckPeriod {
		return l.current
	}
	l.lastCheck = now
	if l.modificationTimes() != l.modTimes {
		_ = l.reload() // fails for a partly written pair, and is retried at the next check
	}
	return l.current
}

// Server returns the configuration of a listener. If clientAuth is set, clients
// must present a certificate that is signed by the CA.
func (l *Loader) Server(clientAuth bool) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{"h2", "http/1.1"},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			creds := l.latest()
			config := &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{creds.cert},
				NextProtos:   []string{"h2", "http/1.1"},
			}
			if clientAuth {
				config.ClientAuth = tls.RequireAndVerifyClientCert
				config.ClientCAs = creds.pool
			}
			return config, nil
		},
	}
}

// Client returns the configuration of a connection to a node. The node's
// certificate must be signed by the CA. Its name is not verified, because nodes
// are addressed by IP addresses, which are reassigned.
func (l *Loader) Client() *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		InsecureSkipVerify:     true, //nolint:gosec // VerifyConnection verifies the chain
		VerifyConnection:       l.verify,
		GetClientCertificate:   func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &l.latest().cert, nil },
		NextProtos:             []string{"h2"},
		SessionTicketsDisabled: true,
	}
}

var errNoCertificate = errors.New("the peer presented no certificate")

// verify verifies that the certificate of a server is signed by the CA.
func (l *Loader) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errNoCertificate
	}
	intermediates := x509.NewCertPool()
	for _, cert := range state.PeerCertificates[1:] {
		intermediates.AddCert(cert)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         l.latest().pool,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	if err != nil {
		return fmt.Errorf("verify certificate: %w", err)
	}
	return nil
}

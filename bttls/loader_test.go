package bttls_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/baobabtide/baobabtide/btsettings"
	"github.com/baobabtide/baobabtide/bttls"
)

// authority is a certificate authority for tests.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  []byte
}

// newAuthority returns an authority with a new key and a self-signed certificate.
func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "authority"},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return &authority{cert: cert, key: key, pem: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})}
}

// write issues a certificate for a name and writes the files of a TLS section to
// dir.
func (a *authority) write(t *testing.T, dir, name string) btsettings.TLS {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	section := btsettings.TLS{
		CertFile: filepath.Join(dir, "cert.pem"),
		KeyFile:  filepath.Join(dir, "key.pem"),
		CAFile:   filepath.Join(dir, "ca.pem"),
	}
	for path, data := range map[string][]byte{
		section.CertFile: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		section.KeyFile:  pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}),
		section.CAFile:   a.pem,
	} {
		if err := os.WriteFile(path, data, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return section
}

// load returns a loader for a TLS section.
func load(t *testing.T, section btsettings.TLS) *bttls.Loader {
	t.Helper()
	l, err := bttls.NewLoader(section)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// handshake returns the name in the server's certificate, or an empty string if
// either side rejects the other.
func handshake(t *testing.T, server, client *tls.Config) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	accepted := make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			accepted <- err
			return
		}
		defer conn.Close()
		accepted <- tls.Server(conn, server).HandshakeContext(context.Background())
	}()
	c, err := tls.Dial("tcp", listener.Addr().String(), client)
	if err != nil {
		<-accepted
		return ""
	}
	defer c.Close()
	if err := <-accepted; err != nil {
		return ""
	}
	return c.ConnectionState().PeerCertificates[0].Subject.CommonName
}

// Server and client each reject a peer without a certificate of their CA.
func TestMutualAuthentication(t *testing.T) {
	trustedCA, untrustedCA := newAuthority(t), newAuthority(t)
	server := load(t, trustedCA.write(t, t.TempDir(), "server")).Server(true)
	trustedClient := load(t, trustedCA.write(t, t.TempDir(), "friend")).Client()
	untrustedClient := load(t, untrustedCA.write(t, t.TempDir(), "stranger")).Client()
	clientWithoutCert := trustedClient.Clone()
	clientWithoutCert.GetClientCertificate = nil
	untrustedServer := load(t, untrustedCA.write(t, t.TempDir(), "impostor")).Server(true)
	tests := map[string]struct {
		server, client *tls.Config
		want           string
	}{
		"signed by the same authority": {server, trustedClient, "server"},
		"client of another authority":  {server, untrustedClient, ""},
		"client without a certificate": {server, clientWithoutCert, ""},
		"server of another authority":  {untrustedServer, trustedClient, ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(tt.want, handshake(t, tt.server, tt.client)); diff != "" {
				t.Errorf("server's name (-want +got):\n%s", diff)
			}
		})
	}
}

// A certificate that is replaced on disk is used without a restart. A partly written
// key file leaves the previous certificate in use.
func TestCertificateReload(t *testing.T) {
	ca := newAuthority(t)
	dir := t.TempDir()
	section := ca.write(t, dir, "old")
	loader := load(t, section)
	loader.CheckPeriod = 0
	client := load(t, ca.write(t, t.TempDir(), "client")).Client()
	if diff := cmp.Diff("old", handshake(t, loader.Server(true), client)); diff != "" {
		t.Fatalf("name before (-want +got):\n%s", diff)
	}
	ca.write(t, dir, "new")
	later := time.Now().Add(time.Minute)
	for _, path := range []string{section.CertFile, section.KeyFile, section.CAFile} {
		if err := os.Chtimes(path, later, later); err != nil {
			t.Fatal(err)
		}
	}
	if diff := cmp.Diff("new", handshake(t, loader.Server(true), client)); diff != "" {
		t.Errorf("name after (-want +got):\n%s", diff)
	}
	if err := os.WriteFile(section.KeyFile, []byte("half-written"), 0o600); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff("new", handshake(t, loader.Server(true), client)); diff != "" {
		t.Errorf("name after a partly written key (-want +got):\n%s", diff)
	}
}

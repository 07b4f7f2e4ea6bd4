// Package tlskeys loads TLS certificates and keys from files and reloads them when
// the files change, so that they can be replaced without a restart. If changed
// files cannot be loaded, the previous certificate and key stay in use.
package tlskeys

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// CheckInterval is the minimum time between two checks of the files for changes.
// They are checked during handshakes.
const CheckInterval = 5 * time.Second

// KeyPair is a certificate with its private key and, optionally, the certificate
// authority that must have signed the certificates of peers. Its methods are safe
// for concurrent use.
type KeyPair struct {
	certFile string
	keyFile  string
	caFile   string
	now      func() time.Time

	mu   sync.Mutex
	cert *tls.Certificate
	pool *x509.CertPool
	// modTime is the latest modification time of the files when loaded.
	modTime time.Time
	// lastCheck is the time of the last check of the files for changes.
	lastCheck time.Time
}

// Load loads a pair from PEM files. caFile may be empty.
func Load(certFile, keyFile, caFile string) (*KeyPair, error) {
	return LoadWithClock(time.Now, certFile, keyFile, caFile)
}

// LoadWithClock is Load with now as the clock.
func LoadWithClock(now func() time.Time, certFile, keyFile, caFile string) (*KeyPair, error) {
	p := &KeyPair{certFile: certFile, keyFile: keyFile, caFile: caFile, now: now}
	if err := p.load(); err != nil {
		return nil, err
	}
	p.lastCheck = now()
	return p, nil
}

// ServerConfig returns the TLS configuration of a server that does not request
// client certificates.
func (p *KeyPair) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			cert, _ := p.current()
			return cert, nil
		},
	}
}

// MutualServerConfig returns the TLS configuration of a server that requires
// client certificates signed by the authority.
func (p *KeyPair) MutualServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, pool := p.current()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{*cert},
				ClientCAs:    pool,
				ClientAuth:   tls.RequireAndVerifyClientCert,
				NextProtos:   []string{"h2"},
			}, nil
		},
	}
}

// MutualClientConfig returns the TLS configuration of a client of peers. The
// certificate of a peer must be signed by the authority; its name is not checked,
// since peers are addressed by IP addresses that change.
func (p *KeyPair) MutualClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _ := p.current()
			return cert, nil
		},
		InsecureSkipVerify: true, //nolint:gosec // VerifyConnection checks the chain against the authority
		VerifyConnection:   p.verifyPeer,
	}
}

// verifyPeer verifies the certificate chain of a peer against the authority.
func (p *KeyPair) verifyPeer(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("peer sent no certificate")
	}
	_, pool := p.current()
	intermediates := x509.NewCertPool()
	for _, cert := range state.PeerCertificates[1:] {
		intermediates.AddCert(cert)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         pool,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	return errors.Wrap(err, "verify peer certificate")
}

// current returns the certificate and the authority, reloaded if CheckInterval has
// passed since the last check and the files have changed.
func (p *KeyPair) current() (*tls.Certificate, *x509.CertPool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now := p.now(); now.Sub(p.lastCheck) >= CheckInterval {
		p.lastCheck = now
		p.reloadIfChanged()
	}
	return p.cert, p.pool
}

// reloadIfChanged reloads the pair if the files have changed.
func (p *KeyPair) reloadIfChanged() {
	modTime, err := p.latestModTime()
	if err != nil || !modTime.After(p.modTime) {
		return
	}
	_ = p.load() // on an error the previous pair stays in use
}

// load loads the files and replaces the pair, or leaves it as it is on an error.
func (p *KeyPair) load() error {
	modTime, err := p.latestModTime()
	if err != nil {
		return err
	}
	cert, err := tls.LoadX509KeyPair(p.certFile, p.keyFile)
	if err != nil {
		return errors.Wrap(err, "load TLS key pair")
	}
	pool, err := p.loadPool()
	if err != nil {
		return err
	}
	p.cert = &cert
	p.pool = pool
	p.modTime = modTime
	return nil
}

// loadPool loads the certificates of the authority. It returns nil if there is no
// authority.
func (p *KeyPair) loadPool() (*x509.CertPool, error) {
	if p.caFile == "" {
		return nil, nil
	}
	data, err := os.ReadFile(p.caFile)
	if err != nil {
		return nil, errors.Wrap(err, "load TLS certificate authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, errors.Errorf("load TLS certificate authority: no certificate in %s", p.caFile)
	}
	return pool, nil
}

// latestModTime returns the latest modification time of the files.
func (p *KeyPair) latestModTime() (time.Time, error) {
	var latest time.Time
	for _, file := range []string{p.certFile, p.keyFile, p.caFile} {
		if file == "" {
			continue
		}
		info, err := os.Stat(file)
		if err != nil {
			return latest, errors.Wrap(err, "check TLS files for changes")
		}
		if info.ModTime().After(latest) {
			latest = info.ModTime()
		}
	}
	return latest, nil
}

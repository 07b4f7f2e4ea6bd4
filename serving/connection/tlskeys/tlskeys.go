// Package tlskeys reads TLS keys from files and reads them again when the
// files change, so that keys are replaced without a restart. A pair that
// cannot be read leaves the one before in use.
package tlskeys

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// CheckInterval is how often files are looked at for a change.
const CheckInterval = 5 * time.Second

// Pair is a certificate and its key, and perhaps the authority that peers
// must be signed by. Its methods are safe for concurrent use.
type Pair struct {
	certFile string
	keyFile  string
	caFile   string
	now      func() time.Time

	mu      sync.Mutex
	cert    *tls.Certificate
	pool    *x509.CertPool
	stamp   time.Time
	checked time.Time
}

// Load reads a pair. caFile may be empty.
func Load(certFile, keyFile, caFile string) (*Pair, error) {
	return LoadAt(time.Now, certFile, keyFile, caFile)
}

// LoadAt is Load with a clock.
func LoadAt(now func() time.Time, certFile, keyFile, caFile string) (*Pair, error) {
	p := &Pair{certFile: certFile, keyFile: keyFile, caFile: caFile, now: now}
	if err := p.read(); err != nil {
		return nil, err
	}
	p.checked = now()
	return p, nil
}

// ServerConfig returns the configuration of a listener for callers.
func (p *Pair) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			cert, _ := p.current()
			return cert, nil
		},
	}
}

// MutualServerConfig returns the configuration of a listener that demands a
// client certificate of the authority.
func (p *Pair) MutualServerConfig() *tls.Config {
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

// MutualClientConfig returns the configuration for connections to peers. The
// peer's certificate must be of the authority; its name is not checked, since
// peers are known by changing IP numbers.
func (p *Pair) MutualClientConfig() *tls.Config {
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

func (p *Pair) verifyPeer(state tls.ConnectionState) error {
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
	return errors.Wrap(err, "peer certificate")
}

func (p *Pair) current() (*tls.Certificate, *x509.CertPool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now := p.now(); now.Sub(p.checked) >= CheckInterval {
		p.checked = now
		p.reread()
	}
	return p.cert, p.pool
}

// reread replaces the pair if its files changed and can be read.
func (p *Pair) reread() {
	stamp, err := p.newest()
	if err != nil || !stamp.After(p.stamp) {
		return
	}
	_ = p.read() // the pair before stays in use
}

func (p *Pair) read() error {
	stamp, err := p.newest()
	if err != nil {
		return err
	}
	cert, err := tls.LoadX509KeyPair(p.certFile, p.keyFile)
	if err != nil {
		return errors.Wrap(err, "TLS key pair")
	}
	pool, err := p.readPool()
	if err != nil {
		return err
	}
	p.cert = &cert
	p.pool = pool
	p.stamp = stamp
	return nil
}

func (p *Pair) readPool() (*x509.CertPool, error) {
	if p.caFile == "" {
		return nil, nil
	}
	text, err := os.ReadFile(p.caFile)
	if err != nil {
		return nil, errors.Wrap(err, "TLS authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, errors.Errorf("TLS authority: no certificate in %s", p.caFile)
	}
	return pool, nil
}

// newest returns the latest time at which one of the files changed.
func (p *Pair) newest() (time.Time, error) {
	var newest time.Time
	for _, file := range []string{p.certFile, p.keyFile, p.caFile} {
		if file == "" {
			continue
		}
		info, err := os.Stat(file)
		if err != nil {
			return newest, errors.Wrap(err, "TLS files")
		}
		if info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest, nil
}

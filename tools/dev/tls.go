package dev

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
)

// Names of the files in an Authority's folder.
const (
	CAFile   = "ca.pem"
	CertFile = "cert.pem"
	KeyFile  = "key.pem"
)

const certificateLifetime = 24 * time.Hour

// Authority is a certificate authority for a development fleet.
type Authority struct {
	folder string
	cert   *x509.Certificate
	key    *ecdsa.PrivateKey
}

// NewAuthority creates an authority. It writes the authority's certificate and
// a certificate and key for the daemons into folder.
func NewAuthority(folder string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "carobspoke dev"},
		NotBefore:             time.Now().Add(-time.Minute),
		NotAfter:              time.Now().Add(certificateLifetime),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	cert, err := x509.ParseCertificate(raw)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	a := &Authority{folder: folder, cert: cert, key: key}
	if err := a.write(CAFile, "CERTIFICATE", raw); err != nil {
		return nil, err
	}
	return a, a.Renew(2)
}

// File returns the path of one of the authority's files.
func (a *Authority) File(name string) string { return filepath.Join(a.folder, name) }

// Certificate returns the authority's self-signed certificate.
func (a *Authority) Certificate() *x509.Certificate { return a.cert }

// Renew replaces the daemons' certificate and key files. The new certificate
// has the given serial number.
func (a *Authority) Renew(serial int64) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return errors.WithStack(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial),
		Subject:      pkix.Name{CommonName: "daemon"},
		NotBefore:    time.Now().Add(-time.Minute),
		NotAfter:     time.Now().Add(certificateLifetime),
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return errors.WithStack(err)
	}
	encoded, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return errors.WithStack(err)
	}
	if err := a.write(CertFile, "CERTIFICATE", raw); err != nil {
		return err
	}
	return a.write(KeyFile, "EC PRIVATE KEY", encoded)
}

func (a *Authority) write(name, kind string, raw []byte) error {
	text := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: raw})
	return errors.WithStack(os.WriteFile(a.File(name), text, settingsMode))
}

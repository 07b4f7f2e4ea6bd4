// Package settings reads what a daemon is told at its start: its addresses,
// its data centre and its keys. All that operators change later is in the
// manifest.
package settings

import (
	"os"

	"carobspoke.example/core/names"
	"carobspoke.example/core/strict"
	"github.com/pkg/errors"
)

// Settings is a daemon's settings file.
type Settings struct {
	// Host is the address at which peers reach this daemon by TCP and UDP,
	// "IP:port".
	Host names.Host `toml:"host"`
	// DataCentre is where this daemon's host stands.
	DataCentre names.DataCentre `toml:"data_centre"`
	Caller     Caller           `toml:"caller"`
	Admin      Admin            `toml:"admin"`
	Peer       Peer             `toml:"peer"`
	Platform   Platform         `toml:"platform"`
	Manifest   Manifest         `toml:"manifest"`
	Log        Log              `toml:"log"`
}

// Caller is the interface towards callers.
type Caller struct {
	// Listen is "IP:port".
	Listen string `toml:"listen"`
	// CertFile and KeyFile are PEM files, read again when they change. Both
	// empty means plain HTTP.
	CertFile string `toml:"cert_file"`
	KeyFile  string `toml:"key_file"`
	// MaxBodyBytes bounds a request's body, in bytes.
	MaxBodyBytes int64 `toml:"max_body_bytes"`
	// BodyTimeout bounds the reading of a request's body, as "10s".
	BodyTimeout Duration `toml:"body_timeout"`
	// DefaultTimeout is the deadline of a request that names none.
	DefaultTimeout Duration `toml:"default_timeout"`
	// DrainTimeout bounds how long a stopping daemon waits for the requests
	// that it serves.
	DrainTimeout Duration `toml:"drain_timeout"`
	// DrainLinger is how long a stopping daemon stays at least, for the
	// balancer to see that it is not ready.
	DrainLinger Duration `toml:"drain_linger"`
}

// Admin is the administration interface.
type Admin struct {
	// Listen is "IP:port".
	Listen string `toml:"listen"`
	// KeyDigests are SHA-256 digests, in hexadecimal, of the keys that may
	// read it.
	KeyDigests []names.Digest `toml:"key_digests"`
}

// Peer is the interface between daemons.
type Peer struct {
	// CAFile, CertFile and KeyFile are PEM files for mutual TLS, read again
	// when they change. All empty means plain TCP, for tests and dev.
	CAFile   string `toml:"ca_file"`
	CertFile string `toml:"cert_file"`
	KeyFile  string `toml:"key_file"`
	// FleetKeys are 32-byte keys in hexadecimal that seal tickets and
	// datagrams. The first seals; all of them open.
	FleetKeys []string `toml:"fleet_keys"`
	// Seeds are peers to contact first, "IP:port", beside the platform's
	// host list.
	Seeds []names.Host `toml:"seeds"`
	// AloneAfter is how long a daemon that starts and reaches no peer waits
	// before it takes itself for the only one.
	AloneAfter Duration `toml:"alone_after"`
}

// Platform says where the platform's services are.
type Platform struct {
	// Address is "IP:port" of the configuration service and host list.
	Address string `toml:"address"`
}

// Manifest says how to recognise the operators' manifest.
type Manifest struct {
	// PublicKey is the Ed25519 key of the operators' pipeline, in
	// hexadecimal.
	PublicKey string `toml:"public_key"`
}

// Log configures the log.
type Log struct {
	// Level is debug, info, warn or error.
	Level string `toml:"level"`
}

// Load reads, completes and checks a settings file.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	return Read(path, text)
}

// Read is Load for a text that is already in memory.
func Read(name string, text []byte) (*Settings, error) {
	s := Default()
	if err := strict.Decode(name, text, s); err != nil {
		return nil, err
	}
	if err := s.Check(); err != nil {
		return nil, errors.Wrap(err, name)
	}
	return s, nil
}

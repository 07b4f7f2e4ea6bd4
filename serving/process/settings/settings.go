// Package settings loads the settings file that a daemon reads at start: its
// addresses, its data centre and its keys. Everything that operators change at run
// time is in the manifest.
package settings

import (
	"os"

	"carobspoke.example/core/names"
	"carobspoke.example/core/strict"
	"github.com/pkg/errors"
)

// Settings are the contents of a settings file.
type Settings struct {
	// Host is the address at which peers reach this daemon by TCP and UDP,
	// "IP:port".
	Host names.Host `toml:"host"`
	// DataCentre is the data centre of this daemon's host.
	DataCentre names.DataCentre `toml:"data_centre"`
	Caller     Caller           `toml:"caller"`
	Admin      Admin            `toml:"admin"`
	Peer       Peer             `toml:"peer"`
	Platform   Platform         `toml:"platform"`
	Manifest   Manifest         `toml:"manifest"`
	Log        Log              `toml:"log"`
}

// Caller configures the interface to callers.
type Caller struct {
	// Listen is the address to listen on, "IP:port".
	Listen string `toml:"listen"`
	// CertFile and KeyFile are PEM files, reloaded when they change. If both
	// are empty, the interface uses plain HTTP.
	CertFile string `toml:"cert_file"`
	KeyFile  string `toml:"key_file"`
	// MaxBodyBytes is the size limit of a request body, in bytes.
	MaxBodyBytes int64 `toml:"max_body_bytes"`
	// BodyTimeout is the timeout for reading a request body, such as "10s".
	BodyTimeout Duration `toml:"body_timeout"`
	// DefaultTimeout is the timeout of a request that sets none.
	DefaultTimeout Duration `toml:"default_timeout"`
	// DrainTimeout is the maximum time that a draining daemon waits for the
	// requests in flight.
	DrainTimeout Duration `toml:"drain_timeout"`
	// DrainLinger is the minimum time for which a draining daemon keeps
	// running, so that the load balancer sees that it is not ready.
	DrainLinger Duration `toml:"drain_linger"`
}

// Admin configures the administration interface.
type Admin struct {
	// Listen is the address to listen on, "IP:port".
	Listen string `toml:"listen"`
	// KeyDigests are the SHA-256 digests, in hexadecimal, of the API keys that
	// grant read access.
	KeyDigests []names.Digest `toml:"key_digests"`
}

// Peer configures the interface between daemons.
type Peer struct {
	// CAFile, CertFile and KeyFile are PEM files for mutual TLS, reloaded when
	// they change. If all are empty, daemons use plain TCP, which is meant
	// for tests and development.
	CAFile   string `toml:"ca_file"`
	CertFile string `toml:"cert_file"`
	KeyFile  string `toml:"key_file"`
	// FleetKeys are the 32-byte keys, in hexadecimal, for sealing tickets and
	// datagrams. The first key seals new ones; every key opens received ones.
	FleetKeys []string `toml:"fleet_keys"`
	// Seeds are peers, "IP:port", that the daemon contacts first, in addition
	// to those on the platform's host list.
	Seeds []names.Host `toml:"seeds"`
	// AloneAfter is the time after which a starting daemon that has reached
	// no peer assumes that it is the only one.
	AloneAfter Duration `toml:"alone_after"`
}

// Platform configures access to the services of the platform.
type Platform struct {
	// Address is the address of the configuration service and the host list,
	// "IP:port".
	Address string `toml:"address"`
}

// Manifest configures the verification of manifests.
type Manifest struct {
	// PublicKey is the Ed25519 public key of the operators' pipeline, in
	// hexadecimal. The pipeline signs manifests with its private key.
	PublicKey string `toml:"public_key"`
}

// Log configures the log.
type Log struct {
	// Level is the minimum level of logged messages: debug, info, warn or
	// error.
	Level string `toml:"level"`
}

// Load reads a settings file, applies defaults and validates the result.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	return Parse(path, data)
}

// Parse is Load for a file that has been read already. Errors contain name.
func Parse(name string, data []byte) (*Settings, error) {
	s := Default()
	if err := strict.Decode(name, data, s); err != nil {
		return nil, err
	}
	if err := s.Check(); err != nil {
		return nil, errors.Wrap(err, name)
	}
	return s, nil
}

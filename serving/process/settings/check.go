package settings

import (
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/hex"
	"net/netip"

	"github.com/pkg/errors"
	"go.uber.org/zap/zapcore"
)

// FleetKeyBytes is the length of a fleet key, in bytes.
const FleetKeyBytes = 32

// Check returns an error for the first invalid setting, with its key and the
// expected value, or nil.
func (s *Settings) Check() error {
	checks := []error{
		address("host", string(s.Host)),
		required("data_centre", string(s.DataCentre)),
		address("caller.listen", s.Caller.Listen),
		address("admin.listen", s.Admin.Listen),
		address("platform.address", s.Platform.Address),
		allOrNone("caller", s.Caller.CertFile, s.Caller.KeyFile),
		allOrNone("peer", s.Peer.CAFile, s.Peer.CertFile, s.Peer.KeyFile),
		hexBytes("manifest.public_key", s.Manifest.PublicKey, ed25519.PublicKeySize),
		duration("caller.body_timeout", s.Caller.BodyTimeout),
		duration("caller.default_timeout", s.Caller.DefaultTimeout),
		duration("caller.drain_timeout", s.Caller.DrainTimeout),
		duration("caller.drain_linger", s.Caller.DrainLinger),
		duration("peer.alone_after", s.Peer.AloneAfter),
		s.checkLists(),
		s.checkBodyLimitAndLogLevel(),
	}
	for _, err := range checks {
		if err != nil {
			return err
		}
	}
	return nil
}

func (s *Settings) checkLists() error {
	for _, seed := range s.Peer.Seeds {
		if err := address("peer.seeds", string(seed)); err != nil {
			return err
		}
	}
	if len(s.Peer.FleetKeys) == 0 {
		return errors.New("key peer.fleet_keys: expected at least one key")
	}
	for _, key := range s.Peer.FleetKeys {
		if err := hexBytes("peer.fleet_keys", key, FleetKeyBytes); err != nil {
			return err
		}
	}
	for _, digest := range s.Admin.KeyDigests {
		if err := hexBytes("admin.key_digests", string(digest), sha256.Size); err != nil {
			return err
		}
	}
	return nil
}

func (s *Settings) checkBodyLimitAndLogLevel() error {
	if s.Caller.MaxBodyBytes <= 0 {
		return errors.New("key caller.max_body_bytes: expected a positive number of bytes")
	}
	if _, err := zapcore.ParseLevel(s.Log.Level); err != nil {
		return errors.Errorf("key log.level: expected debug, info, warn or error, not %q", s.Log.Level)
	}
	return nil
}

// DecodedFleetKeys returns the decoded fleet keys. The first one seals.
func (p Peer) DecodedFleetKeys() [][]byte {
	keys := make([][]byte, 0, len(p.FleetKeys))
	for _, encoded := range p.FleetKeys {
		key, _ := hex.DecodeString(encoded) // Check has validated it
		keys = append(keys, key)
	}
	return keys
}

func required(key, value string) error {
	if value == "" {
		return errors.Errorf("key %s: expected a value", key)
	}
	return nil
}

func address(key, value string) error {
	if _, err := netip.ParseAddrPort(value); err != nil {
		return errors.Errorf("key %s: expected IP:port, such as 10.0.0.7:7300, not %q", key, value)
	}
	return nil
}

// duration returns an error if d was read from an invalid text.
func duration(key string, d Duration) error {
	if d.invalid != "" {
		return errors.Errorf("key %s: expected a positive time span with a unit, such as \"10s\", not %q", key, d.invalid)
	}
	return nil
}

// allOrNone returns an error if some but not all of the files are set.
func allOrNone(table string, files ...string) error {
	set := 0
	for _, file := range files {
		if file != "" {
			set++
		}
	}
	if set != 0 && set != len(files) {
		return errors.Errorf("table %s: expected all of the TLS files or none", table)
	}
	return nil
}

// hexBytes returns an error unless value is size bytes in hexadecimal.
func hexBytes(key, value string, size int) error {
	decoded, err := hex.DecodeString(value)
	if err != nil || len(decoded) != size {
		return errors.Errorf("key %s: expected %d bytes in hexadecimal", key, size)
	}
	return nil
}

package membership

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/rand"

	"github.com/pkg/errors"
)

// KeyBytes is the size of a fleet key.
const KeyBytes = 32

// sealLabel binds sealed datagrams to this protocol.
const sealLabel = "carobspoke gossip 1"

// ErrUnsealed is a datagram that no key opens.
var ErrUnsealed = errors.New("membership: datagram can't be opened")

// Sealer seals with the first key and opens with any, so that a key can be
// replaced while daemons hold the old one: add the new key second everywhere,
// then swap the two, then drop the old one.
//
// Nonces are random. A key must be replaced before the fleet has sealed 2³²
// datagrams with it.
type Sealer struct {
	keys []cipher.AEAD
}

// NewSealer returns a Sealer of one or two keys of KeyBytes bytes.
func NewSealer(keys ...[]byte) (*Sealer, error) {
	if len(keys) < 1 || len(keys) > 2 {
		return nil, errors.Errorf("membership: %d fleet keys, want 1 or 2", len(keys))
	}
	s := &Sealer{}
	for _, key := range keys {
		if len(key) != KeyBytes {
			return nil, errors.Errorf("membership: fleet key of %d bytes, want %d", len(key), KeyBytes)
		}
		block, err := aes.NewCipher(key)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		aead, err := cipher.NewGCMWithRandomNonce(block)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		s.keys = append(s.keys, aead)
	}
	return s, nil
}

// NewKey returns a random fleet key.
func NewKey() []byte {
	key := make([]byte, KeyBytes)
	_, _ = rand.Read(key) // never fails: see its documentation
	return key
}

func (s *Sealer) seal(clear []byte) []byte {
	return s.keys[0].Seal(nil, nil, clear, []byte(sealLabel))
}

func (s *Sealer) open(sealed []byte) ([]byte, error) {
	for _, key := range s.keys {
		if clear, err := key.Open(nil, nil, sealed, []byte(sealLabel)); err == nil {
			return clear, nil
		}
	}
	return nil, ErrUnsealed
}

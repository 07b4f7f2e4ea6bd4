package membership

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"

	"github.com/pkg/errors"
)

// Sizes of a sealed datagram's parts, in bytes.
const (
	keyIDBytes = 4
	nonceBytes = 12
)

// Sealer encrypts datagrams under the fleet's keys. The newest seals; each
// opens. It is immutable and safe for concurrent use.
//
// A key is good for 2^32 datagrams of random nonces; it is derived for
// datagrams alone and is replaced with the fleet's keys.
type Sealer struct {
	newest uint32
	keys   map[uint32]cipher.AEAD
	// open sealers leave datagrams as they are.
	open bool
}

// NewOpenSealer returns a sealer for a closed network without fleet keys: it
// leaves datagrams as they are, and any host of the network can send them.
func NewOpenSealer() *Sealer { return &Sealer{open: true} }

// NewSealer returns a sealer of fleet keys, newest first.
func NewSealer(keys [][]byte) (*Sealer, error) {
	if len(keys) == 0 {
		return nil, errors.New("membership: no fleet key")
	}
	s := &Sealer{keys: make(map[uint32]cipher.AEAD, len(keys))}
	for i, key := range keys {
		id, aead, err := derive(key)
		if err != nil {
			return nil, err
		}
		s.keys[id] = aead
		if i == 0 {
			s.newest = id
		}
	}
	return s, nil
}

func derive(key []byte) (uint32, cipher.AEAD, error) {
	sum := sha256.Sum256(append([]byte("carobspoke datagrams"), key...))
	block, err := aes.NewCipher(sum[:])
	if err != nil {
		return 0, nil, errors.Wrap(err, "membership: key")
	}
	aead, err := cipher.NewGCM(block)
	if err != nil {
		return 0, nil, errors.Wrap(err, "membership: key")
	}
	id := sha256.Sum256(sum[:])
	return binary.BigEndian.Uint32(id[:keyIDBytes]), aead, nil
}

// Seal encrypts a datagram.
func (s *Sealer) Seal(plain []byte) []byte {
	if s.open {
		return plain
	}
	sealed := make([]byte, keyIDBytes+nonceBytes, keyIDBytes+nonceBytes+len(plain)+16)
	binary.BigEndian.PutUint32(sealed, s.newest)
	_, _ = rand.Read(sealed[keyIDBytes:]) // it never fails
	return s.keys[s.newest].Seal(sealed, sealed[keyIDBytes:], plain, nil)
}

// Open decrypts a datagram, or fails if it is not of this fleet.
func (s *Sealer) Open(sealed []byte) ([]byte, error) {
	if s.open {
		return sealed, nil
	}
	if len(sealed) < keyIDBytes+nonceBytes {
		return nil, errors.New("membership: datagram too short")
	}
	aead, ok := s.keys[binary.BigEndian.Uint32(sealed)]
	if !ok {
		return nil, errors.New("membership: datagram under an unknown key")
	}
	nonce := sealed[keyIDBytes : keyIDBytes+nonceBytes]
	plain, err := aead.Open(nil, nonce, sealed[keyIDBytes+nonceBytes:], nil)
	return plain, errors.Wrap(err, "membership: datagram")
}

package membership

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"

	"github.com/pkg/errors"
)

// Sizes of the key ID and the nonce that precede the ciphertext of a sealed
// datagram, in bytes.
const (
	keyIDBytes = 4
	nonceBytes = 12
)

// Sealer encrypts and decrypts datagrams with AES-GCM under keys derived from the
// fleet's keys. It encrypts with the newest key and decrypts with any of them. It
// is immutable and safe for concurrent use.
//
// With random nonces, a key must not encrypt more than 2^32 datagrams. Each key is
// therefore derived for datagrams only, and changes with the fleet's key.
type Sealer struct {
	newest uint32
	keys   map[uint32]cipher.AEAD
	// plaintext is true if datagrams are neither encrypted nor authenticated.
	plaintext bool
}

// NewOpenSealer returns a sealer without keys for a closed network. It does not
// encrypt or authenticate datagrams: any host of the network can send them.
func NewOpenSealer() *Sealer { return &Sealer{plaintext: true} }

// NewSealer returns a sealer with the given fleet keys, newest first.
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

// derive returns the ID and the cipher of the datagram key that belongs to a fleet
// key.
func derive(key []byte) (uint32, cipher.AEAD, error) {
	sum := sha256.Sum256(append([]byte("carobspoke datagrams"), key...))
	block, err := aes.NewCipher(sum[:])
	if err != nil {
		return 0, nil, errors.Wrap(err, "membership: derive datagram key")
	}
	aead, err := cipher.NewGCM(block)
	if err != nil {
		return 0, nil, errors.Wrap(err, "membership: derive datagram key")
	}
	id := sha256.Sum256(sum[:])
	return binary.BigEndian.Uint32(id[:keyIDBytes]), aead, nil
}

// Seal encrypts a datagram under the newest key.
func (s *Sealer) Seal(plain []byte) []byte {
	if s.plaintext {
		return plain
	}
	sealed := make([]byte, keyIDBytes+nonceBytes, keyIDBytes+nonceBytes+len(plain)+16)
	binary.BigEndian.PutUint32(sealed, s.newest)
	_, _ = rand.Read(sealed[keyIDBytes:]) // rand.Read never returns an error
	return s.keys[s.newest].Seal(sealed, sealed[keyIDBytes:], plain, nil)
}

// Open decrypts a datagram. It returns an error if the datagram is not
// authenticated by one of the fleet's keys.
func (s *Sealer) Open(sealed []byte) ([]byte, error) {
	if s.plaintext {
		return sealed, nil
	}
	if len(sealed) < keyIDBytes+nonceBytes {
		return nil, errors.New("membership: datagram too short")
	}
	aead, ok := s.keys[binary.BigEndian.Uint32(sealed)]
	if !ok {
		return nil, errors.New("membership: datagram sealed with an unknown key")
	}
	nonce := sealed[keyIDBytes : keyIDBytes+nonceBytes]
	plain, err := aead.Open(nil, nonce, sealed[keyIDBytes+nonceBytes:], nil)
	return plain, errors.Wrap(err, "membership: decrypt datagram")
}

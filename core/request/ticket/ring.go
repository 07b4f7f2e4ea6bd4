package ticket

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/hkdf"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"io"
	"strings"

	"github.com/pkg/errors"
)

// Sizes of a sealed ticket, in bytes.
const (
	// SecretBytes is the length of a fleet key.
	SecretBytes = 32
	// MaxSealedBytes bounds the text that Open looks at.
	MaxSealedBytes = 4 << 10

	format      = 1
	keyIDBytes  = 4
	saltBytes   = 16
	nonceBytes  = 12
	headerBytes = 2 + keyIDBytes + saltBytes + nonceBytes
)

// kind keeps a ticket of one kind from being opened as another.
type kind byte

const (
	callKind   kind = 1
	streamKind kind = 2
)

// Ring holds the fleet's keys. The newest seals; each opens. A Ring is
// immutable and may be shared.
type Ring struct {
	newest  uint32
	secrets map[uint32][]byte
}

// NewRing returns a ring of keys of SecretBytes each, newest first.
func NewRing(secrets ...[]byte) (*Ring, error) {
	if len(secrets) == 0 {
		return nil, errors.New("ticket: no fleet key")
	}
	r := &Ring{newest: keyID(secrets[0]), secrets: make(map[uint32][]byte, len(secrets))}
	for _, secret := range secrets {
		if len(secret) != SecretBytes {
			return nil, errors.Errorf("ticket: a fleet key has %d bytes, not %d", len(secret), SecretBytes)
		}
		r.secrets[keyID(secret)] = append([]byte(nil), secret...)
	}
	return r, nil
}

// keyID names a key without telling it.
func keyID(secret []byte) uint32 {
	sum := sha256.Sum256(append([]byte("carobspoke ticket key id"), secret...))
	return binary.BigEndian.Uint32(sum[:keyIDBytes])
}

// seal encrypts plain under a key of its own, derived from the newest fleet
// key and a random salt. Salt and nonce together are random enough for more
// tickets than a fleet mints in the life of a key.
func (r *Ring) seal(k kind, plain []byte, random io.Reader) (string, error) {
	sealed := make([]byte, headerBytes, headerBytes+len(plain)+16)
	sealed[0], sealed[1] = format, byte(k)
	binary.BigEndian.PutUint32(sealed[2:], r.newest)
	if _, err := io.ReadFull(random, sealed[2+keyIDBytes:]); err != nil {
		return "", errors.Wrap(err, "ticket: random bytes")
	}
	aead, err := derive(r.secrets[r.newest], salt(sealed))
	if err != nil {
		return "", err
	}
	sealed = aead.Seal(sealed, nonce(sealed), plain, sealed[:headerBytes])
	return base64.RawURLEncoding.EncodeToString(sealed), nil
}

// open returns what seal was given. Its errors tell nothing of the content.
func (r *Ring) open(k kind, text string) ([]byte, error) {
	if len(text) > MaxSealedBytes {
		return nil, errors.New("ticket: too long")
	}
	if strings.ContainsAny(text, "\r\n") { // which the decoder would skip
		return nil, errors.New("ticket: encoding")
	}
	sealed, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil {
		return nil, errors.Wrap(err, "ticket: encoding")
	}
	if len(sealed) < headerBytes || sealed[0] != format || sealed[1] != byte(k) {
		return nil, errors.New("ticket: not a ticket of this kind")
	}
	secret, ok := r.secrets[binary.BigEndian.Uint32(sealed[2:])]
	if !ok {
		return nil, errors.New("ticket: sealed with an unknown key")
	}
	aead, err := derive(secret, salt(sealed))
	if err != nil {
		return nil, err
	}
	plain, err := aead.Open(nil, nonce(sealed), sealed[headerBytes:], sealed[:headerBytes])
	return plain, errors.Wrap(err, "ticket: seal")
}

func salt(sealed []byte) []byte {
	return sealed[2+keyIDBytes : 2+keyIDBytes+saltBytes]
}

func nonce(sealed []byte) []byte {
	return sealed[headerBytes-nonceBytes : headerBytes]
}

func derive(secret, salt []byte) (cipher.AEAD, error) {
	key, err := hkdf.Key(sha256.New, secret, salt, "carobspoke ticket", SecretBytes)
	if err != nil {
		return nil, errors.Wrap(err, "ticket: derive")
	}
	block, err := aes.NewCipher(key)
	if err != nil {
		return nil, errors.Wrap(err, "ticket: cipher")
	}
	aead, err := cipher.NewGCM(block)
	return aead, errors.Wrap(err, "ticket: cipher")
}

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

// Sizes of a sealed ticket and its parts, in bytes, and the version of its
// format.
const (
	// SecretBytes is the length of a fleet key.
	SecretBytes = 32
	// MaxSealedBytes is the maximum length of a ticket's text. OpenCall and
	// OpenStream reject longer texts without decoding them.
	MaxSealedBytes = 4 << 10

	formatVersion = 1
	keyIDBytes    = 4
	saltBytes     = 16
	nonceBytes    = 12
	headerBytes   = 2 + keyIDBytes + saltBytes + nonceBytes
)

// kind is part of a ticket's header, so that a ticket of one kind does not open
// as another.
type kind byte

const (
	callKind   kind = 1
	streamKind kind = 2
)

// Keyring holds the fleet's keys. Tickets are sealed with the newest and opened
// with any of them. A Keyring is immutable and safe for concurrent use.
type Keyring struct {
	newestID uint32
	secrets  map[uint32][]byte
}

// NewKeyring returns a Keyring of the given keys, newest first. Each key must be
// SecretBytes long.
func NewKeyring(secrets ...[]byte) (*Keyring, error) {
	if len(secrets) == 0 {
		return nil, errors.New("ticket: no fleet key")
	}
	r := &Keyring{newestID: keyID(secrets[0]), secrets: make(map[uint32][]byte, len(secrets))}
	for _, secret := range secrets {
		if len(secret) != SecretBytes {
			return nil, errors.Errorf("ticket: fleet key has %d bytes, want %d", len(secret), SecretBytes)
		}
		r.secrets[keyID(secret)] = append([]byte(nil), secret...)
	}
	return r, nil
}

// keyID returns an identifier of a key that does not reveal it.
func keyID(secret []byte) uint32 {
	sum := sha256.Sum256(append([]byte("carobspoke ticket key id"), secret...))
	return binary.BigEndian.Uint32(sum[:keyIDBytes])
}

// seal encrypts plain under a key for this ticket only, derived from the newest
// fleet key and a random salt. Salt and nonce together have enough random bits
// for more tickets than a fleet issues in the lifetime of a key.
func (r *Keyring) seal(k kind, plain []byte, random io.Reader) (string, error) {
	sealed := make([]byte, headerBytes, headerBytes+len(plain)+16)
	sealed[0], sealed[1] = formatVersion, byte(k)
	binary.BigEndian.PutUint32(sealed[2:], r.newestID)
	if _, err := io.ReadFull(random, sealed[2+keyIDBytes:]); err != nil {
		return "", errors.Wrap(err, "ticket: read random bytes")
	}
	aead, err := derive(r.secrets[r.newestID], salt(sealed))
	if err != nil {
		return "", err
	}
	sealed = aead.Seal(sealed, nonce(sealed), plain, sealed[:headerBytes])
	return base64.RawURLEncoding.EncodeToString(sealed), nil
}

// open decrypts a text returned by seal. Its errors reveal nothing about the
// content.
func (r *Keyring) open(k kind, text string) ([]byte, error) {
	if len(text) > MaxSealedBytes {
		return nil, errors.New("ticket: text is too long")
	}
	if strings.ContainsAny(text, "\r\n") { // the decoder would skip them
		return nil, errors.New("ticket: text contains a line break")
	}
	sealed, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil {
		return nil, errors.Wrap(err, "ticket: decode base64")
	}
	if len(sealed) < headerBytes || sealed[0] != formatVersion || sealed[1] != byte(k) {
		return nil, errors.New("ticket: wrong format or kind")
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
	return plain, errors.Wrap(err, "ticket: decrypt")
}

func salt(sealed []byte) []byte {
	return sealed[2+keyIDBytes : 2+keyIDBytes+saltBytes]
}

func nonce(sealed []byte) []byte {
	return sealed[headerBytes-nonceBytes : headerBytes]
}

// derive returns the cipher of one ticket.
func derive(secret, salt []byte) (cipher.AEAD, error) {
	key, err := hkdf.Key(sha256.New, secret, salt, "carobspoke ticket", SecretBytes)
	if err != nil {
		return nil, errors.Wrap(err, "ticket: derive key")
	}
	block, err := aes.NewCipher(key)
	if err != nil {
		return nil, errors.Wrap(err, "ticket: create cipher")
	}
	aead, err := cipher.NewGCM(block)
	return aead, errors.Wrap(err, "ticket: create cipher")
}

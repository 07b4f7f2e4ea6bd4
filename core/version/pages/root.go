package pages

import (
	"bytes"
	"crypto/ed25519"
	"encoding/base64"

	"carobspoke.example/core/names"
	"carobspoke.example/core/version/manifest"
	"github.com/pkg/errors"
)

// Format is the version of the encoding of roots and pages.
const Format = 1

// signatureContext is prepended to an encoded root before signing (domain
// separation), so that no other text signed with the same key is accepted as a
// root.
const signatureContext = "carobspoke manifest root 1\n"

// Ref identifies a page in a root.
type Ref struct {
	Section Section
	// First is the name of the page's first entry; it is empty for the
	// first page of a section. Section and First together identify the page
	// of the previous version that this page replaces.
	First  string
	Digest names.Digest
	// Bytes is the size of the page, in bytes.
	Bytes int
}

// Root lists the pages of one version.
type Root struct {
	Format  int
	Schema  int
	Version names.Version
	Pages   []Ref
	// Digest is the SHA-256 digest of the encoded root without its signature.
	Digest names.Digest
	// Signed is the root as it is published: the signature in base64, a
	// line feed, and the encoded root.
	Signed []byte
}

// Encode returns the encoded root without a signature, which is the input of Sign.
func (r *Root) Encode() []byte { return encodeRoot(r) }

// Sign returns the signed form of an encoded root. It fails if the key has a
// wrong length or the result exceeds MaxRootBytes.
func Sign(encoded []byte, key ed25519.PrivateKey) ([]byte, error) {
	if len(key) != ed25519.PrivateKeySize {
		return nil, errors.Errorf("private key has %d bytes, expected %d", len(key), ed25519.PrivateKeySize)
	}
	signature := ed25519.Sign(key, append([]byte(signatureContext), encoded...))
	signed := append([]byte(encodeSignature(signature)+"\n"), encoded...)
	if len(signed) > MaxRootBytes {
		return nil, errors.Errorf("root has %d bytes, limit %d", len(signed), MaxRootBytes)
	}
	return signed, nil
}

// signRoot sets the digest and the signed form of r.
func signRoot(r *Root, key ed25519.PrivateKey) error {
	encoded := encodeRoot(r)
	signed, err := Sign(encoded, key)
	if err != nil {
		return err
	}
	r.Digest, r.Signed = DigestOf(encoded), signed
	return nil
}

// ParseRoot verifies a signed root against the operators' public keys, any one of
// which may have signed it, decodes it and checks its limits.
func ParseRoot(signed []byte, keys []ed25519.PublicKey) (*Root, error) {
	payload, err := verify(signed, keys)
	if err != nil {
		return nil, err
	}
	r := &Root{Digest: DigestOf(payload), Signed: bytes.Clone(signed)}
	if err := decodeRoot(r, payload); err != nil {
		return nil, err
	}
	if err := r.check(); err != nil {
		return nil, err
	}
	return r, nil
}

// verify returns the encoded root within signed if one of keys has signed it.
func verify(signed []byte, keys []ed25519.PublicKey) ([]byte, error) {
	if len(signed) > MaxRootBytes {
		return nil, errors.Wrapf(ErrUntrusted, "root has %d bytes, limit %d", len(signed), MaxRootBytes)
	}
	line, payload, found := bytes.Cut(signed, []byte("\n"))
	if !found {
		return nil, errors.Wrap(ErrUntrusted, "root has no signature line")
	}
	signature, err := base64.StdEncoding.DecodeString(string(line))
	if err != nil || len(signature) != ed25519.SignatureSize {
		return nil, errors.Wrap(ErrUntrusted, "root's signature is malformed")
	}
	message := append([]byte(signatureContext), payload...)
	for _, key := range keys {
		if len(key) == ed25519.PublicKeySize && ed25519.Verify(key, message, signature) {
			return payload, nil
		}
	}
	return nil, errors.Wrap(ErrUntrusted, "root is signed by none of the known keys")
}

func (r *Root) check() error {
	switch {
	case r.Format != Format:
		return errors.Wrapf(ErrInvalidManifest, "root has format %d, this release reads %d", r.Format, Format)
	case r.Schema != manifest.Schema:
		return errors.Wrapf(ErrInvalidManifest, "manifest has schema %d, this release reads %d", r.Schema, manifest.Schema)
	case r.Version == 0 || r.Version > manifest.MaxVersion:
		return errors.Wrapf(ErrInvalidManifest, "version %d is out of range", r.Version)
	case len(r.Pages) > MaxPages:
		return errors.Wrapf(ErrInvalidManifest, "%d pages, limit %d", len(r.Pages), MaxPages)
	}
	return r.checkPages()
}

func (r *Root) checkPages() error {
	total := 0
	for i, ref := range r.Pages {
		if !validDigest(ref.Digest) || ref.Bytes < 1 || ref.Bytes > MaxPageBytes {
			return errors.Wrapf(ErrInvalidManifest, "page %d has a bad digest or size", i)
		}
		if ref.Section.rank() < 0 {
			return errors.Wrapf(ErrInvalidManifest, "page %d is of unknown section %q", i, ref.Section)
		}
		if i > 0 && !refLess(r.Pages[i-1], ref) {
			return errors.Wrapf(ErrInvalidManifest, "page %d is out of order", i)
		}
		total += ref.Bytes
	}
	if total > MaxManifestBytes {
		return errors.Wrapf(ErrInvalidManifest, "%d bytes in all, limit %d", total, MaxManifestBytes)
	}
	return nil
}

// refLess reports whether page a precedes page b in a root.
func refLess(a, b Ref) bool {
	if a.Section != b.Section {
		return a.Section.rank() < b.Section.rank()
	}
	return a.First < b.First
}

// Missing returns the pages of r for which have returns false.
func (r *Root) Missing(have func(names.Digest) bool) []Ref {
	var missing []Ref
	for _, ref := range r.Pages {
		if !have(ref.Digest) {
			missing = append(missing, ref)
		}
	}
	return missing
}

// Predecessor returns the page of r that ref of a newer root replaces: the page
// with the same section and first entry.
func (r *Root) Predecessor(ref Ref) (Ref, bool) {
	for _, old := range r.Pages {
		if old.Section == ref.Section && old.First == ref.First {
			return old, true
		}
	}
	return Ref{}, false
}

func encodeSignature(signature []byte) string { return base64.StdEncoding.EncodeToString(signature) }

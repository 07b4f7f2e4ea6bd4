// Package pages encodes a manifest as the values that the configuration service
// stores, a signed root and content-addressed pages, and decodes them.
//
// A page is a sorted run of entries of one section, one JSON line per entry. It
// is identified by its SHA-256 digest and therefore immutable. The root lists the
// pages of a version with their digests and is signed with ed25519 by the
// operators' pipeline, so that digests and signature prove the origin of a
// version no matter which source supplied it. Pages are published before the
// root, so that a reader of the root finds all of its pages.
//
// Page boundaries are content-defined: apart from the size limit they depend on
// the names of entries, not on their number, so that adding, removing or changing
// an entry affects its own page and at most one neighbour. Between two versions
// only the changed bytes of a page need to be sent, as a Delta whose result is
// verified by digest.
//
// An error that wraps ErrUntrusted means that the source supplied wrong bytes;
// another source may have the right ones. An error that wraps ErrInvalidManifest
// means that the version itself is invalid, whichever source supplies it. The
// package does no I/O.
package pages

import (
	"crypto/sha256"
	"encoding/hex"

	"carobspoke.example/core/names"
	"github.com/pkg/errors"
)

// Limits of the published form.
const (
	// MaxPageBytes is the size limit of a page, in bytes.
	MaxPageBytes = 256 << 10
	// MaxRootBytes is the size limit of a signed root, in bytes.
	MaxRootBytes = 256 << 10
	// MaxPublicationBytes is the size limit of the value of RootKey, in bytes.
	MaxPublicationBytes = 768 << 10
	// MaxPages is the maximum number of pages of a version.
	MaxPages = 2048
	// MaxManifestBytes is the limit on the total size of the pages of a
	// version, in bytes.
	MaxManifestBytes = 32 << 20
	// EntriesPerPage is the mean number of entries per page.
	EntriesPerPage = 128
)

// Keys of the configuration service. They contain no slash.
const (
	// RootKey is the key of the Publication of the latest version.
	RootKey = "manifest-root"
	// PageKeyPrefix is the prefix of the key of a page, followed by the
	// page's digest.
	PageKeyPrefix = "manifest-page-"
)

// Causes that errors of decoding and verification wrap.
var (
	// ErrUntrusted means that bytes are missing or malformed, or do not
	// match the digest in the root or the operators' signature.
	ErrUntrusted = errors.New("untrusted bytes")
	// ErrInvalidManifest means that a version signed by the operators is
	// invalid.
	ErrInvalidManifest = errors.New("bad manifest")
)

// Page is an immutable part of a manifest in its encoded form.
type Page struct {
	Ref  Ref
	Data []byte
}

// DigestOf returns the SHA-256 digest of data, in hexadecimal.
func DigestOf(data []byte) names.Digest {
	sum := sha256.Sum256(data)
	return names.Digest(hex.EncodeToString(sum[:]))
}

// PageKey returns the key of the page with the given digest.
func PageKey(d names.Digest) string { return PageKeyPrefix + string(d) }

// validDigest reports whether d is a SHA-256 digest in lower-case hexadecimal.
func validDigest(d names.Digest) bool {
	raw, err := hex.DecodeString(string(d))
	return err == nil && len(raw) == sha256.Size && hex.EncodeToString(raw) == string(d)
}

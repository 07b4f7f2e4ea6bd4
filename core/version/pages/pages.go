// Package pages turns a manifest into what the configuration service holds,
// and back: a signed root and the pages that it names.
//
// A page is a sorted run of one section's entries, a JSON line each, and is
// named by its SHA-256 digest, so that it never changes. The root lists the
// pages of a version with their digests and is signed with ed25519 by the
// operators' pipeline; digest and signature prove a version's origin whoever
// passes it on. Pages are published first and the root last, so that a reader
// of the root finds all of its pages.
//
// Where a page begins depends on the names of its entries alone, not on their
// number: an entry that is added, removed or changed touches its own page and
// at most one neighbour. Between two versions only the bytes of a page that
// differ need to be sent, as a Delta, whose result is checked by digest.
//
// Errors that wrap ErrSource blame whoever gave the bytes: other sources may
// do better. Errors that wrap ErrContent blame the version itself: it is bad
// wherever it comes from. The package does no I/O.
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
	// MaxPublicationBytes is the size limit of the root's value, in bytes.
	MaxPublicationBytes = 768 << 10
	// MaxPages is the limit on the pages of a version.
	MaxPages = 2048
	// MaxManifestBytes is the limit on all pages together, in bytes.
	MaxManifestBytes = 32 << 20
	// EntriesPerPage is the mean number of entries of a page.
	EntriesPerPage = 128
)

// Keys of the configuration service. They hold no slash.
const (
	// RootKey is the key of the Publication of the newest version.
	RootKey = "manifest-root"
	// PageKeyPrefix is followed by the page's digest.
	PageKeyPrefix = "manifest-page-"
)

// Causes that every error of this package wraps.
var (
	// ErrSource says that bytes are not what the root or the operators
	// vouch for.
	ErrSource = errors.New("untrusted bytes")
	// ErrContent says that a version which the operators signed is bad.
	ErrContent = errors.New("bad manifest")
)

// Page is an immutable part of a manifest.
type Page struct {
	Ref  Ref
	Data []byte
}

// DigestOf returns the SHA-256 of data.
func DigestOf(data []byte) names.Digest {
	sum := sha256.Sum256(data)
	return names.Digest(hex.EncodeToString(sum[:]))
}

// PageKey returns the key of the page with a digest.
func PageKey(d names.Digest) string { return PageKeyPrefix + string(d) }

func validDigest(d names.Digest) bool {
	raw, err := hex.DecodeString(string(d))
	return err == nil && len(raw) == sha256.Size && hex.EncodeToString(raw) == string(d)
}

package pages

import (
	"crypto/ed25519"
	"encoding/json"

	"carobspoke.example/core/names"
	"carobspoke.example/core/version/manifest"
	"github.com/pkg/errors"
)

// PackedManifest is a manifest version in its encoded form.
type PackedManifest struct {
	Root  *Root
	Pages []Page
}

// Value is a key and its value to write to the configuration service.
type Value struct {
	Key  string
	Data []byte
}

// Publication is the value of RootKey. Deltas transform pages of the previous
// version into those of this one, so that readers need not fetch the changed
// pages. They need no signature, since their results are verified by the digests
// in the root.
type Publication struct {
	Root   string  `json:"root"`
	Deltas []Delta `json:"deltas,omitempty"`
}

// Pack validates a manifest, divides it into pages and signs the root.
func Pack(m *manifest.Manifest, key ed25519.PrivateKey) (*PackedManifest, error) {
	p, err := PackUnsigned(m)
	if err != nil {
		return nil, err
	}
	return p, signRoot(p.Root, key)
}

// PackUnsigned validates a manifest and divides it into pages. It does not sign
// the root.
func PackUnsigned(m *manifest.Manifest) (*PackedManifest, error) {
	if err := m.Check(); err != nil {
		return nil, err
	}
	entries, err := entriesBySection(m.Canonical())
	if err != nil {
		return nil, err
	}
	p := &PackedManifest{Root: &Root{Format: Format, Schema: m.Schema, Version: m.Version}}
	for _, s := range []Section{Settings, Models, Services, Customers, Targets, Departures} {
		p.Pages = append(p.Pages, paginate(s, entries[s])...)
	}
	for _, page := range p.Pages {
		p.Root.Pages = append(p.Root.Pages, page.Ref)
	}
	return p, p.Root.check()
}

// Page returns the data of a page by its digest.
func (p *PackedManifest) Page(d names.Digest) ([]byte, bool) {
	for _, page := range p.Pages {
		if page.Ref.Digest == d {
			return page.Data, true
		}
	}
	return nil, false
}

// ValuesToPublish returns the values that publish next, in the order in which they
// must be written: the pages that previous does not have, then the root. previous
// is the version published before, signed or not, or nil if there is none.
func ValuesToPublish(previous, next *PackedManifest) ([]Value, error) {
	values := NewPageValues(previous, next)
	root, err := EncodePublication(next.Root.Signed, Deltas(previous, next))
	if err != nil {
		return nil, err
	}
	return append(values, root), nil
}

// NewPageValues returns the values of the pages of next that previous does not
// have. previous may be nil.
func NewPageValues(previous, next *PackedManifest) []Value {
	var values []Value
	for _, page := range next.Pages {
		if previous != nil {
			if _, found := previous.Page(page.Ref.Digest); found {
				continue
			}
		}
		values = append(values, Value{Key: PageKey(page.Ref.Digest), Data: page.Data})
	}
	return values
}

// EncodePublication returns the value of RootKey. It omits the deltas if the
// value would exceed MaxPublicationBytes with them.
func EncodePublication(signed []byte, deltas []Delta) (Value, error) {
	p := Publication{Root: string(signed), Deltas: deltas}
	data, err := json.Marshal(p)
	if err == nil && len(data) > MaxPublicationBytes {
		p.Deltas = nil
		data, err = json.Marshal(p)
	}
	return Value{Key: RootKey, Data: data}, errors.Wrap(err, "encode publication")
}

// Deltas returns the deltas between the pages of previous and the changed pages
// of next. previous may be nil.
func Deltas(previous, next *PackedManifest) []Delta {
	if previous == nil {
		return nil
	}
	var list []Delta
	for _, page := range next.Pages {
		old, found := previous.Root.Predecessor(page.Ref)
		if !found || old.Digest == page.Ref.Digest {
			continue
		}
		if data, stored := previous.Page(old.Digest); stored {
			list = append(list, NewDelta(old.Digest, data, page.Ref.Digest, page.Data))
		}
	}
	return list
}

// ParsePublication decodes the value of RootKey. It does not verify the root,
// which ParseRoot does.
func ParsePublication(data []byte) (*Publication, error) {
	var p Publication
	if err := json.Unmarshal(data, &p); err != nil {
		return nil, errors.Wrapf(ErrUntrusted, "publication: %v", err)
	}
	return &p, nil
}

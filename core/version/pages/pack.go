package pages

import (
	"crypto/ed25519"
	"encoding/json"

	"carobspoke.example/core/names"
	"carobspoke.example/core/version/manifest"
	"github.com/pkg/errors"
)

// Packed is a version in its published form.
type Packed struct {
	Root  *Root
	Pages []Page
}

// Value is one value to publish.
type Value struct {
	Key  string
	Data []byte
}

// Publication is the value of RootKey. Deltas lead from the version before to
// this one; they save its readers the reading of pages and need no signature,
// since their results are checked by the root's digests.
type Publication struct {
	Root   string  `json:"root"`
	Deltas []Delta `json:"deltas,omitempty"`
}

// Pack checks a manifest, cuts it into pages and signs the root.
func Pack(m *manifest.Manifest, key ed25519.PrivateKey) (*Packed, error) {
	p, err := Cut(m)
	if err != nil {
		return nil, err
	}
	return p, signRoot(p.Root, key)
}

// Cut checks a manifest and cuts it into pages. The root is not signed yet.
func Cut(m *manifest.Manifest) (*Packed, error) {
	if err := m.Check(); err != nil {
		return nil, err
	}
	all, err := sections(m.Canonical())
	if err != nil {
		return nil, err
	}
	p := &Packed{Root: &Root{Format: Format, Schema: m.Schema, Version: m.Version}}
	for _, s := range []Section{Settings, Models, Services, Customers, Targets, Departures} {
		p.Pages = append(p.Pages, cut(s, all[s])...)
	}
	for _, page := range p.Pages {
		p.Root.Pages = append(p.Root.Pages, page.Ref)
	}
	return p, p.Root.check()
}

// Page returns a page's data.
func (p *Packed) Page(d names.Digest) ([]byte, bool) {
	for _, page := range p.Pages {
		if page.Ref.Digest == d {
			return page.Data, true
		}
	}
	return nil, false
}

// Publish returns the values to write, in the order in which they must be
// written: the pages that previous does not have, then the root. Previous is
// the version published before, signed or not, or nil.
func Publish(previous, next *Packed) ([]Value, error) {
	values := NewPages(previous, next)
	root, err := EncodePublication(next.Root.Signed, Deltas(previous, next))
	if err != nil {
		return nil, err
	}
	return append(values, root), nil
}

// NewPages returns the pages of next that previous does not have.
func NewPages(previous, next *Packed) []Value {
	var values []Value
	for _, page := range next.Pages {
		if previous != nil {
			if _, old := previous.Page(page.Ref.Digest); old {
				continue
			}
		}
		values = append(values, Value{Key: PageKey(page.Ref.Digest), Data: page.Data})
	}
	return values
}

// EncodePublication returns the root's value, without deltas if they do not
// fit.
func EncodePublication(signed []byte, deltas []Delta) (Value, error) {
	p := Publication{Root: string(signed), Deltas: deltas}
	data, err := json.Marshal(p)
	if err == nil && len(data) > MaxPublicationBytes {
		p.Deltas = nil
		data, err = json.Marshal(p)
	}
	return Value{Key: RootKey, Data: data}, errors.Wrap(err, "encode publication")
}

// Deltas returns what leads from the pages of one version to the next.
// Previous may be nil.
func Deltas(previous, next *Packed) []Delta {
	if previous == nil {
		return nil
	}
	var list []Delta
	for _, page := range next.Pages {
		old, found := previous.Root.Predecessor(page.Ref)
		if !found || old.Digest == page.Ref.Digest {
			continue
		}
		if data, held := previous.Page(old.Digest); held {
			list = append(list, NewDelta(old.Digest, data, page.Ref.Digest, page.Data))
		}
	}
	return list
}

// ParsePublication reads the value of RootKey. The root within is not yet
// checked.
func ParsePublication(data []byte) (*Publication, error) {
	var p Publication
	if err := json.Unmarshal(data, &p); err != nil {
		return nil, errors.Wrapf(ErrSource, "publication: %v", err)
	}
	return &p, nil
}

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
	if err := m.Check(); err != nil {
		return nil, err
	}
	if len(key) != ed25519.PrivateKeySize {
		return nil, errors.Errorf("private key has %d bytes, expected %d", len(key), ed25519.PrivateKeySize)
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
	if err := p.Root.check(); err != nil {
		return nil, err
	}
	return p, signRoot(p.Root, key)
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
// the version published before, or nil.
func Publish(previous, next *Packed) ([]Value, error) {
	var values []Value
	for _, page := range next.Pages {
		if previous != nil {
			if _, old := previous.Page(page.Ref.Digest); old {
				continue
			}
		}
		values = append(values, Value{Key: PageKey(page.Ref.Digest), Data: page.Data})
	}
	root, err := publication(previous, next)
	if err != nil {
		return nil, err
	}
	return append(values, Value{Key: RootKey, Data: root}), nil
}

// publication encodes the root's value, without deltas if they do not fit.
func publication(previous, next *Packed) ([]byte, error) {
	p := Publication{Root: string(next.Root.Signed), Deltas: deltas(previous, next)}
	data, err := json.Marshal(p)
	if err != nil {
		return nil, errors.Wrap(err, "encode publication")
	}
	if len(data) <= MaxPublicationBytes {
		return data, nil
	}
	p.Deltas = nil
	data, err = json.Marshal(p)
	return data, errors.Wrap(err, "encode publication")
}

func deltas(previous, next *Packed) []Delta {
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

package pages

import (
	"bytes"
	"encoding/json"
	"io"

	"carobspoke.example/core/names"
	"carobspoke.example/core/version/manifest"
	"github.com/pkg/errors"
)

// Assembler builds manifests from roots and pages. It caches the decoded pages
// of the last assembled version, so that for the next version only changed pages
// are decoded. It is not safe for concurrent use.
type Assembler struct {
	decoded map[names.Digest]fragment
}

// fragment is a decoded page. Only the field of the page's section is set.
type fragment struct {
	settings   []settings
	models     []manifest.Model
	services   []manifest.Service
	customers  []manifest.Customer
	targets    []manifest.Target
	departures []manifest.Departure
}

// Assemble builds and validates the manifest of a root that ParseRoot returned.
// The function page returns the data of a page by digest; Assemble verifies the
// data. The manifest shares memory with those assembled before and must not be
// modified.
func (a *Assembler) Assemble(r *Root, page func(names.Digest) ([]byte, bool)) (*manifest.Manifest, error) {
	next := make(map[names.Digest]fragment, len(r.Pages))
	m := &manifest.Manifest{Schema: r.Schema, Version: r.Version}
	for _, ref := range r.Pages {
		f, err := a.fragment(ref, page)
		if err != nil {
			return nil, err
		}
		next[ref.Digest] = f
		f.addTo(m)
	}
	if err := m.Check(); err != nil {
		return nil, errors.Wrap(ErrInvalidManifest, err.Error())
	}
	a.decoded = next
	return m, nil
}

// Assemble is Assembler.Assemble without cached pages.
func Assemble(r *Root, page func(names.Digest) ([]byte, bool)) (*manifest.Manifest, error) {
	return new(Assembler).Assemble(r, page)
}

// fragment returns a decoded page from the cache, or verifies and decodes it.
func (a *Assembler) fragment(ref Ref, page func(names.Digest) ([]byte, bool)) (fragment, error) {
	if f, cached := a.decoded[ref.Digest]; cached {
		return f, nil
	}
	data, found := page(ref.Digest)
	if !found {
		return fragment{}, errors.Wrapf(ErrUntrusted, "page %s is missing", ref.Digest)
	}
	if len(data) != ref.Bytes || DigestOf(data) != ref.Digest {
		return fragment{}, errors.Wrapf(ErrUntrusted, "page %s has other content", ref.Digest)
	}
	return decodePage(ref.Section, data)
}

func decodePage(s Section, data []byte) (fragment, error) {
	var f fragment
	var err error
	switch s {
	case Settings:
		f.settings, err = decodeLines[settings](data)
	case Models:
		f.models, err = decodeLines[manifest.Model](data)
	case Services:
		f.services, err = decodeLines[manifest.Service](data)
	case Customers:
		f.customers, err = decodeLines[manifest.Customer](data)
	case Targets:
		f.targets, err = decodeLines[manifest.Target](data)
	case Departures:
		f.departures, err = decodeLines[manifest.Departure](data)
	}
	return f, errors.Wrapf(err, "page of %s", s)
}

// decodeLines decodes a sequence of JSON values, refusing unknown fields.
func decodeLines[T any](data []byte) ([]T, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	var list []T
	for {
		var item T
		err := decoder.Decode(&item)
		if errors.Is(err, io.EOF) {
			return list, nil
		}
		if err != nil {
			return nil, errors.Wrapf(ErrInvalidManifest, "entry %d: %v", len(list), err)
		}
		list = append(list, item)
	}
}

// addTo appends the entries of f to m.
func (f fragment) addTo(m *manifest.Manifest) {
	for _, s := range f.settings {
		m.Fleet = s.Fleet
		m.Policy = s.Policy
	}
	m.Models = append(m.Models, f.models...)
	m.Services = append(m.Services, f.services...)
	m.Customers = append(m.Customers, f.customers...)
	m.Targets = append(m.Targets, f.targets...)
	m.Departures = append(m.Departures, f.departures...)
}

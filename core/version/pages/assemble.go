package pages

import (
	"bytes"
	"encoding/json"
	"io"

	"carobspoke.example/core/names"
	"carobspoke.example/core/version/manifest"
	"github.com/pkg/errors"
)

// Assembler makes manifests from roots and pages. It keeps the decoded pages
// of the last version, so that a change costs the decoding of the pages that
// it touches. It is not safe for concurrent use.
type Assembler struct {
	decoded map[names.Digest]fragment
}

// fragment is a decoded page: the part of a manifest that it holds.
type fragment struct {
	settings   []settings
	models     []manifest.Model
	services   []manifest.Service
	customers  []manifest.Customer
	targets    []manifest.Target
	departures []manifest.Departure
}

// Assemble makes and checks the manifest of a root that ParseRoot returned.
// Page returns a page's data by digest, whose digest is checked here. The
// manifest shares memory with those assembled before and must not be changed.
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
		return nil, errors.Wrap(ErrContent, err.Error())
	}
	a.decoded = next
	return m, nil
}

// Assemble makes and checks a manifest without the memory of an Assembler.
func Assemble(r *Root, page func(names.Digest) ([]byte, bool)) (*manifest.Manifest, error) {
	return new(Assembler).Assemble(r, page)
}

func (a *Assembler) fragment(ref Ref, page func(names.Digest) ([]byte, bool)) (fragment, error) {
	if f, known := a.decoded[ref.Digest]; known {
		return f, nil
	}
	data, held := page(ref.Digest)
	if !held {
		return fragment{}, errors.Wrapf(ErrSource, "page %s is missing", ref.Digest)
	}
	if len(data) != ref.Bytes || DigestOf(data) != ref.Digest {
		return fragment{}, errors.Wrapf(ErrSource, "page %s has other content", ref.Digest)
	}
	return decode(ref.Section, data)
}

func decode(s Section, data []byte) (fragment, error) {
	var f fragment
	var err error
	switch s {
	case Settings:
		f.settings, err = lines[settings](data)
	case Models:
		f.models, err = lines[manifest.Model](data)
	case Services:
		f.services, err = lines[manifest.Service](data)
	case Customers:
		f.customers, err = lines[manifest.Customer](data)
	case Targets:
		f.targets, err = lines[manifest.Target](data)
	case Departures:
		f.departures, err = lines[manifest.Departure](data)
	}
	return f, errors.Wrapf(err, "page of %s", s)
}

func lines[T any](data []byte) ([]T, error) {
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
			return nil, errors.Wrapf(ErrContent, "entry %d: %v", len(list), err)
		}
		list = append(list, item)
	}
}

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

package pages

import (
	"bytes"
	"encoding/json"

	"carobspoke.example/core/version/manifest"
	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// Section is a part of a manifest that pages are cut from.
type Section string

// Sections, in the order of a root's pages.
const (
	Settings   Section = "settings"
	Models     Section = "models"
	Services   Section = "services"
	Customers  Section = "customers"
	Targets    Section = "targets"
	Departures Section = "departures"
)

// settings is the only entry of the section of that name.
type settings struct {
	Fleet  manifest.Fleet  `json:"fleet"`
	Policy manifest.Policy `json:"policy"`
}

// rank returns a section's place in a root, or -1.
func (s Section) rank() int {
	for i, known := range []Section{Settings, Models, Services, Customers, Targets, Departures} {
		if s == known {
			return i
		}
	}
	return -1
}

// entry is one line of a page.
type entry struct {
	name string
	line []byte
}

// sections returns the entries of every section, sorted by name.
func sections(m *manifest.Manifest) (map[Section][]entry, error) {
	all := map[Section][]entry{}
	steps := []func() error{
		func() error {
			one := []settings{{Fleet: m.Fleet, Policy: m.Policy}}
			return add(all, Settings, one, func(settings) string { return "" })
		},
		func() error {
			return add(all, Models, m.Models, func(x manifest.Model) string { return string(x.Name) })
		},
		func() error {
			return add(all, Services, m.Services, func(x manifest.Service) string { return string(x.Name) })
		},
		func() error {
			return add(all, Customers, m.Customers, func(x manifest.Customer) string { return string(x.Name) })
		},
		func() error {
			return add(all, Targets, m.Targets, func(x manifest.Target) string { return string(x.Name) })
		},
		func() error {
			return add(all, Departures, m.Departures, func(x manifest.Departure) string { return string(x.Target) })
		},
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return nil, err
		}
	}
	return all, nil
}

func add[T any](all map[Section][]entry, s Section, list []T, name func(T) string) error {
	for _, item := range list {
		line, err := json.Marshal(item)
		if err != nil {
			return errors.Wrapf(err, "%s %q", s, name(item))
		}
		if len(line) >= MaxPageBytes {
			return errors.Errorf("%s %q: %d bytes, limit %d", s, name(item), len(line), MaxPageBytes)
		}
		all[s] = append(all[s], entry{name: name(item), line: line})
	}
	return nil
}

// cut divides a section's sorted entries into pages.
func cut(s Section, entries []entry) []Page {
	var pages []Page
	var first string
	var data bytes.Buffer
	flush := func() {
		if data.Len() > 0 {
			pages = append(pages, newPage(s, first, bytes.Clone(data.Bytes())))
		}
		data.Reset()
	}
	for i, e := range entries {
		full := data.Len()+len(e.line)+1 > MaxPageBytes
		if i > 0 && (full || begins(e.name)) {
			flush()
			first = e.name
		}
		data.Write(e.line)
		data.WriteByte('\n')
	}
	flush()
	return pages
}

// begins reports whether an entry begins a page.
func begins(name string) bool { return xxhash.Sum64String(name)%EntriesPerPage == 0 }

func newPage(s Section, first string, data []byte) Page {
	return Page{Ref: Ref{Section: s, First: first, Digest: DigestOf(data), Bytes: len(data)}, Data: data}
}

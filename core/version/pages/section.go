package pages

import (
	"bytes"
	"encoding/json"

	"carobspoke.example/core/version/manifest"
	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// Section is a part of a manifest. A page contains entries of one section.
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

// settings is the only entry of the section Settings.
type settings struct {
	Fleet  manifest.Fleet  `json:"fleet"`
	Policy manifest.Policy `json:"policy"`
}

// rank returns the position of the section in a root, or -1 if it is unknown.
func (s Section) rank() int {
	for i, section := range []Section{Settings, Models, Services, Customers, Targets, Departures} {
		if s == section {
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

// entriesBySection returns the encoded entries of each section of a canonical
// manifest, sorted by name.
func entriesBySection(m *manifest.Manifest) (map[Section][]entry, error) {
	all := map[Section][]entry{}
	steps := []func() error{
		func() error {
			list := []settings{{Fleet: m.Fleet, Policy: m.Policy}}
			return addEntries(all, Settings, list, func(settings) string { return "" })
		},
		func() error {
			return addEntries(all, Models, m.Models, func(x manifest.Model) string { return string(x.Name) })
		},
		func() error {
			return addEntries(all, Services, m.Services, func(x manifest.Service) string { return string(x.Name) })
		},
		func() error {
			return addEntries(all, Customers, m.Customers, func(x manifest.Customer) string { return string(x.Name) })
		},
		func() error {
			return addEntries(all, Targets, m.Targets, func(x manifest.Target) string { return string(x.Name) })
		},
		func() error {
			return addEntries(all, Departures, m.Departures, func(x manifest.Departure) string { return string(x.Target) })
		},
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return nil, err
		}
	}
	return all, nil
}

// addEntries encodes the items of list as entries of section s.
func addEntries[T any](all map[Section][]entry, s Section, list []T, name func(T) string) error {
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

// paginate divides the sorted entries of a section into pages.
func paginate(s Section, entries []entry) []Page {
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
		if i > 0 && (full || startsPage(e.name)) {
			flush()
			first = e.name
		}
		data.Write(e.line)
		data.WriteByte('\n')
	}
	flush()
	return pages
}

// startsPage reports whether the entry with the given name starts a page. It
// depends on the name alone, so that changes of other entries do not move it.
func startsPage(name string) bool { return xxhash.Sum64String(name)%EntriesPerPage == 0 }

func newPage(s Section, first string, data []byte) Page {
	return Page{Ref: Ref{Section: s, First: first, Digest: DigestOf(data), Bytes: len(data)}, Data: data}
}

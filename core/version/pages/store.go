package pages

import "carobspoke.example/core/names"

// Store keeps the roots and pages of the version in force, of some versions
// before it, and of those being fetched. Pages are held once however many
// roots name them. It is not safe for concurrent use.
type Store struct {
	limit int
	// roots are the versions that were in force, the newest last.
	roots []*Root
	// spare are roots being fetched.
	spare map[names.Digest]*Root
	pages map[names.Digest][]byte
}

// maxSpare bounds the roots being fetched.
const maxSpare = 4

// NewStore returns a store that forgets old versions while its pages have more
// than limit bytes. The version in force is always kept.
func NewStore(limit int) *Store {
	return &Store{limit: limit, spare: map[names.Digest]*Root{}, pages: map[names.Digest][]byte{}}
}

// Root returns a root by its digest.
func (s *Store) Root(d names.Digest) (*Root, bool) {
	if r, found := s.spare[d]; found {
		return r, true
	}
	for _, r := range s.roots {
		if r.Digest == d {
			return r, true
		}
	}
	return nil, false
}

// Newest returns the root in force, or nil.
func (s *Store) Newest() *Root {
	if len(s.roots) == 0 {
		return nil
	}
	return s.roots[len(s.roots)-1]
}

// Page returns a page by its digest.
func (s *Store) Page(d names.Digest) ([]byte, bool) {
	data, found := s.pages[d]
	return data, found
}

// Has reports whether a page is held.
func (s *Store) Has(d names.Digest) bool {
	_, found := s.pages[d]
	return found
}

// AddRoot keeps a root that is being fetched.
func (s *Store) AddRoot(r *Root) {
	if _, held := s.Root(r.Digest); held {
		return
	}
	if len(s.spare) >= maxSpare {
		s.dropLowest()
	}
	s.spare[r.Digest] = r
}

func (s *Store) dropLowest() {
	var lowest *Root
	for _, r := range s.spare {
		if lowest == nil || r.Version < lowest.Version || r.Version == lowest.Version && r.Digest < lowest.Digest {
			lowest = r
		}
	}
	delete(s.spare, lowest.Digest)
	s.prune()
}

// AddPage keeps a page if its data has the digest of the reference, and
// reports whether it has.
func (s *Store) AddPage(ref Ref, data []byte) bool {
	if len(data) != ref.Bytes || DigestOf(data) != ref.Digest {
		return false
	}
	s.pages[ref.Digest] = data
	return true
}

// Apply makes pages from deltas where the older page is held. Deltas that do
// not lead to their digests are left out.
func (s *Store) Apply(r *Root, deltas []Delta) {
	wanted := map[names.Digest]Ref{}
	for _, ref := range r.Missing(s.Has) {
		wanted[ref.Digest] = ref
	}
	for _, d := range deltas {
		old, held := s.Page(d.From)
		ref, missing := wanted[d.To]
		if !held || !missing {
			continue
		}
		if data, err := d.Apply(old); err == nil {
			s.AddPage(ref, data)
		}
	}
}

// Commit notes that a root whose pages are all held is in force, and forgets
// what is being fetched at or below its version.
func (s *Store) Commit(r *Root) {
	for digest, spare := range s.spare {
		if spare.Version <= r.Version {
			delete(s.spare, digest)
		}
	}
	s.roots = append(s.roots, r)
	s.prune()
	for len(s.roots) > 1 && s.bytes() > s.limit {
		s.roots = s.roots[1:]
		s.prune()
	}
}

// prune forgets pages that no root names.
func (s *Store) prune() {
	named := map[names.Digest]bool{}
	mark := func(r *Root) {
		for _, ref := range r.Pages {
			named[ref.Digest] = true
		}
	}
	for _, r := range s.roots {
		mark(r)
	}
	for _, r := range s.spare {
		mark(r)
	}
	for digest := range s.pages {
		if !named[digest] {
			delete(s.pages, digest)
		}
	}
}

func (s *Store) bytes() int {
	n := 0
	for _, data := range s.pages {
		n += len(data)
	}
	for _, r := range s.roots {
		n += len(r.Signed)
	}
	return n
}

// Committed returns a root that is or was in force, by its digest.
func (s *Store) Committed(d names.Digest) (*Root, bool) {
	for _, r := range s.roots {
		if r.Digest == d {
			return r, true
		}
	}
	return nil, false
}

// Deltas returns what leads from the pages of an older root to those of a
// newer one, for pages that have a predecessor.
func (s *Store) Deltas(old, next *Root) []Delta {
	var list []Delta
	for _, ref := range next.Pages {
		before, found := old.Predecessor(ref)
		if !found || before.Digest == ref.Digest {
			continue
		}
		from, fromHeld := s.Page(before.Digest)
		to, toHeld := s.Page(ref.Digest)
		if fromHeld && toHeld {
			list = append(list, NewDelta(before.Digest, from, ref.Digest, to))
		}
	}
	return list
}

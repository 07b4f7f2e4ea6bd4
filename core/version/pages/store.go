package pages

import "carobspoke.example/core/names"

// Store keeps the roots and pages of the version in force, of some earlier
// versions, and of versions that are being fetched. A page is stored once, even
// if several roots refer to it. It is not safe for concurrent use.
type Store struct {
	limit int
	// roots are the roots that are or were in force, the newest last.
	roots []*Root
	// pending are the roots whose pages are being fetched, by digest.
	pending map[names.Digest]*Root
	pages   map[names.Digest][]byte
}

// maxPendingRoots is the maximum number of roots whose pages are being fetched.
const maxPendingRoots = 4

// NewStore returns a store that evicts the oldest versions while its pages and
// committed roots exceed limit bytes. The version in force is never evicted.
func NewStore(limit int) *Store {
	return &Store{limit: limit, pending: map[names.Digest]*Root{}, pages: map[names.Digest][]byte{}}
}

// Root returns a pending or committed root, by its digest.
func (s *Store) Root(d names.Digest) (*Root, bool) {
	if r, found := s.pending[d]; found {
		return r, true
	}
	for _, r := range s.roots {
		if r.Digest == d {
			return r, true
		}
	}
	return nil, false
}

// Current returns the root in force, or nil if there is none.
func (s *Store) Current() *Root {
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

// HasPage reports whether the page with the given digest is stored.
func (s *Store) HasPage(d names.Digest) bool {
	_, found := s.pages[d]
	return found
}

// AddRoot adds a root whose pages are being fetched. If maxPendingRoots are
// pending already, the one with the lowest version is dropped.
func (s *Store) AddRoot(r *Root) {
	if _, found := s.Root(r.Digest); found {
		return
	}
	if len(s.pending) >= maxPendingRoots {
		s.dropLowestPending()
	}
	s.pending[r.Digest] = r
}

// dropLowestPending drops the pending root with the lowest version; of roots with
// the same version, that with the lowest digest.
func (s *Store) dropLowestPending() {
	var lowest *Root
	for _, r := range s.pending {
		if lowest == nil || r.Version < lowest.Version || r.Version == lowest.Version && r.Digest < lowest.Digest {
			lowest = r
		}
	}
	delete(s.pending, lowest.Digest)
	s.prune()
}

// AddPage stores a page if data has the size and digest of ref, and reports
// whether it has.
func (s *Store) AddPage(ref Ref, data []byte) bool {
	if len(data) != ref.Bytes || DigestOf(data) != ref.Digest {
		return false
	}
	s.pages[ref.Digest] = data
	return true
}

// ApplyDeltas builds missing pages of r from deltas whose base page is stored. It
// ignores a delta whose result does not have the expected digest.
func (s *Store) ApplyDeltas(r *Root, deltas []Delta) {
	missing := map[names.Digest]Ref{}
	for _, ref := range r.Missing(s.HasPage) {
		missing[ref.Digest] = ref
	}
	for _, d := range deltas {
		old, found := s.Page(d.From)
		ref, needed := missing[d.To]
		if !found || !needed {
			continue
		}
		if data, err := d.Apply(old); err == nil {
			s.AddPage(ref, data)
		}
	}
}

// Commit records that r, whose pages are all stored, is in force. It drops
// pending roots of the same or a lower version and evicts the oldest committed
// roots above the limit of the store.
func (s *Store) Commit(r *Root) {
	for digest, root := range s.pending {
		if root.Version <= r.Version {
			delete(s.pending, digest)
		}
	}
	s.roots = append(s.roots, r)
	s.prune()
	for len(s.roots) > 1 && s.bytes() > s.limit {
		s.roots = s.roots[1:]
		s.prune()
	}
}

// prune deletes pages that no root refers to.
func (s *Store) prune() {
	referenced := map[names.Digest]bool{}
	mark := func(r *Root) {
		for _, ref := range r.Pages {
			referenced[ref.Digest] = true
		}
	}
	for _, r := range s.roots {
		mark(r)
	}
	for _, r := range s.pending {
		mark(r)
	}
	for digest := range s.pages {
		if !referenced[digest] {
			delete(s.pages, digest)
		}
	}
}

// bytes returns the size of the pages and committed roots, in bytes.
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

// CommittedRoot returns a root that is or was in force, by its digest.
func (s *Store) CommittedRoot(d names.Digest) (*Root, bool) {
	for _, r := range s.roots {
		if r.Digest == d {
			return r, true
		}
	}
	return nil, false
}

// Deltas returns the deltas between the pages of an older root and those of a
// newer one, for changed pages that have a predecessor and are stored.
func (s *Store) Deltas(old, next *Root) []Delta {
	var list []Delta
	for _, ref := range next.Pages {
		predecessor, found := old.Predecessor(ref)
		if !found || predecessor.Digest == ref.Digest {
			continue
		}
		from, fromFound := s.Page(predecessor.Digest)
		to, toFound := s.Page(ref.Digest)
		if fromFound && toFound {
			list = append(list, NewDelta(predecessor.Digest, from, ref.Digest, to))
		}
	}
	return list
}

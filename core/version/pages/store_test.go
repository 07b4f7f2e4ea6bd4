package pages

import (
	"testing"

	"carobspoke.example/core/names"
)

func TestStoreEvictsOldVersionsButNotTheOneInForce(t *testing.T) {
	first := pack(t, newManifest(1, 300, 300))
	size := 0
	for _, page := range first.Pages {
		size += page.Ref.Bytes
	}
	s := NewStore(3 * size)
	for v := names.Version(1); v <= 20; v++ {
		m := newManifest(v, 300, 300)
		for i := range m.Targets {
			m.Targets[i].MemoryBlocks += int(v) //nolint:gosec // small
		}
		p := pack(t, m)
		s.AddRoot(p.Root)
		for _, page := range p.Pages {
			if !s.AddPage(page.Ref, page.Data) {
				t.Fatal("page with the right digest was refused")
			}
		}
		s.Commit(p.Root)
	}
	if s.bytes() > 3*size || len(s.roots) >= 20 || s.Current().Version != 20 {
		t.Fatalf("%d bytes, limit %d, in %d versions", s.bytes(), 3*size, len(s.roots))
	}
	if missing := s.Current().Missing(s.HasPage); len(missing) != 0 {
		t.Fatalf("%d pages of the version in force are missing", len(missing))
	}
	if _, found := s.CommittedRoot(first.Root.Digest); found {
		t.Fatal("the oldest version was not evicted")
	}
	if s.AddPage(first.Pages[0].Ref, []byte("other")) {
		t.Fatal("page with a wrong digest was stored")
	}
}

func TestStoreBoundsPendingRoots(t *testing.T) {
	s := NewStore(1)
	for v := names.Version(1); v <= 10; v++ {
		p := pack(t, newManifest(v, 10, 10))
		s.AddRoot(p.Root)
		s.AddPage(p.Pages[0].Ref, p.Pages[0].Data)
	}
	if len(s.pending) > maxPendingRoots || s.Current() != nil {
		t.Fatalf("%d pending roots, or a root in force without a commit", len(s.pending))
	}
}

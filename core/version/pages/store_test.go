package pages

import (
	"testing"

	"carobspoke.example/core/names"
)

func TestStoreForgetsOldVersionsButNotTheOneInForce(t *testing.T) {
	first := pack(t, large(1, 300, 300))
	size := 0
	for _, page := range first.Pages {
		size += page.Ref.Bytes
	}
	s := NewStore(3 * size)
	for v := names.Version(1); v <= 20; v++ {
		m := large(v, 300, 300)
		for i := range m.Targets {
			m.Targets[i].MemoryBlocks += int(v) //nolint:gosec // small
		}
		p := pack(t, m)
		s.AddRoot(p.Root)
		for _, page := range p.Pages {
			if !s.AddPage(page.Ref, page.Data) {
				t.Fatal("a good page is refused")
			}
		}
		s.Commit(p.Root)
	}
	if s.bytes() > 3*size || len(s.roots) >= 20 || s.Newest().Version != 20 {
		t.Fatalf("%d bytes of %d in %d versions", s.bytes(), 3*size, len(s.roots))
	}
	if missing := s.Newest().Missing(s.Has); len(missing) != 0 {
		t.Fatalf("%d pages of the version in force are missing", len(missing))
	}
	if _, old := s.Committed(first.Root.Digest); old {
		t.Fatal("the oldest version is still there")
	}
	if s.AddPage(first.Pages[0].Ref, []byte("other")) {
		t.Fatal("a page with another digest is kept")
	}
}

func TestStoreBoundsWhatIsBeingFetched(t *testing.T) {
	s := NewStore(1)
	for v := names.Version(1); v <= 10; v++ {
		p := pack(t, large(v, 10, 10))
		s.AddRoot(p.Root)
		s.AddPage(p.Pages[0].Ref, p.Pages[0].Data)
	}
	if len(s.spare) > maxSpare || s.Newest() != nil {
		t.Fatalf("%d roots being fetched", len(s.spare))
	}
}

package version

import (
	"sync"
	"testing"

	"carobspoke.example/core/names"
	"carobspoke.example/core/version/manifest"
)

// TestNeverDownWhoeverInstalls installs versions from several goroutines while
// readers look.
func TestNeverDownWhoeverInstalls(t *testing.T) {
	const versions, writers = 200, 4
	var h Holder
	changes, cancel := h.Subscribe()
	var writing, reading sync.WaitGroup
	for w := range writers {
		writing.Go(func() {
			for v := names.Version(1); v <= versions; v++ {
				h.Install(&manifest.Manifest{Version: v + names.Version(w)}, "") //nolint:gosec // small
			}
		})
	}
	stop := make(chan struct{})
	reading.Go(func() {
		last := names.Version(0)
		for {
			now := h.Current().Version()
			if now < last {
				t.Errorf("version %d after %d", now, last)
			}
			last = now
			select {
			case <-stop:
				return
			case <-changes:
			default:
			}
		}
	})
	writing.Wait()
	close(stop)
	reading.Wait()
	if v := h.Current().Version(); v != versions+writers-1 {
		t.Fatalf("version %d in force", v)
	}
	if h.Install(&manifest.Manifest{Version: lastVersion}, "other") {
		t.Fatal("the same version with other content is installed")
	}
	cancel()
	if len(h.waiting) != 0 {
		t.Fatal("a subscription is left")
	}
}

// lastVersion is the version that is in force when all have written.
const lastVersion = 203

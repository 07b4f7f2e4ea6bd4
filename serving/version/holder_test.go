package version

import (
	"sync"
	"testing"

	"carobspoke.example/core/names"
	"carobspoke.example/core/version/manifest"
)

// TestVersionNeverDecreases installs versions from several goroutines while a
// reader checks that the version in force never decreases. It then checks that a
// manifest with an equal version is not installed, and that cancel ends the
// subscription.
func TestVersionNeverDecreases(t *testing.T) {
	const versions, writers = 200, 4
	var h Holder
	changes, cancel := h.Subscribe()
	var writerGroup, readerGroup sync.WaitGroup
	for w := range writers {
		writerGroup.Go(func() {
			for v := names.Version(1); v <= versions; v++ {
				h.Install(&manifest.Manifest{Version: v + names.Version(w)}, "") //nolint:gosec // w is less than writers
			}
		})
	}
	stop := make(chan struct{})
	readerGroup.Go(func() {
		last := names.Version(0)
		for {
			current := h.Current().Version()
			if current < last {
				t.Errorf("version %d in force after version %d", current, last)
			}
			last = current
			select {
			case <-stop:
				return
			case <-changes:
			default:
			}
		}
	})
	writerGroup.Wait()
	close(stop)
	readerGroup.Wait()
	if v := h.Current().Version(); v != versions+writers-1 {
		t.Fatalf("version %d in force after all installs", v)
	}
	if h.Install(&manifest.Manifest{Version: finalVersion}, "other") {
		t.Fatal("the version in force was replaced by one with the same number")
	}
	cancel()
	if len(h.subscribers) != 0 {
		t.Fatal("cancel did not end the subscription")
	}
}

// finalVersion is the version in force after all writers have finished.
const finalVersion = 203

package fleet

import (
	"testing"

	"carobspoke.example/core/names"
)

// TestFleetMatchesManifest checks, for each size, the numbers of engines, services
// and targets, and that the names of targets are unique.
func TestFleetMatchesManifest(t *testing.T) {
	sizes := map[Size][2]int{Dev: {4, 2}, Sahayatri: {15, 3}, Tuuraj: {25, 3}}
	for size, want := range sizes {
		f, err := Start(Config{Size: size})
		if err != nil {
			t.Fatal(err)
		}
		m := f.Manifest()
		if len(f.Engines()) != want[0] || len(f.Services()) != want[1] {
			t.Errorf("%s: %d engines, %d services", size, len(f.Engines()), len(f.Services()))
		}
		if len(m.Targets) != want[0]+2*want[1] {
			t.Errorf("%s: %d targets", size, len(m.Targets))
		}
		targetNames := map[names.Target]string{}
		for _, target := range m.Targets {
			targetNames[target.Name] = target.Address
		}
		if len(targetNames) != len(m.Targets) {
			t.Errorf("%s: target names are not unique", size)
		}
		f.Close()
	}
}

package orders

import (
	"flag"
	"testing"
	"time"

	"carobspoke.example/core/names"
	"pgregory.net/rapid"
)

func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// TestRandomSchedules publishes versions at any moment, restarts engines and
// has daemons forget what they remember, and checks that engines which check
// never go back, that nothing is cut, that no more than the lanes allow are
// out of service but for restarts, and that the last version is served in the
// end.
func TestRandomSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 20).Draw(t, "engines")
		m := newModel(n)
		version := names.Version(1)
		weights := "v1"
		for range rapid.IntRange(1, 150).Draw(t, "seconds") {
			switch rapid.IntRange(0, 40).Draw(t, "event") {
			case 0:
				version++
				weights = rapid.SampledFrom([]string{"v1", "v2", "v3"}).Draw(t, "weights")
				m.publish(version, n, weights)
			case 1:
				m.forget(rapid.IntRange(0, n-1).Draw(t, "forgotten"))
			}
			m.step()
			if out, most := n-m.serving(""), max(n/4, 1); out > most {
				t.Fatalf("%d of %d engines out of service", out, n)
			}
		}
		for steps := 0; m.serving(weights) < n && steps < 2000; steps++ {
			m.step()
		}
		if m.serving(weights) < n || m.cuts() > 0 {
			t.Fatalf("%d of %d serve %s, %d cut", m.serving(weights), n, weights, m.cuts())
		}
		for name, e := range m.engines {
			if !ascending(e.obeyed) {
				t.Fatalf("%s obeyed %v", name, e.obeyed)
			}
		}
	})
}

// forget takes the memory of an engine, as a new keeper has it, and lets time
// pass.
func (m *model) forget(i int) {
	delete(m.memory, m.list[i].Name)
	m.now = m.now.Add(time.Second)
}

func ascending(list []uint64) bool {
	for i := 1; i < len(list); i++ {
		if list[i] < list[i-1] {
			return false
		}
	}
	return true
}

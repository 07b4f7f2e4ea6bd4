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

// TestRandomSchedules publishes versions at random times and lets daemons lose
// their records of engines. It checks that engines which check fencing tokens
// accept no older version after a newer one, that no stream is interrupted,
// that no more engines are out of service than lanes allow, and that all engines
// serve the last version in the end.
func TestRandomSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 20).Draw(t, "engines")
		s := newSimulation(n)
		version := names.Version(1)
		weights := "v1"
		for range rapid.IntRange(1, 150).Draw(t, "seconds") {
			switch rapid.IntRange(0, 40).Draw(t, "event") {
			case 0:
				version++
				weights = rapid.SampledFrom([]string{"v1", "v2", "v3"}).Draw(t, "weights")
				s.publish(version, n, weights)
			case 1:
				s.dropHistory(rapid.IntRange(0, n-1).Draw(t, "forgotten"))
			}
			s.step()
			if out, most := n-s.serving(""), max(n/4, 1); out > most {
				t.Fatalf("%d of %d engines out of service", out, n)
			}
		}
		for steps := 0; s.serving(weights) < n && steps < 2000; steps++ {
			s.step()
		}
		if s.serving(weights) < n || s.interrupted() > 0 {
			t.Fatalf("%d of %d engines serve %s, %d streams interrupted", s.serving(weights), n, weights, s.interrupted())
		}
		for name, e := range s.engines {
			if !ascending(e.acceptedTokens) {
				t.Fatalf("%s accepted the fencing tokens %v", name, e.acceptedTokens)
			}
		}
	})
}

// dropHistory removes the record of an engine, because a new keeper has none, and
// advances the clock by a second.
func (s *simulation) dropHistory(i int) {
	delete(s.history, s.list[i].Name)
	s.now = s.now.Add(time.Second)
}

func ascending(list []uint64) bool {
	for i := 1; i < len(list); i++ {
		if list[i] < list[i-1] {
			return false
		}
	}
	return true
}

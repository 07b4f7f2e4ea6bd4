package class

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"carobspoke.example/core/target"
)

// observe records n prompt lengths between low and high, uniformly distributed
// on a logarithmic scale, and returns them.
func observe(m *PromptStats, random *rand.Rand, n int, low, high float64) (tokens []int) {
	for range n {
		v := int(math.Exp(math.Log(low) + random.Float64()*math.Log(high/low)))
		m.Observe(v)
		tokens = append(tokens, v)
	}
	return tokens
}

func TestBoundsSplitTheWorkIntoThirds(t *testing.T) {
	var m PromptStats
	random := rand.New(rand.NewPCG(1, 1))
	tokens := observe(&m, random, 5000, 1000, 400_000)
	var work [3]float64
	var total float64
	for _, v := range tokens {
		work[m.Bounds().Classify(v, 0)] += float64(v)
		total += float64(v)
	}
	for c, w := range work {
		if share := w / total; share < 0.25 || share > 0.42 {
			t.Errorf("class %s has a share of %.2f of the work, want 0.25 to 0.42", target.Class(c), share)
		}
	}
}

func TestBoundsFollowObservedPromptLengths(t *testing.T) {
	var m PromptStats
	random := rand.New(rand.NewPCG(1, 1))
	if b := m.Bounds(); b.Short < 4000 || b.Short > 16_000 || b.Medium < 32_000 || b.Medium > 128_000 {
		t.Fatalf("bounds before the first observation: %+v", b)
	}
	observe(&m, random, 5000, 1000, 10_000)
	before := m.Bounds()
	observe(&m, random, 20_000, 50_000, 500_000)
	if after := m.Bounds(); after.Short < 10*before.Short {
		t.Fatalf("bounds changed from %+v to %+v, want Short at least ten times larger", before, after)
	}
	if m.Bounds().Classify(500_000, 450_000) != target.Spanning {
		t.Fatal("a prompt larger than one engine is not classified as spanning")
	}
}

func TestPredictionsFollowObservedAnswers(t *testing.T) {
	var a AnswerStats
	if a.PredictTokens(4096) != DefaultAnswerTokens || a.PredictTokens(10) != 10 || a.InterTokenTime() != 0 {
		t.Fatal("predictions before the first answer are not the defaults")
	}
	for i := range 1000 {
		a.Observe(100+i%100, time.Duration(99+i%100)*40*time.Millisecond)
	}
	if got := a.PredictTokens(4096); got < 180 || got > 220 {
		t.Fatalf("predicted %d tokens, want 180 to 220", got)
	}
	if got := a.InterTokenTime(); got < 40*time.Millisecond || got > 45*time.Millisecond {
		t.Fatalf("time between tokens %s, want 40ms to 45ms", got)
	}
}

func TestSketchKeepsQuantilesWhenRescaled(t *testing.T) {
	var s sketch
	for range 30 * decayObservations {
		s.add(100, 1)
	}
	if got := s.quantile(0.5); got < 100 || got > 110 {
		t.Fatalf("median %d, want 100 to 110", got)
	}
}

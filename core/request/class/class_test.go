package class

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"carobspoke.example/core/target"
)

func observe(m *Mix, random *rand.Rand, n int, low, high float64) (tokens []int) {
	for range n {
		v := int(math.Exp(math.Log(low) + random.Float64()*math.Log(high/low)))
		m.Observe(v)
		tokens = append(tokens, v)
	}
	return tokens
}

func TestBoundsSplitTheWorkIntoThirds(t *testing.T) {
	var m Mix
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
			t.Errorf("class %s has %.2f of the work", target.Class(c), share)
		}
	}
}

func TestBoundsFollowTheMix(t *testing.T) {
	var m Mix
	random := rand.New(rand.NewPCG(1, 1))
	if b := m.Bounds(); b.Short < 4000 || b.Short > 16_000 || b.Medium < 32_000 || b.Medium > 128_000 {
		t.Fatalf("bounds before anything was seen: %+v", b)
	}
	observe(&m, random, 5000, 1000, 10_000)
	before := m.Bounds()
	observe(&m, random, 20_000, 50_000, 500_000)
	if after := m.Bounds(); after.Short < 10*before.Short {
		t.Fatalf("bounds were %+v and are %+v", before, after)
	}
	if m.Bounds().Classify(500_000, 450_000) != target.Spanning {
		t.Fatal("a prompt over one engine does not span")
	}
}

func TestAnswersArePredictedByWhatWasSeen(t *testing.T) {
	var a Answers
	if a.Predict(4096) != FirstAnswer || a.Predict(10) != 10 || a.TokenTime() != 0 {
		t.Fatal("prediction before any answer")
	}
	for i := range 1000 {
		a.Observe(100+i%100, time.Duration(99+i%100)*40*time.Millisecond)
	}
	if got := a.Predict(4096); got < 180 || got > 220 {
		t.Fatalf("predicted %d tokens", got)
	}
	if got := a.TokenTime(); got < 40*time.Millisecond || got > 45*time.Millisecond {
		t.Fatalf("token time %s", got)
	}
}

func TestSketchSurvivesItsRescaling(t *testing.T) {
	var s sketch
	for range 30 * memory {
		s.add(100, 1)
	}
	if got := s.quantile(0.5); got < 100 || got > 110 {
		t.Fatalf("median %d", got)
	}
}

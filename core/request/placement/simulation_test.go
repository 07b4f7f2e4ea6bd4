package placement

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/inflight"
)

// simulation offers a mix of short and long prompts to 14 engines for ten
// seconds of virtual time. At its peak, as the users describe it, short prompts
// arrive at their usual rate and long ones at nearly three times theirs.
type simulation struct {
	random  *rand.Rand
	table   *inflight.Table
	engines []prefillEngine
	place   func(r *Request, list []Candidate) Decision
	next    uint64

	longRate float64

	shorts, shortsInTime int
	longs, longsInTime   int
	// size and sizeInTime sum the sizes of all requests.
	size, sizeInTime int
}

// prefillEngine is a simulated engine that prefills its parts one after the
// other and pauses its answers during a prefill.
type prefillEngine struct {
	prefillUntil time.Duration
	answers      []*answer
}

type answer struct {
	key    inflight.Key
	first  time.Duration
	size   int
	gap    time.Duration
	until  time.Duration
	paused bool
}

// Arrival rates, in prompts a second, and their duration.
const (
	shortRate     = 27.0
	usualLongRate = 0.81
	peakLongRate  = 2.3
	duration      = 10 * time.Second
)

func (s *simulation) run() {
	nextShort, nextLong := s.after(0, shortRate), s.after(0, s.longRate)
	for min(nextShort, nextLong) < duration {
		if nextShort < nextLong {
			s.arrive(nextShort, short())
			nextShort = s.after(nextShort, shortRate)
			continue
		}
		tokens := 180_000 * math.Exp(0.55*s.random.NormFloat64())
		s.arrive(nextLong, long(int(min(tokens, 430_000))))
		nextLong = s.after(nextLong, s.longRate)
	}
	s.settle(math.MaxInt64)
}

// after returns the time of the next arrival of a Poisson process.
func (s *simulation) after(t time.Duration, rate float64) time.Duration {
	return t + time.Duration(s.random.ExpFloat64()/rate*float64(time.Second))
}

func (s *simulation) arrive(now time.Duration, r *Request) {
	s.settle(now)
	list := idle(len(s.engines))
	for i := range list {
		list[i].Load = s.table.Load(list[i].Target, start.Add(now))
	}
	d := s.place(r, list)
	isShort := r.PromptTokens == short().PromptTokens
	s.size += Size(r)
	if isShort {
		s.shorts++
	} else {
		s.longs++
	}
	if d.Refusal != nil {
		return
	}
	s.next++
	key := inflight.Key{Number: s.next}
	s.table.Begin(inflight.Dispatch{Key: key, Parts: d.Parts, MaxDuration: time.Minute}, start.Add(now))
	first := time.Duration(0)
	for _, part := range d.Parts {
		first = max(first, s.prefill(index(part.Target), now, part.Prefill))
	}
	decodeTime := DecodeTime(engine(), r.AnswerTokens, 8, r.PromptTokens)
	a := &answer{key: key, first: first, size: Size(r), gap: r.GapTarget, until: first + decodeTime, paused: first-now > r.LatencyTarget}
	at := &s.engines[index(d.Target)]
	at.answers = append(at.answers, a)
}

func index(id names.Target) int { return int(id[0] - 'a') }

// prefill adds a part to an engine's queue and returns when the engine has
// prefilled it. The engine's answers pause for that long.
func (s *simulation) prefill(i int, now, part time.Duration) time.Duration {
	e := &s.engines[i]
	e.prefillUntil = max(e.prefillUntil, now) + part
	for _, a := range e.answers {
		if a.until > now {
			a.until += part
			a.paused = a.paused || part+PassTime(engine(), len(e.answers), 5000) > a.gap
		}
	}
	return e.prefillUntil
}

// settle ends the answers that are complete by now.
func (s *simulation) settle(now time.Duration) {
	for i := range s.engines {
		kept := s.engines[i].answers[:0]
		for _, a := range s.engines[i].answers {
			if a.first <= now {
				s.table.FirstEvent(a.key, start.Add(a.first))
			}
			if a.until > now {
				kept = append(kept, a)
				continue
			}
			s.table.End(a.key, start.Add(a.until))
			s.count(a)
		}
		s.engines[i].answers = kept
	}
}

func (s *simulation) count(a *answer) {
	if !a.paused {
		s.sizeInTime += a.size
	}
	switch {
	case a.paused:
	case a.gap == short().GapTarget:
		s.shortsInTime++
	default:
		s.longsInTime++
	}
}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func simulate(seed uint64, longRate float64, place func(r *Request, list []Candidate) Decision) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 1)), table: inflight.New(), engines: make([]prefillEngine, 14), longRate: longRate, place: place}
	s.run()
	return s
}

// placeAtFewest is the naive placement: each prompt goes to one engine, the one
// with the fewest requests.
func placeAtFewest(r *Request, list []Candidate) Decision {
	best := 0
	for i := range list {
		if list[i].Load.Requests < list[best].Load.Requests {
			best = i
		}
	}
	part := inflight.Part{Target: list[best].Target, Prefill: PrefillTime(engine(), r.PromptTokens), Decodes: true, GapTarget: r.GapTarget}
	return Decision{Target: list[best].Target, Parts: []inflight.Part{part}}
}

// placeWithPlacer returns the placement under test.
func placeWithPlacer() func(r *Request, list []Candidate) Decision {
	p := placer()
	return func(r *Request, list []Candidate) Decision { return p.Place(r, service(), list) }
}

// TestUsualRatesAreServedInTime checks the users' requirement for usual load: 95
// in 100 of the short and 85 in 100 of the long prompts must be in time.
func TestUsualRatesAreServedInTime(t *testing.T) {
	var all simulation
	for seed := range uint64(10) {
		got := simulate(seed, usualLongRate, placeWithPlacer())
		all.shorts, all.shortsInTime = all.shorts+got.shorts, all.shortsInTime+got.shortsInTime
		all.longs, all.longsInTime = all.longs+got.longs, all.longsInTime+got.longsInTime
	}
	t.Logf("in time: short %d of %d, long %d of %d", all.shortsInTime, all.shorts, all.longsInTime, all.longs)
	if all.shortsInTime*100 < 95*all.shorts || all.longsInTime*100 < 85*all.longs {
		t.Error("fewer prompts in time than required")
	}
}

// TestPeakOfLongPrompts checks the users' requirement for the worst seconds of a
// peak: at least 0.45 of the total size of all requests must be answered in time.
// The naive placement must serve less with every seed.
func TestPeakOfLongPrompts(t *testing.T) {
	for seed := range uint64(10) {
		got, naive := simulate(seed, peakLongRate, placeWithPlacer()), simulate(seed, peakLongRate, placeAtFewest)
		share, naiveShare := float64(got.sizeInTime)/float64(got.size), float64(naive.sizeInTime)/float64(naive.size)
		t.Logf("seed %d: %.2f in time, short %d of %d, long %d of %d; naive %.2f, short %d", seed, share,
			got.shortsInTime, got.shorts, got.longsInTime, got.longs, naiveShare, naive.shortsInTime)
		if share < 0.45 {
			t.Errorf("seed %d: %.2f in time", seed, share)
		}
		if naiveShare >= share {
			t.Errorf("seed %d: naive placement serves as much: the peak is too weak to test placement", seed)
		}
	}
}

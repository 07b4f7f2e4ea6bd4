package placement

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/inflight"
)

// wave replays the crest of long prompts that the users describe, in virtual
// time: short prompts at their usual rate beside nearly three times as many
// long ones, for ten seconds on 14 engines.
type wave struct {
	random  *rand.Rand
	table   *inflight.Table
	engines []simulated
	place   func(r *Request, list []Candidate) Decision
	next    uint64

	longRate float64

	shorts, shortsInTime int
	longs, longsInTime   int
	// size and sizeInTime sum the sizes of all requests.
	size, sizeInTime int
}

// simulated is an engine that reads its parts one after the other and stops
// writing meanwhile.
type simulated struct {
	readUntil time.Duration
	writing   []*answer
}

type answer struct {
	key    inflight.Key
	first  time.Duration
	size   int
	gap    time.Duration
	until  time.Duration
	paused bool
}

// Rates a second, and how long they last.
const (
	shortRate     = 27.0
	calmLongRate  = 0.81
	crestLongRate = 2.3
	lasts         = 10 * time.Second
)

func (w *wave) run() {
	nextShort, nextLong := w.after(0, shortRate), w.after(0, w.longRate)
	for min(nextShort, nextLong) < lasts {
		if nextShort < nextLong {
			w.arrive(nextShort, short())
			nextShort = w.after(nextShort, shortRate)
			continue
		}
		tokens := 180_000 * math.Exp(0.55*w.random.NormFloat64())
		w.arrive(nextLong, long(int(min(tokens, 430_000))))
		nextLong = w.after(nextLong, w.longRate)
	}
	w.settle(math.MaxInt64)
}

func (w *wave) after(t time.Duration, rate float64) time.Duration {
	return t + time.Duration(w.random.ExpFloat64()/rate*float64(time.Second))
}

func (w *wave) arrive(now time.Duration, r *Request) {
	w.settle(now)
	list := idle(len(w.engines))
	for i := range list {
		list[i].Load = w.table.At(list[i].Target, start.Add(now))
	}
	d := w.place(r, list)
	isShort := r.PromptTokens == short().PromptTokens
	w.size += Size(r)
	if isShort {
		w.shorts++
	} else {
		w.longs++
	}
	if d.Refusal != nil {
		return
	}
	w.next++
	key := inflight.Key{Number: w.next}
	w.table.Begin(inflight.Dispatch{Key: key, Parts: d.Parts, Lasts: time.Minute}, start.Add(now))
	first := time.Duration(0)
	for _, part := range d.Parts {
		first = max(first, w.read(index(part.Target), now, part.Prefill))
	}
	writes := WriteTime(engine(), r.AnswerTokens, 8, r.PromptTokens)
	a := &answer{key: key, first: first, size: Size(r), gap: r.GapTarget, until: first + writes, paused: first-now > r.LatencyTarget}
	at := &w.engines[index(d.Target)]
	at.writing = append(at.writing, a)
}

func index(id names.Target) int { return int(id[0] - 'a') }

// read lets an engine read a part and returns when it is done. The answers
// that it writes meanwhile pause.
func (w *wave) read(i int, now, prefill time.Duration) time.Duration {
	e := &w.engines[i]
	e.readUntil = max(e.readUntil, now) + prefill
	for _, a := range e.writing {
		if a.until > now {
			a.until += prefill
			a.paused = a.paused || prefill+PassTime(engine(), len(e.writing), 5000) > a.gap
		}
	}
	return e.readUntil
}

// settle ends the answers that are done.
func (w *wave) settle(now time.Duration) {
	for i := range w.engines {
		kept := w.engines[i].writing[:0]
		for _, a := range w.engines[i].writing {
			if a.first <= now {
				w.table.FirstEvent(a.key, start.Add(a.first))
			}
			if a.until > now {
				kept = append(kept, a)
				continue
			}
			w.table.End(a.key, start.Add(a.until))
			w.count(a)
		}
		w.engines[i].writing = kept
	}
}

func (w *wave) count(a *answer) {
	if !a.paused {
		w.sizeInTime += a.size
	}
	switch {
	case a.paused:
	case a.gap == short().GapTarget:
		w.shortsInTime++
	default:
		w.longsInTime++
	}
}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func play(seed uint64, longRate float64, place func(r *Request, list []Candidate) Decision) *wave {
	w := &wave{random: rand.New(rand.NewPCG(seed, 1)), table: inflight.New(), engines: make([]simulated, 14), longRate: longRate, place: place}
	w.run()
	return w
}

// fewest is the naive version: one engine for each prompt, the one with the
// fewest requests.
func fewest(r *Request, list []Candidate) Decision {
	best := 0
	for i := range list {
		if list[i].Load.Requests < list[best].Load.Requests {
			best = i
		}
	}
	part := inflight.Part{Target: list[best].Target, Prefill: PrefillTime(engine(), r.PromptTokens), Writes: true, Gap: r.GapTarget}
	return Decision{Target: list[best].Target, Parts: []inflight.Part{part}}
}

func ours() func(r *Request, list []Candidate) Decision {
	p := placer()
	return func(r *Request, list []Candidate) Decision { return p.Place(r, service(), list) }
}

// TestCalmRatesServeBothInTime asks for what the users state for calm days: 95
// in 100 of the short and 85 in 100 of the long prompts in time.
func TestCalmRatesServeBothInTime(t *testing.T) {
	var all wave
	for seed := range uint64(10) {
		w := play(seed, calmLongRate, ours())
		all.shorts, all.shortsInTime = all.shorts+w.shorts, all.shortsInTime+w.shortsInTime
		all.longs, all.longsInTime = all.longs+w.longs, all.longsInTime+w.longsInTime
	}
	t.Logf("short in time %d of %d, long %d of %d", all.shortsInTime, all.shorts, all.longsInTime, all.longs)
	if all.shortsInTime*100 < 95*all.shorts || all.longsInTime*100 < 85*all.longs {
		t.Error("fewer in time than stated")
	}
}

// TestTheWaveOfLongPrompts asks for what the users state for the worst seconds
// of waves: 0.45 of what is owed. The naive version serves less in each.
func TestTheWaveOfLongPrompts(t *testing.T) {
	for seed := range uint64(10) {
		w, naive := play(seed, crestLongRate, ours()), play(seed, crestLongRate, fewest)
		share, naiveShare := float64(w.sizeInTime)/float64(w.size), float64(naive.sizeInTime)/float64(naive.size)
		t.Logf("seed %d: %.2f in time, short %d of %d, long %d of %d; naive %.2f, short %d", seed, share,
			w.shortsInTime, w.shorts, w.longsInTime, w.longs, naiveShare, naive.shortsInTime)
		if share < 0.45 {
			t.Errorf("seed %d: %.2f in time", seed, share)
		}
		if naiveShare >= share {
			t.Errorf("seed %d: the naive version serves as much: the wave proves nothing", seed)
		}
	}
}

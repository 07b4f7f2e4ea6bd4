package placement

import (
	"slices"
	"testing"
	"time"

	"carobspoke.example/core/process/inflight"
)

// burst simulates a burst of short prompts that exceeds the engines' slots. The
// prompts wait for a slot; deferred ones wait behind the others.
type burst struct {
	table   *inflight.Table
	engines []slotEngine
	next    uint64

	total, inTime, refused int
}

// slotEngine is a simulated engine that is limited by its slots.
type slotEngine struct {
	running []runningAnswer
	waiting []waitingPrompt
}

type runningAnswer struct {
	key  inflight.Key
	ends time.Duration
}

type waitingPrompt struct {
	key      inflight.Key
	arrived  time.Duration
	deferred bool
}

// Parameters of the burst: 14 engines of 16 slots serve 112 requests a second.
const (
	answerTime    = 2 * time.Second
	burstRate     = 125.0 // requests a second
	burstDuration = 10 * time.Second
	burstEngines  = 14
)

func (b *burst) run(place func(r *Request, list []Candidate) Decision) {
	interval := time.Duration(float64(time.Second) / burstRate)
	for now := time.Duration(0); now < burstDuration; now += interval {
		b.settle(now)
		list := idle(burstEngines)
		for i := range list {
			list[i].Load = b.table.Load(list[i].Target, start.Add(now))
		}
		b.total++
		d := place(short(), list)
		if d.Refusal != nil {
			b.refused++
			continue
		}
		b.next++
		key := inflight.Key{Number: b.next}
		b.table.Begin(inflight.Dispatch{Key: key, Parts: d.Parts, MaxDuration: time.Minute}, start.Add(now))
		e := &b.engines[index(d.Target)]
		e.waiting = append(e.waiting, waitingPrompt{key: key, arrived: now, deferred: d.Parts[0].Deferred})
		b.settle(now)
	}
	b.settle(burstDuration + time.Minute)
}

// settle ends the answers that are complete by now and gives their slots to
// waiting prompts.
func (b *burst) settle(now time.Duration) {
	for i := range b.engines {
		e := &b.engines[i]
		for len(e.running) > 0 && e.running[0].ends <= now {
			ended := e.running[0]
			e.running = e.running[1:]
			b.table.End(ended.key, start.Add(now))
			b.admit(e, ended.ends)
		}
		b.admit(e, now)
	}
}

// admit gives free slots to waiting prompts, to deferred ones last.
func (b *burst) admit(e *slotEngine, now time.Duration) {
	for len(e.running) < 16 && len(e.waiting) > 0 {
		best := 0
		for i, w := range e.waiting {
			if e.waiting[best].deferred && !w.deferred {
				best = i
			}
		}
		w := e.waiting[best]
		e.waiting = slices.Delete(e.waiting, best, best+1)
		began := max(now, w.arrived)
		b.table.FirstEvent(w.key, start.Add(began))
		e.running = append(e.running, runningAnswer{key: w.key, ends: began + answerTime})
		if began-w.arrived < short().LatencyTarget {
			b.inTime++
		}
	}
}

func runBurst(place func(r *Request, list []Candidate) Decision) *burst {
	b := &burst{table: inflight.New(), engines: make([]slotEngine, burstEngines)}
	b.run(place)
	return b
}

// placeWithoutDeferral places each prompt at the engine with the fewest answers
// and defers none.
func placeWithoutDeferral(r *Request, list []Candidate) Decision {
	best := 0
	for i := range list {
		if list[i].Load.Answers < list[best].Load.Answers {
			best = i
		}
	}
	return Decision{Target: list[best].Target, Parts: []inflight.Part{{Target: list[best].Target, Decodes: true, GapTarget: r.GapTarget}}}
}

// TestBurstOfShortPrompts offers 1.12 times the load that the slots can serve.
// First come, first served makes almost all prompts late after the first
// seconds. Placement with deferral must serve as many in time as the slots
// allow, apart from prediction errors.
func TestBurstOfShortPrompts(t *testing.T) {
	p := placer()
	got := runBurst(func(r *Request, list []Candidate) Decision { return p.Place(r, service(), list) })
	naive := runBurst(placeWithoutDeferral)
	t.Logf("in time: %d of %d, refused: %d; without deferral: %d", got.inTime, got.total, got.refused, naive.inTime)
	if got.inTime*100 < 70*got.total {
		t.Errorf("%d of %d in time; the slots can serve 89 in 100", got.inTime, got.total)
	}
	if naive.inTime >= got.inTime {
		t.Error("as many in time without deferral: the burst is too weak to test placement")
	}
}

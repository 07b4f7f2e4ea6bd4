package placement

import (
	"slices"
	"testing"
	"time"

	"carobspoke.example/core/process/inflight"
)

// crest replays a wave of short prompts above what the engines' slots serve:
// they wait for a slot, the deferred ones behind the others.
type crest struct {
	table   *inflight.Table
	engines []slots
	next    uint64

	all, inTime, refused int
}

type slots struct {
	running []running
	waiting []waiter
}

type running struct {
	key  inflight.Key
	ends time.Duration
}

type waiter struct {
	key      inflight.Key
	arrived  time.Duration
	deferred bool
}

// Shape of the crest: 14 engines of 16 slots serve 112 a second.
const (
	answerTime   = 2 * time.Second
	crestRate    = 125.0
	crestLasts   = 10 * time.Second
	crestEngines = 14
)

func (c *crest) run(place func(r *Request, list []Candidate) Decision) {
	step := time.Duration(float64(time.Second) / crestRate)
	for now := time.Duration(0); now < crestLasts; now += step {
		c.settle(now)
		list := idle(crestEngines)
		for i := range list {
			list[i].Load = c.table.At(list[i].Target, start.Add(now))
		}
		c.all++
		d := place(short(), list)
		if d.Refusal != nil {
			c.refused++
			continue
		}
		c.next++
		key := inflight.Key{Number: c.next}
		c.table.Begin(inflight.Dispatch{Key: key, Parts: d.Parts, Lasts: time.Minute}, start.Add(now))
		e := &c.engines[index(d.Target)]
		e.waiting = append(e.waiting, waiter{key: key, arrived: now, deferred: d.Parts[0].Deferred})
		c.settle(now)
	}
	c.settle(crestLasts + time.Minute)
}

// settle lets answers end and waiting prompts take their slots.
func (c *crest) settle(now time.Duration) {
	for i := range c.engines {
		e := &c.engines[i]
		for len(e.running) > 0 && e.running[0].ends <= now {
			ended := e.running[0]
			e.running = e.running[1:]
			c.table.End(ended.key, start.Add(now))
			c.admit(e, ended.ends)
		}
		c.admit(e, now)
	}
}

// admit gives free slots to those that wait, the deferred ones last.
func (c *crest) admit(e *slots, now time.Duration) {
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
		c.table.FirstEvent(w.key, start.Add(began))
		e.running = append(e.running, running{key: w.key, ends: began + answerTime})
		if began-w.arrived < short().LatencyTarget {
			c.inTime++
		}
	}
}

func playCrest(place func(r *Request, list []Candidate) Decision) *crest {
	c := &crest{table: inflight.New(), engines: make([]slots, crestEngines)}
	c.run(place)
	return c
}

// inTurn places as ours does, but defers nobody.
func inTurn(r *Request, list []Candidate) Decision {
	best := 0
	for i := range list {
		if list[i].Load.Writers < list[best].Load.Writers {
			best = i
		}
	}
	return Decision{Target: list[best].Target, Parts: []inflight.Part{{Target: list[best].Target, Writes: true, Gap: r.GapTarget}}}
}

// TestTheWaveOfShortPrompts offers 1.12 times what the slots serve. In turn
// almost all come late after the first seconds; ours serves as many in time as
// the slots allow, but for what predictions miss.
func TestTheWaveOfShortPrompts(t *testing.T) {
	p := placer()
	got := playCrest(func(r *Request, list []Candidate) Decision { return p.Place(r, service(), list) })
	naive := playCrest(inTurn)
	t.Logf("in time %d of %d, refused %d; in turn %d", got.inTime, got.all, got.refused, naive.inTime)
	if got.inTime*100 < 70*got.all {
		t.Errorf("%d of %d in time; the slots serve 89 in 100", got.inTime, got.all)
	}
	if naive.inTime >= got.inTime {
		t.Error("serving in turn is as good: the wave proves nothing")
	}
}

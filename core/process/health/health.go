// Package health judges targets by the outcomes of requests sent to them,
// since a target may fail requests while it reports that it is well.
//
// Each failure adds one to the target's score and each success takes a part
// away; the score halves every HalfLife. A target whose score reaches Suspect
// takes no requests until it has decayed below Cleared, and then some, so that
// it is tried again at a bounded rate.
//
// A target that died without a word is known by its silence: it owes answers,
// and nothing has come from it for SilentAfter.
//
// A Table is not safe for concurrent use.
package health

import (
	"math"
	"slices"
	"time"

	"carobspoke.example/core/names"
)

// Shape of the judgement.
const (
	// HalfLife is the time in which a score halves.
	HalfLife = 2 * time.Second
	// Suspect is the score at which a target is spared.
	Suspect = 2.0
	// Cleared is the score below which it takes requests again.
	Cleared = 1.2
	// successFactor is what a success leaves of the score.
	successFactor = 0.7
	// SilentAfter is how long nothing may come from a target that owes
	// answers; engines that read short prompts answer several times in it.
	SilentAfter = 700 * time.Millisecond
	// lost is the score of a target that cannot be reached.
	lost = 3.0
)

// Table holds the scores of targets.
type Table struct {
	scores map[names.Target]*score
}

type score struct {
	value  float64
	at     time.Time
	spared bool
	// told is true once it was returned that the target is spared, until it
	// was returned that it is not.
	told bool
	// owed is how many answers the target owes, and heard is since when
	// nothing has come.
	owed  int
	heard time.Time
}

// New returns a table of targets without faults.
func New() *Table { return &Table{scores: make(map[names.Target]*score)} }

func (t *Table) get(id names.Target, now time.Time) *score {
	s, ok := t.scores[id]
	if !ok {
		s = &score{at: now}
		t.scores[id] = s
	}
	elapsed := now.Sub(s.at)
	if elapsed > 0 {
		s.value *= math.Exp2(-elapsed.Seconds() / HalfLife.Seconds())
		s.at = now
	}
	if s.value < Cleared {
		s.spared = false
	}
	return s
}

// Sent records that the target owes one more answer.
func (t *Table) Sent(id names.Target, now time.Time) {
	s := t.get(id, now)
	if s.owed == 0 {
		s.heard = now
	}
	s.owed++
}

// Heard records that something came from the target.
func (t *Table) Heard(id names.Target, now time.Time) {
	if s, ok := t.scores[id]; ok {
		s.heard = now
	}
}

// Ended records that an answer is no longer owed.
func (t *Table) Ended(id names.Target) {
	if s, ok := t.scores[id]; ok && s.owed > 0 {
		s.owed--
	}
}

// Silent reports whether a target owes answers and nothing comes.
func (t *Table) Silent(id names.Target, now time.Time) bool {
	s, ok := t.scores[id]
	return ok && s.owed > 0 && now.Sub(s.heard) > SilentAfter
}

// Failed records a failure and reports whether the target is spared from now
// on and was not before.
func (t *Table) Failed(id names.Target, now time.Time) bool {
	return t.add(id, 1, now)
}

// Unreachable records that the target could not be connected to.
func (t *Table) Unreachable(id names.Target, now time.Time) bool {
	return t.add(id, lost, now)
}

func (t *Table) add(id names.Target, value float64, now time.Time) bool {
	s := t.get(id, now)
	was := s.spared
	s.value = min(s.value+value, 2*lost)
	if s.value >= Suspect {
		s.spared = true
	}
	begins := s.spared && !was && !s.told
	s.told = s.told || begins
	return begins
}

// Succeeded records a success.
func (t *Table) Succeeded(id names.Target, now time.Time) {
	if _, ok := t.scores[id]; ok {
		t.get(id, now).value *= successFactor
	}
}

// Score returns a target's score, zero without faults.
func (t *Table) Score(id names.Target, now time.Time) float64 {
	if _, ok := t.scores[id]; !ok {
		return 0
	}
	return t.get(id, now).value
}

// Spared reports whether a target takes no requests now.
func (t *Table) Spared(id names.Target, now time.Time) bool {
	if _, ok := t.scores[id]; !ok {
		return false
	}
	return t.get(id, now).spared
}

// SparedCount returns how many targets take no requests now.
func (t *Table) SparedCount(now time.Time) int {
	count := 0
	for id := range t.scores {
		if t.get(id, now).spared {
			count++
		}
	}
	return count
}

// LetBack returns the targets that take requests again and did not at the last
// call.
func (t *Table) LetBack(now time.Time) []names.Target {
	var back []names.Target
	for id, s := range t.scores {
		if s.told && !t.get(id, now).spared {
			s.told = false
			back = append(back, id)
		}
	}
	slices.Sort(back)
	return back
}

// Forget drops targets that are no longer listed.
func (t *Table) Forget(keep func(names.Target) bool) {
	for id := range t.scores {
		if !keep(id) {
			delete(t.scores, id)
		}
	}
}

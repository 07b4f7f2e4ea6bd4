package distribution

import (
	"time"

	"carobspoke.example/core/names"
)

// boot is what a daemon learns before it has anything in force.
//
// The rule of a starting daemon, for the highest version that it could fetch:
//
//  1. Some peer has a version in force. Then the daemon waits until
//     BootAnswers peers (or all live ones) answered, or BootWait has passed,
//     and takes the highest version that any of them told. A version that was
//     told but that nobody can give holds it back for ClaimKept.
//  2. No peer has one: the fleet starts as a whole, or this part of it. Then
//     more than half of the fleet (members, listed hosts or the number
//     expected, whichever is highest; itself counts) must have answered that
//     they have none, and a quarter of the engines asked, at least one, must
//     have reported fencing numbers, none of them above the version. A
//     version without engines needs no such report.
//
// As long as neither holds, nothing is in force and the daemon is not ready.
type boot struct {
	answers map[names.Host]Held
	// withVersion counts the peers that answered with a version.
	withVersion int
	targets     TargetsAnswered
	nextTargets time.Time
}

func (b *boot) heard(e Told) {
	if b.answers == nil {
		return
	}
	before, known := b.answers[e.From]
	if e.Held.Version > 0 && (!known || before.Version == 0) {
		b.withVersion++
	}
	if e.Held.Version >= before.Version {
		b.answers[e.From] = e.Held
	}
}

func (b *boot) targetsAnswered(e TargetsAnswered) { b.targets = e }

// end forgets what only a starting daemon needs.
func (b *boot) end() { *b = boot{} }

// mayBoot reports whether the fetched version may be the first in force.
func (m *Machine) mayBoot(now time.Time) bool {
	if m.ready.Version < m.fence {
		m.refuseBelowFence()
		return false
	}
	if m.boot.withVersion > 0 {
		return m.enoughAnswers(now) && m.endBoot()
	}
	if !m.majorityHasNone() {
		return false
	}
	return m.targetsAgree(now) && m.endBoot()
}

func (m *Machine) endBoot() bool {
	m.boot.end()
	return true
}

func (m *Machine) refuseBelowFence() {
	m.counters.BelowFence++
	m.ready = Held{}
	m.claims.drop(m.fence - 1)
}

func (m *Machine) enoughAnswers(now time.Time) bool {
	wanted := min(m.config.BootAnswers, len(m.live))
	return len(m.boot.answers) >= wanted || now.Sub(m.started) >= m.config.BootWait
}

func (m *Machine) majorityHasNone() bool {
	none := len(m.boot.answers) + 1
	return 2*none > m.members()
}

// targetsAgree reports whether enough engines answered for the fetched
// version, and asks them if not.
func (m *Machine) targetsAgree(now time.Time) bool {
	t := m.boot.targets
	if t.Held == m.ready && 4*t.Answered >= t.Asked && (t.Answered > 0 || t.Asked == 0) {
		return true
	}
	if !now.Before(m.boot.nextTargets) {
		m.boot.nextTargets = now.Add(m.config.TargetsEvery)
		m.act(AskTargets{Held: m.ready})
	}
	return false
}

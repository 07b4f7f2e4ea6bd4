package distribution

import (
	"time"

	"carobspoke.example/core/names"
)

// bootState holds the answers that a daemon collects before its first version
// is in force.
//
// The highest version that a starting daemon could fetch is put in force by
// these rules:
//
//  1. A peer has a version in force. The daemon waits until BootMinAnswers
//     peers (or all live ones) answered, or BootAnswerTimeout has passed, and
//     installs the highest version that any of them reported. A reported
//     version that no source can provide blocks lower ones for ClaimTTL.
//  2. No peer has one, since the whole fleet or this part of it starts. More
//     than half of the fleet (the highest of members, listed hosts and
//     expected daemons, this daemon included) must have answered that they
//     have none. A quarter of the queried engines, at least one, must have
//     reported fencing tokens, none of them above the version. A version
//     without engines needs no such report. A daemon that knows neither
//     members nor listed hosts waits for them until BootAnswerTimeout.
//
// Until one of the rules allows it, no version is in force and the daemon is
// not ready.
type bootState struct {
	// answers holds the highest version that each peer reported; nil after the
	// start.
	answers map[names.Host]VersionID
	// withVersion counts the peers that answered with a version.
	withVersion     int
	targetAnswers   TargetsAnswered
	nextTargetQuery time.Time
}

func (b *bootState) recordPeerAnswer(e PeerVersion) {
	if b.answers == nil {
		return
	}
	previous, known := b.answers[e.From]
	if e.VersionID.Version > 0 && (!known || previous.Version == 0) {
		b.withVersion++
	}
	if e.VersionID.Version >= previous.Version {
		b.answers[e.From] = e.VersionID
	}
}

func (b *bootState) recordTargetAnswers(e TargetsAnswered) { b.targetAnswers = e }

// reset drops the state that only a starting daemon needs.
func (b *bootState) reset() { *b = bootState{} }

// bootAllowed reports whether the fetched version may be the first in force.
func (m *Machine) bootAllowed(now time.Time) bool {
	if m.pending.Version < m.fence {
		m.rejectBelowFence()
		return false
	}
	if m.boot.withVersion > 0 {
		return m.enoughPeerAnswers(now) && m.endBoot()
	}
	if !m.fleetKnown(now) || !m.majorityHasNone() {
		return false
	}
	return m.enoughTargetAnswers(now) && m.endBoot()
}

func (m *Machine) endBoot() bool {
	m.boot.reset()
	return true
}

func (m *Machine) rejectBelowFence() {
	m.counters.BelowFence++
	m.pending = VersionID{}
	m.claims.removeUpTo(m.fence - 1)
}

func (m *Machine) enoughPeerAnswers(now time.Time) bool {
	required := min(m.config.BootMinAnswers, len(m.live))
	return len(m.boot.answers) >= required || now.Sub(m.started) >= m.config.BootAnswerTimeout
}

// fleetKnown reports whether the daemon knows other members or the list of hosts, or has
// waited for them for long enough. Until then it would take itself for the whole fleet.
func (m *Machine) fleetKnown(now time.Time) bool {
	return len(m.live) > 0 || m.listed > 0 || m.config.ExpectedDaemons > 0 || now.Sub(m.started) >= m.config.BootAnswerTimeout
}

func (m *Machine) majorityHasNone() bool {
	withoutVersion := len(m.boot.answers) + 1
	return 2*withoutVersion > m.fleetSize()
}

// enoughTargetAnswers reports whether enough engines answered for the fetched
// version, and queries them if not.
func (m *Machine) enoughTargetAnswers(now time.Time) bool {
	t := m.boot.targetAnswers
	if t.VersionID == m.pending && 4*t.Answered >= t.Asked && (t.Answered > 0 || t.Asked == 0) {
		return true
	}
	if !now.Before(m.boot.nextTargetQuery) {
		m.boot.nextTargetQuery = now.Add(m.config.TargetQueryInterval)
		m.emit(QueryTargets{VersionID: m.pending})
	}
	return false
}

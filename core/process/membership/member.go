package membership

import (
	"time"

	"carobspoke.example/core/names"
)

// State is what a daemon believes of a member.
type State uint8

// States, in the order in which they supersede each other for one incarnation
// and refutation.
const (
	// Alive members answer.
	Alive State = iota
	// Suspect members did not answer, and may still refute that.
	Suspect
	// Dead members did not refute a suspicion in time.
	Dead
	// Left members said that they stop.
	Left
)

// String returns the state's name in logs and answers.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	case Left:
		return "left"
	default:
		return "unknown"
	}
}

// Member is what is known of a daemon.
type Member struct {
	Host       names.Host
	DataCentre names.DataCentre
	// Region follows from the data centre; it is not sent.
	Region      names.Region
	Incarnation names.Incarnation
	// Refutation grows each time the member denies a suspicion.
	Refutation uint32
	State      State
	// Draining members finish what they have and take nothing new.
	Draining bool
	// Version is the highest manifest version that the member is known to
	// have had in force.
	Version names.Version
}

// Counted reports whether the member is taken for running: alive or suspect.
func (m *Member) Counted() bool { return m.State < Dead }

// Takes reports whether the member takes new work.
func (m *Member) Takes() bool { return m.Counted() && !m.Draining }

// supersedes reports whether m is newer knowledge than old.
func (m *Member) supersedes(old *Member) bool {
	if m.Incarnation != old.Incarnation {
		return m.Incarnation > old.Incarnation
	}
	if m.Refutation != old.Refutation {
		return m.Refutation > old.Refutation
	}
	return m.State > old.State
}

// Update is a member's state on its way between daemons.
type Update struct {
	Member
	// DeadFor is how long a dead member has been dead. It travels with the
	// update, so that passing it on does not keep it for ever.
	DeadFor time.Duration
}

// Bytes bounds the size of the update in a datagram.
func (u *Update) Bytes() int {
	size := fixedUpdateBytes + hostBytes(u.Host) + len(u.DataCentre) + numberBytes(uint64(u.Refutation))
	return size + numberBytes(uint64(u.Version)) + numberBytes(uint64(u.DeadFor.Milliseconds()))
}

// fixedUpdateBytes are the fields of fixed size and the heads of the others.
const fixedUpdateBytes = 2 + 2 + 2 + 9 + 2 + 2

// updateBound is the size of an update whose numbers are not yet known: of a
// refutation below 2^21, a version below 2^42 and a death of the last year.
func updateBound(h names.Host, dc names.DataCentre) int {
	const numbers = 4 + 7 + 7
	return fixedUpdateBytes + hostBytes(h) + len(dc) + numbers
}

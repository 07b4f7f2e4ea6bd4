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

// updateBytes is the size of an update in a datagram without its data centre.
const updateBytes = 34

// Bytes bounds the size of the update in a datagram.
func (u *Update) Bytes() int { return updateBytes + len(u.DataCentre) }

package membership

import (
	"time"

	"carobspoke.example/core/names"
)

// State is the state of a member in a daemon's view.
type State uint8

// States, in the order in which they supersede each other for one incarnation
// and refutation.
const (
	// Alive members answer probes.
	Alive State = iota
	// Suspect members did not answer a probe and may still refute the
	// suspicion.
	Suspect
	// Dead members did not refute a suspicion in time.
	Dead
	// Left members announced that they stop.
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

// Member is a daemon as it is known to its peers.
type Member struct {
	Host       names.Host
	DataCentre names.DataCentre
	// Region is derived from the data centre and is not sent.
	Region      names.Region
	Incarnation names.Incarnation
	// Refutation is incremented each time the member refutes a suspicion or
	// starts to drain.
	Refutation uint32
	State      State
	// Draining members finish their work in flight and accept no new work.
	Draining bool
	// Version is the highest manifest version known to have been in force
	// at the member.
	Version names.Version
}

// Active reports whether the member is presumed to be running: its state is
// Alive or Suspect.
func (m *Member) Active() bool { return m.State < Dead }

// AcceptsWork reports whether the member accepts new work.
func (m *Member) AcceptsWork() bool { return m.Active() && !m.Draining }

// supersedes reports whether m is newer than old.
func (m *Member) supersedes(old *Member) bool {
	if m.Incarnation != old.Incarnation {
		return m.Incarnation > old.Incarnation
	}
	if m.Refutation != old.Refutation {
		return m.Refutation > old.Refutation
	}
	return m.State > old.State
}

// Update is a member's state as daemons send it to each other.
type Update struct {
	Member
	// DeadFor is how long a member that is dead or left has been inactive.
	// It is sent with the update, so that forwarding the update does not
	// restart the retention time.
	DeadFor time.Duration
}

// Bytes returns an upper bound of the update's encoded size in a datagram.
func (u *Update) Bytes() int {
	size := fixedUpdateFieldBytes + hostBytes(u.Host) + len(u.DataCentre) + varintFieldBytes(uint64(u.Refutation))
	return size + varintFieldBytes(uint64(u.Version)) + varintFieldBytes(uint64(u.DeadFor.Milliseconds()))
}

// fixedUpdateFieldBytes is the encoded size of the fields of fixed size and of
// the tags and lengths of the other fields.
const fixedUpdateFieldBytes = 2 + 2 + 2 + 9 + 2 + 2

// maxUpdateBytes returns the size to reserve for an update whose numbers are
// read only when it is sent. It allows for a refutation below 2^21, a version
// below 2^42 and a DeadFor of at most a year.
func maxUpdateBytes(h names.Host, dc names.DataCentre) int {
	const numberFieldBytes = 4 + 7 + 7
	return fixedUpdateFieldBytes + hostBytes(h) + len(dc) + numberFieldBytes
}

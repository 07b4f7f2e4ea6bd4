package membership

import "carobspoke.example/core/names"

// Event is something that a Machine reacts to.
type Event interface{ event() }

// Tick lets time pass. Ticks must come several times within an AckTimeout.
type Tick struct{}

// Receive is a datagram that arrived. The shell has checked its origin.
type Receive struct{ Datagram Datagram }

// Seeds replaces the hosts that the platform lists. They are a hint: a listed
// host becomes a member only when it answers.
type Seeds struct{ Hosts []names.Host }

// Regions replaces what Config.Regions says, once a manifest tells it.
type Regions struct {
	Regions map[names.DataCentre]names.Region
}

// Publish passes on a digest of this daemon's own. Version digests also set
// the version that the daemon reports, to their sequence.
type Publish struct{ Digest Digest }

// Drain announces that this daemon takes no new work.
type Drain struct{}

// Leave announces that this daemon stops.
type Leave struct{}

func (Tick) event()    {}
func (Receive) event() {}
func (Seeds) event()   {}
func (Regions) event() {}
func (Publish) event() {}
func (Drain) event()   {}
func (Leave) event()   {}

// Action is something that the shell does for a Machine.
type Action interface{ action() }

// Send sends a datagram.
type Send struct {
	To       names.Host
	Datagram Datagram
}

// Changed tells that a member's entry changed.
type Changed struct{ Member Member }

// Deliver hands over a digest that another daemon published, once for each
// sequence, except that load digests come as often as they are received.
type Deliver struct {
	Digest Digest
	From   names.Host
}

func (Send) action()    {}
func (Changed) action() {}
func (Deliver) action() {}

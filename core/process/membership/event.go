package membership

import "carobspoke.example/core/names"

// Event is an input of a Machine.
type Event interface{ event() }

// Tick makes the machine run its timers. Ticks must come several times within
// an AckTimeout.
type Tick struct{}

// Receive is a received datagram, which the shell has authenticated.
type Receive struct{ Datagram Datagram }

// Seeds replaces the list of seed hosts, which the platform provides. A seed
// becomes a member only when it answers.
type Seeds struct{ Hosts []names.Host }

// Regions replaces Config.Regions, with the regions that a manifest defines.
type Regions struct {
	Regions map[names.DataCentre]names.Region
}

// Publish sends a digest of this daemon to its peers. A Version digest also
// raises the version that the daemon reports to the digest's sequence.
type Publish struct{ Digest Digest }

// Drain announces that this daemon accepts no new work.
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

// Action is an output of a Machine, which the shell performs.
type Action interface{ action() }

// Send sends a datagram.
type Send struct {
	To       names.Host
	Datagram Datagram
}

// MemberChanged reports that a member's entry changed.
type MemberChanged struct{ Member Member }

// Deliver passes on a digest that another daemon published. Each sequence of a
// key is delivered once, except that Load digests are delivered as often as
// they are received.
type Deliver struct {
	Digest Digest
	From   names.Host
}

func (Send) action()          {}
func (MemberChanged) action() {}
func (Deliver) action()       {}

package distribution

import "carobspoke.example/core/names"

// Event is an input of the machine.
type Event interface{ event() }

// Tick reports that time has passed. It is expected several times a second.
type Tick struct{}

// Members reports the other live daemons.
type Members struct {
	Live []Member
	// Listed is the number of hosts on the platform's list, or zero if it
	// is not known.
	Listed int
}

// Told reports which version a peer has in force, from an announcement or an
// answer to a query. The zero version is a valid answer.
type Told struct {
	From names.Host
	Held Held
}

// RootRead reports a root read at the service, with a verified signature.
type RootRead struct {
	Revision uint64
	Held     Held
	// Missing is the number of its pages that this daemon does not have.
	Missing int
	// Watched is true if the root came from a watch and not from a read.
	Watched bool
}

// ReadFailed reports that a read or watch of the root returned no usable root.
type ReadFailed struct {
	Watched bool
	// Quiet is true if the service ended a watch without a change.
	Quiet bool
	// Bad is true if the value is not a valid signed root.
	Bad bool
	// Content is true if the root is signed but invalid for this release.
	Content bool
}

// Fetched reports that a version is complete and valid.
type Fetched struct{ Held Held }

// Failure is the reason why a fetch failed.
type Failure uint8

// Reasons why a fetch failed.
const (
	// Unreachable means that the source gave no answer or an incomplete one.
	Unreachable Failure = iota
	// NotYet means that the source does not have the version yet, or that
	// pages are still missing after a fetch from the service.
	NotYet
	// Lied means that the source's bytes failed verification against their
	// digests or the operators' keys.
	Lied
	// Content means that the version itself is invalid.
	Content
)

// FetchFailed reports that a fetch ended without a complete version.
type FetchFailed struct {
	Held    Held
	Failure Failure
	// Missing is the number of pages that are still missing after a fetch
	// from the service.
	Missing int
}

// Fence reports a target's fencing number. Fencing numbers are manifest
// versions.
type Fence struct{ Version names.Version }

// TargetsAnswered reports how many of the queried engines answered. It follows
// one Fence event for each answer.
type TargetsAnswered struct {
	Held     Held
	Asked    int
	Answered int
}

func (Tick) event()            {}
func (Members) event()         {}
func (Told) event()            {}
func (RootRead) event()        {}
func (ReadFailed) event()      {}
func (Fetched) event()         {}
func (FetchFailed) event()     {}
func (Fence) event()           {}
func (TargetsAnswered) event() {}

// Action is an output of the machine, to be carried out by its caller.
type Action interface{ action() }

// Ask asks a peer which version it has in force; the answer is a Told event.
type Ask struct{ Host names.Host }

// Read reads the root at the service once.
type Read struct{}

// Watch waits at the service, once, for a root above a revision.
type Watch struct{ After uint64 }

// Unwatch cancels a pending watch; no event follows.
type Unwatch struct{}

// FetchPeer fetches the root and missing pages from a peer.
type FetchPeer struct {
	Held Held
	Host names.Host
}

// FetchService fetches missing pages of a version whose root was read at the
// service, with at most Calls calls. A fetch that leaves pages missing fails
// with NotYet.
type FetchService struct {
	Held  Held
	Calls int
}

// AskTargets asks a sample of the engines of a fetched version for their
// reports.
type AskTargets struct{ Held Held }

// Install puts a fetched version in force and announces it to the peers.
type Install struct{ Held Held }

func (Ask) action()          {}
func (Read) action()         {}
func (Watch) action()        {}
func (Unwatch) action()      {}
func (FetchPeer) action()    {}
func (FetchService) action() {}
func (AskTargets) action()   {}
func (Install) action()      {}

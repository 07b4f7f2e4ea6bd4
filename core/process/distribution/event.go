package distribution

import "carobspoke.example/core/names"

// Event is something that the machine is told.
type Event interface{ event() }

// Tick says that time has passed. It is expected several times a second.
type Tick struct{}

// Members says which other daemons are live.
type Members struct {
	Live []Member
	// Listed is the number of hosts on the platform's list, or zero if it
	// is not known.
	Listed int
}

// Told says what a peer has in force; none is an answer as well.
type Told struct {
	From names.Host
	Held Held
}

// RootRead says which root the service holds; its signature was checked.
type RootRead struct {
	Revision uint64
	Held     Held
	// Missing is the number of its pages that this daemon does not have.
	Missing int
	// Watched is true if a watch and not a read has ended.
	Watched bool
}

// ReadFailed says that a read or watch of the root gave none.
type ReadFailed struct {
	Watched bool
	// Quiet is true if the service ended a watch without a change.
	Quiet bool
	// Bad is true if there was a value that is not a signed root.
	Bad bool
	// Content is true if the root is signed but not read by this release.
	Content bool
}

// Fetched says that a version is complete and valid.
type Fetched struct{ Held Held }

// Failure says why a fetch failed.
type Failure uint8

// Failures of a fetch.
const (
	// Unreachable sources gave no answer, or not all of it.
	Unreachable Failure = iota
	// NotYet means that the source does not have the version yet.
	NotYet
	// Lied means that the source's bytes do not have their digests.
	Lied
	// Content means that the version itself is invalid.
	Content
)

// FetchFailed says that a fetch ended without a complete version.
type FetchFailed struct {
	Held    Held
	Failure Failure
	// Missing is the number of pages that are still missing after a fetch
	// from the service.
	Missing int
}

// Fence says that a target reported a fencing number. Fencing numbers are
// manifest versions.
type Fence struct{ Version names.Version }

// TargetsAnswered says how many of the engines asked reported, after a fence
// event for each of them.
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

// Action is something that the shell does.
type Action interface{ action() }

// Ask asks a peer what it has in force; the answer is a Told.
type Ask struct{ Host names.Host }

// Read reads the root at the service once.
type Read struct{}

// Watch waits for a root after a revision at the service, once.
type Watch struct{ After uint64 }

// Unwatch ends a watch that is waiting; no event follows.
type Unwatch struct{}

// FetchPeer fetches root and missing pages from a peer.
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

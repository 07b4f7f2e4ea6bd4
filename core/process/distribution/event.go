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

// PeerVersion reports which version a peer has in force, from an announcement or
// an answer to a query. The zero version is a valid answer.
type PeerVersion struct {
	From      names.Host
	VersionID VersionID
}

// RootRead reports a root read at the service, with a verified signature.
type RootRead struct {
	Revision  uint64
	VersionID VersionID
	// Missing is the number of its pages that this daemon does not have.
	Missing int
	// FromWatch is true if the root came from a watch and not from a read.
	FromWatch bool
}

// ReadFailed reports that a read or watch of the root returned no usable root.
type ReadFailed struct {
	FromWatch bool
	// NoChange is true if the service ended a watch without a change.
	NoChange bool
	// BadRoot is true if the value is not a valid signed root.
	BadRoot bool
	// BadContent is true if the root is signed but invalid for this release.
	BadContent bool
}

// Fetched reports that a version is complete and valid.
type Fetched struct{ VersionID VersionID }

// Failure is the reason why a fetch failed.
type Failure uint8

// Reasons why a fetch failed.
const (
	// Unreachable means that the source gave no answer or an incomplete one.
	Unreachable Failure = iota
	// NotYet means that the source does not have the version yet, or that
	// pages are still missing after a fetch from the service.
	NotYet
	// BadSource means that the source's bytes failed verification against their
	// digests or the operators' keys.
	BadSource
	// BadContent means that the version itself is invalid.
	BadContent
)

// FetchFailed reports that a fetch ended without a complete version.
type FetchFailed struct {
	VersionID VersionID
	Failure   Failure
	// Missing is the number of pages that are still missing after a fetch
	// from the service.
	Missing int
}

// Fence reports a target's fencing token. Fencing tokens are manifest
// versions.
type Fence struct{ Version names.Version }

// TargetsAnswered reports how many of the queried engines answered. It follows
// one Fence event for each answer.
type TargetsAnswered struct {
	VersionID VersionID
	Asked     int
	Answered  int
}

func (Tick) event()            {}
func (Members) event()         {}
func (PeerVersion) event()     {}
func (RootRead) event()        {}
func (ReadFailed) event()      {}
func (Fetched) event()         {}
func (FetchFailed) event()     {}
func (Fence) event()           {}
func (TargetsAnswered) event() {}

// Action is an output of the machine, to be carried out by its caller.
type Action interface{ action() }

// QueryPeer asks a peer which version it has in force. The answer is a PeerVersion
// event.
type QueryPeer struct{ Host names.Host }

// ReadRoot reads the root at the service once.
type ReadRoot struct{}

// WatchRoot waits at the service, once, for a root above a revision.
type WatchRoot struct{ After uint64 }

// CancelWatch cancels a pending watch; no event follows.
type CancelWatch struct{}

// FetchPeer fetches the root and missing pages from a peer.
type FetchPeer struct {
	VersionID VersionID
	Host      names.Host
}

// FetchService fetches missing pages of a version whose root was read at the
// service, with at most Calls calls. A fetch that leaves pages missing fails
// with NotYet.
type FetchService struct {
	VersionID VersionID
	Calls     int
}

// QueryTargets asks a sample of the engines of a fetched version for their
// reports.
type QueryTargets struct{ VersionID VersionID }

// Install puts a fetched version in force and announces it to the peers.
type Install struct{ VersionID VersionID }

func (QueryPeer) action()    {}
func (ReadRoot) action()     {}
func (WatchRoot) action()    {}
func (CancelWatch) action()  {}
func (FetchPeer) action()    {}
func (FetchService) action() {}
func (QueryTargets) action() {}
func (Install) action()      {}

// Package distribution decides how a daemon comes to have the newest manifest
// in force, and never an older one than before.
//
// The machine is pure: Step takes an event and the time and returns actions.
// A shell carries them out and reports what came of them. The machine keeps
// these rules:
//
//   - What is in force never goes down. The same version with other content
//     is refused and counted.
//   - Two daemons of each data centre, the first by rendezvous hashing over the
//     live members, watch the root at the configuration service. All others
//     hear of a version from their peers and fetch it from the peer that told
//     them, then from another, then from the service.
//   - Calls to the service come out of a bucket whose rate is this daemon's
//     part of FleetCalls, so that the fleet as a whole stays below it.
//   - Version numbers told by peers and fencing numbers reported by targets
//     are claims: they make the machine look for the version, and only bytes
//     that the operators signed are put in force.
//   - A daemon that has just started holds nothing and remembers nothing. It
//     puts a version in force only once it has learnt what may be in force
//     elsewhere; boot.go states the rule.
//
// A Machine is not safe for concurrent use.
package distribution

import (
	"time"

	"carobspoke.example/core/names"
)

// Held is a version and the digest of its root. Version zero means none.
type Held struct {
	Version names.Version
	Digest  names.Digest
}

// Member is a live daemon.
type Member struct {
	Host       names.Host
	DataCentre names.DataCentre
	// Version is the highest version that the member is known to have had
	// in force, or zero.
	Version names.Version
}

// Config holds the settings of a Machine.
type Config struct {
	Self Member
	// ExpectedDaemons is the number of daemons from the settings, or zero.
	// It serves until a member list or a manifest says more.
	ExpectedDaemons int
	// FleetCalls is the rate of calls to the service of all daemons
	// together, in calls a second. Within a single second they may
	// make up to twice as many.
	FleetCalls float64
	// WatchersPerCentre is the number of watchers of a data centre.
	WatchersPerCentre int
	// PollEvery is the mean time between reads of the root by a daemon,
	// watcher or not, which bound the harm of watchers that are cut off.
	PollEvery time.Duration
	// ViewSettle is how long after its start a daemon of a fleet above
	// SmallFleet does not yet watch, since its member list is not complete.
	ViewSettle time.Duration
	// FetchTimeout is after how long a fetch counts as failed.
	FetchTimeout time.Duration
	// RetryAfter is the mean wait before a source that failed is tried
	// again, and NotYetAfter that of a peer which passed an announcement on
	// before it had the version itself.
	RetryAfter  time.Duration
	NotYetAfter time.Duration
	// PeerPatience is how long a daemon that does not watch waits for its
	// peers before it reads pages from the service.
	PeerPatience time.Duration
	// ClaimKept is how long a claimed version that nobody can give keeps a
	// starting daemon from taking a lower one.
	ClaimKept time.Duration
	// AskEvery is the time between questions to peers while starting, and
	// AskPeers how many are asked each time.
	AskEvery time.Duration
	AskPeers int
	// AskBehind is the mean time between questions to peers by a daemon that
	// seems to be behind.
	AskBehind time.Duration
	// BootAnswers is how many peers must answer a starting daemon, one of
	// them with a version, if so many are live; BootWait is after how long
	// a single answer with a version will do.
	BootAnswers int
	BootWait    time.Duration
	// TargetsEvery is the time between questions to targets for their
	// fencing numbers while the whole fleet starts.
	TargetsEvery time.Duration
}

// SmallFleet is the number of daemons up to which all may watch for a while.
const SmallFleet = 32

// DefaultConfig returns the settings of this release for a daemon.
func DefaultConfig(self Member) Config {
	return Config{
		Self:              self,
		FleetCalls:        900,
		WatchersPerCentre: 2,
		PollEvery:         time.Minute,
		ViewSettle:        2 * time.Second,
		FetchTimeout:      5 * time.Second,
		RetryAfter:        300 * time.Millisecond,
		NotYetAfter:       40 * time.Millisecond,
		PeerPatience:      5 * time.Second,
		ClaimKept:         30 * time.Second,
		AskEvery:          250 * time.Millisecond,
		AskPeers:          16,
		AskBehind:         time.Second,
		BootAnswers:       5,
		BootWait:          3 * time.Second,
		TargetsEvery:      2 * time.Second,
	}
}

// Counters count what the machine saw and refused.
type Counters struct {
	Installed uint64
	// Conflicts counts the same version with other content.
	Conflicts uint64
	// Reverts counts versions offered by the service below the one in force.
	Reverts uint64
	// BelowFence counts versions refused since a target reported a higher
	// fencing number.
	BelowFence uint64
	// BadContent counts versions refused as invalid.
	BadContent uint64
	// BadRoot counts roots at the service that are not signed or not read.
	BadRoot uint64
	// PeerFailed and PeerLied count fetches from peers that failed, and
	// those whose bytes did not have their digests.
	PeerFailed uint64
	PeerLied   uint64
	// ServiceFailed counts calls to the service that failed, and
	// ServiceCalls all that were made.
	ServiceFailed uint64
	ServiceCalls  uint64
}

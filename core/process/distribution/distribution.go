// Package distribution decides how a daemon obtains the newest manifest and
// puts it in force, and never replaces the one in force by an older one.
//
// The machine is pure: Step takes an event and the time and returns actions.
// The caller carries them out and reports their results as events. The machine
// keeps these rules:
//
//   - The version in force never decreases. The same version with other
//     content is refused and counted.
//   - Two daemons of each data centre, the first by rendezvous hashing over the
//     live members, watch the root at the configuration service. All others
//     learn of a version from their peers. They fetch it from the peer that
//     reported it, then from another peer, then from the service.
//   - Calls to the service are limited by a token bucket whose rate is this
//     daemon's share of FleetCallRate, so that the whole fleet stays below it.
//   - Version numbers reported by peers and fencing tokens reported by targets
//     are unverified claims: they make the machine look for the version, and
//     only bytes that the operators signed are put in force.
//   - A daemon that has just started has no version and no stored state. It
//     puts a version in force only once it has learnt which versions may be in
//     force elsewhere; bootState documents the rule.
//
// A Machine is not safe for concurrent use.
package distribution

import (
	"time"

	"carobspoke.example/core/names"
)

// VersionID identifies a manifest version by its number and the digest of its
// root. Version zero means none.
type VersionID struct {
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
	// ExpectedDaemons is the number of daemons from the settings, or zero. It
	// is a lower bound of the fleet's size, used until the member list or the
	// platform's list of hosts is longer.
	ExpectedDaemons int
	// FleetCallRate is the rate of calls to the service of all daemons
	// together, in calls a second. Token buckets hold the calls of one second,
	// so up to twice as many are possible within a single second.
	FleetCallRate float64
	// WatchersPerDataCentre is the number of watchers of a data centre.
	WatchersPerDataCentre int
	// RootPollInterval is the mean time between reads of the root by a daemon,
	// watcher or not. Polling bounds the delay if the watchers are cut off.
	RootPollInterval time.Duration
	// MembersSettleTime is how long after its start a daemon of a fleet above
	// SmallFleetMaxDaemons does not watch, since its member list is not
	// complete yet.
	MembersSettleTime time.Duration
	// FetchTimeout is the time after which a fetch counts as failed.
	FetchTimeout time.Duration
	// RetryDelay is the mean delay before a failed source is tried again.
	// NotYetRetryDelay is that of a peer that forwarded an announcement before
	// it had the version itself.
	RetryDelay       time.Duration
	NotYetRetryDelay time.Duration
	// ServiceFallbackDelay is how long a daemon that does not watch waits for
	// its peers before it reads pages from the service. It is also the mean
	// time between reads of the root while no version is in force.
	ServiceFallbackDelay time.Duration
	// ClaimTTL is how long a claimed version is kept after a fetch of it first
	// failed. Until then it keeps a starting daemon from installing a lower
	// version.
	ClaimTTL time.Duration
	// BootQueryInterval is the time between queries to peers while no version
	// is in force, and BootQueryFanout the number of peers queried each time.
	BootQueryInterval time.Duration
	BootQueryFanout   int
	// CatchUpQueryInterval is the mean time between queries to peers by a
	// daemon that seems to be behind.
	CatchUpQueryInterval time.Duration
	// BootMinAnswers is the number of peers that must answer a starting
	// daemon, at least one of them with a version; all live peers suffice if
	// there are fewer. After BootAnswerTimeout a single answer with a version
	// suffices.
	BootMinAnswers    int
	BootAnswerTimeout time.Duration
	// TargetQueryInterval is the time between queries to targets for their
	// fencing tokens while the whole fleet starts.
	TargetQueryInterval time.Duration
}

// SmallFleetMaxDaemons is the fleet size up to which a daemon may watch before
// its member list has settled.
const SmallFleetMaxDaemons = 32

// DefaultConfig returns the default settings of a daemon.
func DefaultConfig(self Member) Config {
	return Config{
		Self:                  self,
		FleetCallRate:         900,
		WatchersPerDataCentre: 2,
		RootPollInterval:      time.Minute,
		MembersSettleTime:     2 * time.Second,
		FetchTimeout:          5 * time.Second,
		RetryDelay:            300 * time.Millisecond,
		NotYetRetryDelay:      40 * time.Millisecond,
		ServiceFallbackDelay:  5 * time.Second,
		ClaimTTL:              30 * time.Second,
		BootQueryInterval:     250 * time.Millisecond,
		BootQueryFanout:       16,
		CatchUpQueryInterval:  time.Second,
		BootMinAnswers:        5,
		BootAnswerTimeout:     3 * time.Second,
		TargetQueryInterval:   2 * time.Second,
	}
}

// Counters count installed versions, refused versions and failures.
type Counters struct {
	Installed uint64
	// Conflicts counts reports of the version in force with other content.
	Conflicts uint64
	// Reverts counts versions offered by the service below the one in force.
	Reverts uint64
	// BelowFence counts versions refused because a target reported a higher
	// fencing token.
	BelowFence uint64
	// BadContent counts versions refused as invalid.
	BadContent uint64
	// BadRoot counts roots at the service that are unsigned or cannot be
	// parsed.
	BadRoot uint64
	// PeerFailed counts fetches from peers that failed, and PeerLied those
	// whose bytes did not match their digests.
	PeerFailed uint64
	PeerLied   uint64
	// ServiceFailed counts failed calls to the service, and ServiceCalls all
	// calls.
	ServiceFailed uint64
	ServiceCalls  uint64
}

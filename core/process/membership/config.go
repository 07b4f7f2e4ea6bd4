package membership

import (
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/gossip"
)

// Config holds the settings of a Machine.
type Config struct {
	// Period is the time from one probe to the next.
	Period time.Duration
	// AckTimeout is how long a direct probe waits for its ack before other
	// members are asked to probe. It must exceed the longest round trip
	// between regions.
	AckTimeout time.Duration
	// IndirectProbes is how many members are asked to ping a member that did
	// not answer a direct probe.
	IndirectProbes int
	// SuspicionPeriods is the suspicion timeout in periods for a fleet of
	// ten; the timeout grows with the logarithm of the fleet's size.
	SuspicionPeriods float64
	// PauseThreshold is the gap between two ticks above which the process is
	// considered to have been paused.
	PauseThreshold time.Duration
	// RecoveryResponses is how many peers must answer before a process that
	// started or was paused trusts its view.
	RecoveryResponses int
	// IsolationProbes is how many consecutive probes must go unanswered for
	// the daemon to consider itself isolated.
	IsolationProbes int
	// AloneAfter is how long an isolated daemon suspends failure detection.
	// A daemon that starts and reaches none of its seeds for this long
	// considers itself the first of the fleet.
	AloneAfter time.Duration
	// DeadRetention is how long a dead member of the daemon's region is
	// retained, and UnreachableRetention one of another region.
	DeadRetention        time.Duration
	UnreachableRetention time.Duration
	// ContactPeriod is the time between pings to inactive hosts: seeds that
	// are not yet known and dead members that are retained. In one
	// ContactPeriod a daemon pings at most one such host, and the whole
	// fleet pings each of them about ContactsPerHost times.
	ContactPeriod   time.Duration
	ContactsPerHost int
	// SyncPeriod is the time between two requests for pages of a peer's
	// member table.
	SyncPeriod time.Duration
	// SyncRepliesPerSecond is how many pages a daemon sends to peers in a
	// second.
	SyncRepliesPerSecond int
	// PageBytes is the size limit of a page of a member table and
	// DatagramBytes that of a datagram that carries updates or digests.
	PageBytes     int
	DatagramBytes int
	// BytesPerSecond is the send rate above which a daemon adds no updates
	// or digests to its datagrams, except to pushes.
	BytesPerSecond int
	// Fanout is how many members an urgent update or digest is pushed to.
	Fanout int
	// PushGap is the minimum time between two pushes of urgent digests.
	PushGap time.Duration
	// Regions maps each data centre to its region. A data centre that is
	// missing forms a separate region.
	Regions map[names.DataCentre]names.Region
}

// Size limits of tables and queues, in entries unless the name says otherwise.
const (
	// MaxMembers limits the member table and the list of seeds.
	MaxMembers = 4096
	// MaxIndirectPings limits the pending pings sent on behalf of peers.
	MaxIndirectPings = 64
	// MaxCrashes limits the crash digests that are queued, and the keys of
	// each kind whose last sequence is remembered.
	MaxCrashes = 1024
	// MaxVersions limits the version digests that are queued. A daemon publishes a position
	// and a version of the configuration at the same time.
	MaxVersions = 4
	// MaxLoads limits the load digests that are queued.
	MaxLoads = 32
	// MaxPayloadBytes is the size limit of a digest's payload.
	MaxPayloadBytes = 512
)

// DefaultConfig returns the default settings.
func DefaultConfig() Config {
	return Config{
		Period:               time.Second,
		AckTimeout:           300 * time.Millisecond,
		IndirectProbes:       3,
		SuspicionPeriods:     4,
		PauseThreshold:       2 * time.Second,
		RecoveryResponses:    2,
		IsolationProbes:      3,
		AloneAfter:           15 * time.Second,
		DeadRetention:        10 * time.Minute,
		UnreachableRetention: 3 * time.Hour,
		ContactPeriod:        5 * time.Second,
		ContactsPerHost:      3,
		SyncPeriod:           250 * time.Millisecond,
		SyncRepliesPerSecond: 4,
		PageBytes:            900,
		DatagramBytes:        1100,
		BytesPerSecond:       2000,
		Fanout:               3,
		PushGap:              20 * time.Millisecond,
	}
}

// maxTransmits returns how often a daemon sends an update in a fleet of n
// members.
func maxTransmits(n int) int { return 4 * decimalDigits(n) }

// queueLimits returns the limits of the gossip queue in a fleet of n members.
func queueLimits(n int) [gossip.Kinds]gossip.Limits {
	times := maxTransmits(n)
	return [gossip.Kinds]gossip.Limits{
		gossip.Version: {MaxEntries: MaxVersions, MaxTransmits: times},
		gossip.Member:  {MaxEntries: MaxMembers, MaxTransmits: times},
		gossip.Crash:   {MaxEntries: MaxCrashes, MaxTransmits: times},
		gossip.Load:    {MaxEntries: MaxLoads, MaxTransmits: 4},
	}
}

// decimalDigits returns the number of decimal digits of n, at least one.
func decimalDigits(n int) int {
	d := 1
	for n >= 10 {
		n /= 10
		d++
	}
	return d
}

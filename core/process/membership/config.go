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
	// AckTimeout is how long a direct probe waits before others are asked
	// to help. It must be above the longest round trip between regions.
	AckTimeout time.Duration
	// Helpers is how many members are asked to probe indirectly.
	Helpers int
	// SuspicionPeriods is how many periods a suspicion lasts in a fleet of
	// ten; it grows with the logarithm of the fleet's size.
	SuspicionPeriods float64
	// PauseAfter is the gap between two ticks that counts as a pause.
	PauseAfter time.Duration
	// WakeAnswers is how many peers must answer before a process that
	// started or was paused trusts its view.
	WakeAnswers int
	// DeafProbes is how many probes in a row may go without any answer
	// before the daemon takes itself for cut off.
	DeafProbes int
	// AloneAfter is how long a daemon that gets no answers suspects nobody.
	// A daemon that starts and reaches none of its seeds for as long takes
	// itself for the first.
	AloneAfter time.Duration
	// DeadKept is how long a dead member of the own region is kept, and
	// UnreachableKept one of another region.
	DeadKept        time.Duration
	UnreachableKept time.Duration
	// ContactPeriod is the time between contacts with hosts that are listed
	// or kept but not counted. The fleet together contacts each such host
	// about ContactsEach times in it, and no daemon more than one.
	ContactPeriod time.Duration
	ContactsEach  int
	// SyncPeriod is the time between requests for pages of the table.
	SyncPeriod time.Duration
	// SyncReplies is how many pages a daemon gives away in a second.
	SyncReplies int
	// PageBytes bounds a page, DatagramBytes a datagram.
	PageBytes     int
	DatagramBytes int
	// BytesPerSecond is the rate above which a daemon adds no updates or
	// digests to what it sends.
	BytesPerSecond int
	// Fanout is how many members an urgent digest is pushed to at once.
	Fanout int
	// PushGap is the least time between two pushes of urgent digests.
	PushGap time.Duration
	// Regions says in which region each data centre lies. A data centre
	// that is missing forms a region of its own.
	Regions map[names.DataCentre]names.Region
}

// Bounds of tables, in entries.
const (
	// MaxMembers bounds the member table.
	MaxMembers = 4096
	// MaxRelays bounds the pings made on behalf of others.
	MaxRelays = 64
	// MaxCrashes bounds the crash digests that are remembered and queued.
	MaxCrashes = 1024
	// MaxLoads bounds the load digests queued.
	MaxLoads = 32
	// MaxPayloadBytes bounds a digest's payload.
	MaxPayloadBytes = 512
)

// DefaultConfig returns the settings of this release.
func DefaultConfig() Config {
	return Config{
		Period:           time.Second,
		AckTimeout:       300 * time.Millisecond,
		Helpers:          3,
		SuspicionPeriods: 4,
		PauseAfter:       2 * time.Second,
		WakeAnswers:      2,
		DeafProbes:       3,
		AloneAfter:       15 * time.Second,
		DeadKept:         10 * time.Minute,
		UnreachableKept:  3 * time.Hour,
		ContactPeriod:    5 * time.Second,
		ContactsEach:     3,
		SyncPeriod:       250 * time.Millisecond,
		SyncReplies:      4,
		PageBytes:        900,
		DatagramBytes:    1100,
		BytesPerSecond:   2000,
		Fanout:           3,
		PushGap:          20 * time.Millisecond,
	}
}

// transmits is how often an update is sent in a fleet of n.
func transmits(n int) int { return 4 * digits(n) }

// limits returns the queue's limits in a fleet of n.
func limits(n int) [gossip.Kinds]gossip.Limits {
	times := transmits(n)
	return [gossip.Kinds]gossip.Limits{
		gossip.Version: {Entries: 1, Transmits: times},
		gossip.Member:  {Entries: MaxMembers, Transmits: times},
		gossip.Crash:   {Entries: MaxCrashes, Transmits: times},
		gossip.Load:    {Entries: MaxLoads, Transmits: 4},
	}
}

// digits returns the number of decimal digits of n, at least one.
func digits(n int) int {
	d := 1
	for n >= 10 {
		n /= 10
		d++
	}
	return d
}

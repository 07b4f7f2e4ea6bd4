package membership

// Counters count what a Machine did since its start.
type Counters struct {
	// Sent counts datagrams and SentBytes their bytes, by purpose, with the
	// headers of UDP and IP.
	Sent      [Purposes]uint64
	SentBytes [Purposes]uint64
	// Received counts datagrams and ReceivedBytes their bytes.
	Received      uint64
	ReceivedBytes uint64
	// DroppedOldIncarnation counts datagrams from or to an earlier
	// incarnation, DroppedOwn those with this daemon's own address.
	DroppedOldIncarnation uint64
	DroppedOwn            uint64
	// DroppedBusy counts requests refused because a bound was reached,
	// DroppedFull members refused because the table was full, and
	// DroppedDigests digests that were malformed.
	DroppedBusy    uint64
	DroppedFull    uint64
	DroppedDigests uint64
	// FromDead counts datagrams of members that were declared dead.
	FromDead uint64
	// IndirectProbes counts probes for which others were asked to help.
	IndirectProbes uint64
	// Suspicions and Deaths count this daemon's own judgements, Refutations
	// its denials.
	Suspicions  uint64
	Deaths      uint64
	Refutations uint64
	// Contacts counts pings to hosts that were not counted.
	Contacts uint64
	// Forgotten counts members dropped from the table.
	Forgotten uint64
	// Syncs counts passes over peers' tables, Pauses this daemon's pauses.
	Syncs  uint64
	Pauses uint64
}

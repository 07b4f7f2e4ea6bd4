package membership

// Counters holds a Machine's counters since its start.
type Counters struct {
	// Sent counts datagrams sent and SentBytes their bytes, by purpose. The
	// bytes include the UDP and IP headers.
	Sent      [Purposes]uint64
	SentBytes [Purposes]uint64
	// Received counts datagrams received and ReceivedBytes their bytes.
	Received      uint64
	ReceivedBytes uint64
	// DroppedOldIncarnation counts datagrams from an earlier incarnation of
	// the sender or to another incarnation of this daemon. DroppedOwnAddress
	// counts those whose sender address is this daemon's.
	DroppedOldIncarnation uint64
	DroppedOwnAddress     uint64
	// DroppedBusy counts ping and sync requests refused because a limit was
	// reached or the request's filter was malformed, DroppedTableFull members
	// refused because the table was full, and DroppedDigests digests of an
	// invalid kind or size.
	DroppedBusy      uint64
	DroppedTableFull uint64
	DroppedDigests   uint64
	// FromDead counts datagrams from members that are dead or have left.
	FromDead uint64
	// IndirectProbes counts probes for which other members were asked to
	// ping.
	IndirectProbes uint64
	// Suspicions and Deaths count the members that this daemon suspected or
	// declared dead. Refutations counts the claims that this daemon is
	// suspect or dead that it refuted.
	Suspicions  uint64
	Deaths      uint64
	Refutations uint64
	// Contacts counts pings to inactive hosts.
	Contacts uint64
	// Expired counts members removed from the table after their retention
	// time.
	Expired uint64
	// Syncs counts table synchronisations that this daemon started, and
	// Pauses the pauses of its process.
	Syncs  uint64
	Pauses uint64
}

// Package membership implements a SWIM-style failure detector: it decides which
// daemons are members by probes and gossip, without an external store.
//
// A Machine is one daemon's view of the fleet. In each period it probes one
// member, in a random order that visits all of them. A member that does not
// answer is probed indirectly through other members, then suspected, and
// declared dead if it does not refute the suspicion in time. Changes are
// piggybacked on probes and acks in the priority order of package gossip, so
// that the messages and bytes that a daemon sends do not depend on the size of
// the fleet.
//
// A member's entries are ordered by (incarnation, refutation, state). The
// incarnation is chosen when the process starts. The refutation number grows
// when a process learns that others suspect it. Dead members are retained for
// some time, those of other regions for longer than an outage between regions
// lasts, and are contacted at a bounded rate, so that the two sides of a
// partition merge again.
//
// A process that was paused, has just started or receives no answers must not
// act on its view: ViewTrusted returns false until enough peers have answered.
//
// The package does no I/O and reads no clock: the time is passed with each
// event, and random numbers come from the generator passed to New. The shell
// (serving/process/membership) performs the actions that Step returns. A
// Machine is not safe for concurrent use.
package membership

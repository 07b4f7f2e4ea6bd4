// Package membership is the fleet's failure detector: it decides which daemons
// are members, by probes and gossip, without any store.
//
// A Machine is one daemon's view. Each period it probes one member, in a
// random order that visits all of them; a member that does not answer is
// probed through others, then suspected, and declared dead if it does not
// refute the suspicion in time. Changes travel inside probes and answers, in
// the order of priority that package gossip gives, so that a daemon's messages
// and bytes do not depend on the fleet's size.
//
// A member is ordered by (incarnation, refutation, state). The incarnation is
// drawn when a process starts. The refutation grows when a process learns that
// others suspect it. Dead members are kept for a while, those of other regions
// for longer than an outage between regions lasts, and are contacted at a
// bounded rate, so that two halves of a fleet find each other again.
//
// A process that was paused, has just started, or gets no answers must not
// trust its view: Awake is false until enough peers have answered.
//
// The package is pure: time comes with each call and random numbers come from
// the generator given to New. A Machine is not safe for concurrent use.
package membership

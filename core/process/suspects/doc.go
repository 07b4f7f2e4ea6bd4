// Package suspects identifies the parts of prompts that crash targets, from the ends of
// targets and the requests that each end cut off.
//
// A request is described by its items: the shared parts of its prompt, and the request as
// a whole. The end of a target accuses the items of the requests that it cut off while
// their answers began. Accusations are exchanged between daemons; a daemon's state is a
// set of ends for each item, so that their order and repetition do not matter. An end is
// that of an incarnation: it counts once, however many requests and daemons it hits.
//
// A request that a target completed, or has been answering for AccusedFor, is sound as of the
// time at which it was sent: its items lose the ends from before that time. Later ones stay,
// since an item may begin to crash targets at any time.
//
// An item is refused from its third end on, once sound requests with it would be known if
// it did not crash targets, and if it is in a third of the ends of its services since its
// first. Ends that a more suspicious refused item is in, or one in more ends, do not count.
// Items that are in the same ends are refused together. So a part that nearly all requests of
// a route share is not refused while its requests are sound, and the simultaneous end of
// many targets by another cause refuses no part.
//
// Customers are kept apart: an item is refused only for customers that it was accused
// with, or for all once two customers have accused it.
//
// # Load
//
// Per request: one lookup for each of at most MaxParts + 1 items, at arrival and at
// its end. Per end and daemon: one accusation of at most MaxSuspects items. In the recorded incident 14
// targets served 15 requests a second with nine daemons; an end cut off 4 to 20 requests
// of all daemons, the first five ends came within 0.6 s, and 28 within 8.5 s.
//
// A Table is not safe for concurrent use.
package suspects

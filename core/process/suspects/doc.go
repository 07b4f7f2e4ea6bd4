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
// An item is refused from its third end on, if it is in a third of the ends of its services
// since its first, and either
//   - sound requests with it would be known if it did not crash targets. Only time counts in
//     which targets of the service ran requests, which a sound request of the service shows:
//     while all targets are down, nothing is heard of any item. Or
//   - the item is in more ends than its share of the requests accounts for, see
//     Table.evidence. An item that most requests have is in the ends of any cause.
//
// A refusal lasts long only if that is clear, since no request with a refused item can show
// that it is sound; otherwise it ends soon, and a further end renews it. Ends that a more
// suspicious refused item is in, or one in more ends, do not count. Items that are in the same
// ends, with similar evidence, are refused together.
//
// So a part that nearly all requests of a route share is not refused while its requests are
// sound, and the simultaneous end of many or all targets by another cause refuses no part, with
// one limit: a part of few requests that happens to run on nearly all targets that end. How
// unlikely that must be is set by minEvidence, and less strictly by minEvidenceUnknown while daemons
// know few sound requests, such as after a loss of all.
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

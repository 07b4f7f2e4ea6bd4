// Package measure records what a run of the load tool saw and turns it into a
// result that can be kept, compared and drawn.
//
// Latencies are measured from the moment when a request should have been sent
// by its schedule, not from when it was: a caller that is held up by slow
// answers does not hide them (coordinated omission). How late the tool itself
// sent is recorded beside.
package measure

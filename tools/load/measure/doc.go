// Package measure records the requests of a run of the load tool and summarises
// them in a result that can be saved, compared and plotted.
//
// Latencies are measured from the scheduled time of a request, not from the time
// at which it was sent, so that delayed sends do not hide slow answers
// (coordinated omission). The delay between the scheduled and the actual time of
// sending is recorded separately, as lateness.
package measure

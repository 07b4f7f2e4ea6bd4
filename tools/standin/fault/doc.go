// Package fault is the HTTP server of every stand-in. A test, or a request to
// the control path /fault, can make the stand-in fail: it is killed, paused or
// slow, answers with an error, drops answers of requests that it has processed,
// or cuts answers off.
//
// Faults are applied between the network and the stand-in's handler, so that
// the handlers themselves contain no failure code. The control path is not
// subject to faults, except that a killed server does not listen at all.
package fault

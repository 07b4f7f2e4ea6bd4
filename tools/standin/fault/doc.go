// Package fault is the HTTP server under every stand-in. It lets a test, or a
// request to its control path /fault, make the stand-in fail: killed, paused,
// slow, answering nothing after it acted, or cutting its answers.
//
// A fault acts between the network and the stand-in's handler, so that the
// handlers themselves contain no failure code. The control path is not
// subject to faults, except that a killed server has no listener either.
package fault

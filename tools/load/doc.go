// Package load is the load and experiment tool: it sends the schedule of a
// workload file to daemons or to bare targets, causes the file's faults at the
// stand-ins, checks the promises against the stand-ins' own records, and
// compares and draws results.
//
// The loop is open: each request is sent at its time in the schedule however
// slow answers are.
package load

// Package load is the load generator and experiment tool. It sends the schedule
// of a workload file to daemons or directly to targets, injects the file's
// faults into the stand-ins, checks the service guarantees against the records
// of the stand-ins, and compares and plots results.
//
// The load generator is open-loop: each request is sent at its scheduled time,
// no matter how slow earlier answers are.
package load

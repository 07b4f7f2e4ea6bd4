// Package workload defines what the load tool sends: a workload file in TOML,
// and the schedule of requests that is generated from a file and a seed.
//
// A schedule depends on the file and the seed alone. The properties of each
// request are drawn from a random stream selected by the request's index, so
// that leaving a class out of a run does not change the other requests, and two
// runs can be compared request by request.
package workload

// Package workload defines what the load tool sends: a file in TOML, and the
// schedule that a file and a seed make.
//
// A schedule is a function of the file and the seed alone. Each arrival draws
// its facts from random numbers of its own, so that leaving a class out of a
// run leaves all other arrivals as they were, and two runs can be compared
// request by request.
package workload

// Package ratelimits keeps the rates that targets in need have named.
//
// A target names in its answers how many requests a second it takes from all daemons
// together. The statement is about one start of the target and holds until an answer
// without it, or with another rate, says otherwise.
//
// A Table is not safe for concurrent use.
package ratelimits

import (
	"time"

	"carobspoke.example/core/names"
)

// Table holds the limits of targets.
type Table struct {
	targets map[names.Target]*limit
	// capacity is maxTargets, except in tests.
	capacity int
}

// limit is the limit of one start of a target.
type limit struct {
	started int64
	// rate is in requests per second; zero if the limit was lifted. readAt is when the
	// statement was read that is in force.
	rate   float64
	readAt time.Time
	// listedAt is when the target was last known to be listed.
	listedAt time.Time
}

// New returns an empty table.
func New() *Table { return &Table{targets: make(map[names.Target]*limit), capacity: maxTargets} }

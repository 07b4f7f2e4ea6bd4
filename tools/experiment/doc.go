// Package experiment measures the policy: it runs the product's decision code
// and naive versions of it over the same workloads in virtual time.
//
// It is not a simulator of a cluster. There is one event loop, a few fake
// engines with a time model of continuous batching, and several deciders that
// share nothing, each with its own late reports. Networks do not fail, and no
// process dies. What it measures is how good the decisions are when all else
// works. Runs are seeded and repeat exactly.
package experiment

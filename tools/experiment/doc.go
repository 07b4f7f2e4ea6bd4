// Package experiment measures the quality of placement and admission decisions:
// it runs the product's decision code and naive policies over the same workloads
// in virtual time.
//
// It does not simulate a cluster. One event loop drives a few fake engines, with
// a time model of continuous batching, and several deciders, which share no state
// and receive engine reports with independent delays. Networks and daemons do not
// fail; engines fail only in the experiments on spans. Runs are seeded and
// deterministic.
package experiment

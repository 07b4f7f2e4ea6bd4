// Package history records the operations that callers and targets of a
// concurrent run observed, and checks with the linearizability checker
// porcupine that the run kept the guarantees of the serving layer.
//
// There are three models. A call register holds whether a call was executed: it
// is executed at most once, an answer must be that of the execution, and the
// verdict not_run is only valid before the execution. A stream is a sequence of
// tokens that ends after the last token. An observed version never decreases.
// Operations are recorded outside the daemons under test: sends at the callers
// and executions at the services.
package history

import (
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/cespare/xxhash/v2"
)

// CheckTimeout is the longest time that Check runs.
const CheckTimeout = 20 * time.Second

// Recorder collects operations in the order in which they begin and end. It is
// safe for concurrent use.
type Recorder struct {
	mu sync.Mutex
	// time is a logical clock, incremented at each begin and end.
	time int64
	ops  []porcupine.Operation
}

// Begin starts an operation and returns the function that ends and records it.
// An operation that is never ended is not part of the history.
func (r *Recorder) Begin(client int, input any) func(output any) {
	call := r.tick()
	return func(output any) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.time++
		r.ops = append(r.ops, porcupine.Operation{ClientId: client, Input: input, Call: call, Output: output, Return: r.time})
	}
}

// RecordInstant records an operation that begins and ends at once.
func (r *Recorder) RecordInstant(client int, input, output any) {
	r.Begin(client, input)(output)
}

// Operations returns a copy of the operations recorded so far.
func (r *Recorder) Operations() []porcupine.Operation {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]porcupine.Operation(nil), r.ops...)
}

func (r *Recorder) tick() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.time++
	return r.time
}

// Check reports whether a history satisfies a model. It returns false if the
// check does not finish within CheckTimeout.
func Check(model porcupine.Model, ops []porcupine.Operation) bool {
	return porcupine.CheckOperationsTimeout(model, ops, CheckTimeout) == porcupine.Ok
}

// Fingerprint returns a hash of the described operations; equal histories have
// equal fingerprints.
func Fingerprint(describe func(porcupine.Operation) string, ops []porcupine.Operation) uint64 {
	hash := xxhash.New()
	for _, op := range ops {
		_, _ = hash.WriteString(describe(op)) // WriteString never returns an error
		_, _ = hash.WriteString("\n")
	}
	return hash.Sum64()
}

// partition returns a function that splits a history by the key of its
// operations. Parts are ordered by the first appearance of their key.
func partition(key func(input any) string) func([]porcupine.Operation) [][]porcupine.Operation {
	return func(ops []porcupine.Operation) [][]porcupine.Operation {
		index := map[string]int{}
		var parts [][]porcupine.Operation
		for _, op := range ops {
			k := key(op.Input)
			if _, ok := index[k]; !ok {
				index[k] = len(parts)
				parts = append(parts, nil)
			}
			parts[index[k]] = append(parts[index[k]], op)
		}
		return parts
	}
}

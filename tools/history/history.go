// Package history records what callers and targets of a concurrent run saw,
// and checks with porcupine whether the run kept the promises.
//
// Three models are checked. A call register holds whether a call has acted: it
// may act once, an answer is that of the action, and not_run is only true
// before it. A stream is a sequence of tokens that ends when all have come. An
// observed version never falls. Operations are recorded where they can be
// seen: sends at their callers and actions at the services, never inside the
// daemons that are checked.
package history

import (
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/cespare/xxhash/v2"
)

// CheckTimeout bounds a check.
const CheckTimeout = 20 * time.Second

// Recorder collects operations in the order in which they begin and end. It is
// safe for concurrent use.
type Recorder struct {
	mu   sync.Mutex
	time int64
	ops  []porcupine.Operation
}

// Begin records the start of an operation and returns what ends it. An
// operation that is never ended is not part of the history.
func (r *Recorder) Begin(client int, input any) func(output any) {
	call := r.tick()
	return func(output any) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.time++
		r.ops = append(r.ops, porcupine.Operation{ClientId: client, Input: input, Call: call, Output: output, Return: r.time})
	}
}

// Point records an operation that takes no time.
func (r *Recorder) Point(client int, input, output any) {
	r.Begin(client, input)(output)
}

// Operations returns what was recorded so far.
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

// Check reports whether a history fits a model. A check that does not end in
// time is not a pass.
func Check(model porcupine.Model, ops []porcupine.Operation) bool {
	return porcupine.CheckOperationsTimeout(model, ops, CheckTimeout) == porcupine.Ok
}

// Fingerprint returns a number that is equal for equal histories.
func Fingerprint(describe func(porcupine.Operation) string, ops []porcupine.Operation) uint64 {
	hash := xxhash.New()
	for _, op := range ops {
		_, _ = hash.WriteString(describe(op)) // it never fails
		_, _ = hash.WriteString("\n")
	}
	return hash.Sum64()
}

// partition splits a history by the key of its operations, in the order in
// which keys come up.
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

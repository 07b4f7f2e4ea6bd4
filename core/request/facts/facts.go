// Package facts defines the attributes of a request that admission and target
// selection use.
package facts

import (
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/target"
)

// Request describes a generation that is to be admitted and sent to a target.
type Request struct {
	ID       string
	Customer names.Customer
	Model    names.Model
	Adapter  names.Adapter
	// PromptTokens is the length of the prompt, and MaxTokens the largest
	// allowed length of the answer, in tokens.
	PromptTokens int
	MaxTokens    int
	// Class is the length class of the prompt; admission sets it.
	Class target.Class
	// Priority is the caller's priority; a higher one is more urgent.
	Priority int
	// Deadline is the time by which the answer must be complete.
	Deadline time.Time
	// Prefixes are digests of prefixes of the prompt, the longest last. They
	// differ between customers, models and adapters. See prefix.Digests.
	Prefixes []uint64
	// DeliveredTokens is the number of answer tokens that earlier attempts
	// already delivered.
	DeliveredTokens int
	// Isolate is true if the request is suspected of crashing targets. Such a
	// request may run on isolation targets only.
	Isolate bool
	// DataCentre is the data centre of the daemon that selects the target.
	DataCentre names.DataCentre
}

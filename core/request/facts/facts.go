// Package facts holds what is known of a request when decisions about it are
// made.
package facts

import (
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/target"
)

// Request is a generation to be admitted and placed.
type Request struct {
	ID       string
	Customer names.Customer
	Model    names.Model
	Adapter  names.Adapter
	// PromptTokens and MaxTokens are lengths in tokens.
	PromptTokens int
	MaxTokens    int
	Class        target.Class
	Priority     int
	// Deadline is when the answer must be complete.
	Deadline time.Time
	// Prefixes are digests of the prompt's first blocks, longest last,
	// already scoped to the customer.
	Prefixes []uint64
	// Offset is the number of tokens already delivered by earlier attempts.
	Offset int
	// Isolate is set for a request suspected of crashing targets.
	Isolate bool
	// DataCentre is where the request entered.
	DataCentre names.DataCentre
}

// Package routing holds a published routing configuration: which requests go
// to which services, who may call, and within which limits.
//
// A Config is what was published; a Table is the same, checked and indexed for
// lookups. Both are immutable once built. A request keeps the Table under which
// it was admitted.
package routing

import (
	"time"

	"carobspoke.example/core/names"
)

// Kind says how often a request may run.
type Kind uint8

// Kinds of routes.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run again after any failure.
	Idempotent
	// Streaming answers are series of numbered events. They run at most once,
	// unless the route is resumable.
	Streaming
)

// String returns the kind's name in logs.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Streaming:
		return "streaming"
	default:
		return "non_idempotent"
	}
}

// Share is a service's part of a route's requests.
type Share struct {
	Service names.Service
	Weight  int
}

// Route sends the requests of a host name and path prefix to services.
type Route struct {
	Name     string
	Hostname string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Services take the requests in proportion to their weights.
	Services []Share
	// Timeout bounds the time from a request's arrival to its whole answer.
	Timeout time.Duration
	// LatencyTarget is the time to the answer, or to the first event of a
	// stream, that callers hope for.
	LatencyTarget time.Duration
	// GapTarget is the longest pause between events that callers accept.
	GapTarget time.Duration
	// Priority ranks the route's requests; 0 is the most urgent.
	Priority int
	// MaxAttempts bounds the targets that may run one request.
	MaxAttempts int
	// Anonymous requests need no key.
	Anonymous bool
	// Resumable streams continue at another target after the last whole
	// event.
	Resumable bool
}

// Repeatable reports whether a request may run a second time.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Engine describes how the model engines of a service work. Times are of one
// engine at its usual speed.
type Engine struct {
	// Slots is how many requests run at once.
	Slots int
	// MemoryTokens is the size of the KV cache.
	MemoryTokens int
	// Stride is how many decode steps one pass has.
	Stride int
	// Step is the time of a decode step without requests, PerSequence what
	// each request adds, and PerThousandContext what each thousand tokens of
	// context add.
	Step               time.Duration
	PerSequence        time.Duration
	PerThousandContext time.Duration
	// PrefillRate is in tokens a second.
	PrefillRate float64
	// PerMillionPairs is the prefill time of a million pairs of a token and
	// an earlier one.
	PerMillionPairs time.Duration
	// Chunk is the most prompt tokens read in one step.
	Chunk int
	// UsualPrompt and UsualAnswer are mean lengths in tokens.
	UsualPrompt int
	UsualAnswer int
	// Parallel says that engines read one prompt together.
	Parallel bool
}

// Service is a group of targets.
type Service struct {
	Name names.Service
	// MaxConnections bounds the connections of all callers to one target.
	MaxConnections int
	// Engine is nil for a plain service.
	Engine *Engine
}

// Customer is who may call with which keys.
type Customer struct {
	Name names.Customer
	Keys []string
	// Priority replaces the route's, if there is one.
	Priority *int
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one published version.
type Config struct {
	Version   names.Version
	Routes    []Route
	Services  []Service
	Customers []Customer
	Limits    Limits
}

// Package routing holds a published routing configuration: which requests go to
// which services, which customers may call, and the limits for callers.
//
// A Config is the published configuration; a Table is a checked Config that is
// indexed for lookups. Both are immutable once built. A request keeps the Table
// under which it was admitted.
package routing

import (
	"time"

	"carobspoke.example/core/names"
)

// Kind determines whether a request may run more than once.
type Kind uint8

// Kinds of routes.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run again after any failure.
	Idempotent
	// Streaming requests are answered by a series of numbered events. They run
	// at most once, unless the route is resumable.
	Streaming
)

// String returns the name of the kind for logs.
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

// WeightedService is a service of a route and its weight.
type WeightedService struct {
	Service names.Service
	// Weight is the service's share of the requests, relative to the sum of the
	// route's weights. A negative weight counts as zero.
	Weight int
}

// Route sends the requests for a host name and path prefix to services.
type Route struct {
	Name     string
	Hostname string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Services receive requests in proportion to their weights.
	Services []WeightedService
	// Timeout bounds the time from a request's arrival to the end of its
	// answer.
	Timeout time.Duration
	// LatencyTarget is the desired time to the answer, or to the first event
	// of a stream.
	LatencyTarget time.Duration
	// GapTarget is the longest acceptable time between events.
	GapTarget time.Duration
	// Priority is the priority of the route's requests; 0 is the most urgent.
	Priority int
	// MaxAttempts bounds the number of targets that may run one request.
	MaxAttempts int
	// Anonymous reports whether requests need no API key.
	Anonymous bool
	// Resumable reports whether a stream can continue at another target after
	// its last complete event.
	Resumable bool
	// Regions are the regions that the route's requests may reach; empty if there is
	// no restriction.
	Regions []names.Region
}

// Repeatable reports whether a request may run a second time.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Engine describes the capacity and speed of the model engines of a service.
// Times apply to one engine at its usual speed.
type Engine struct {
	// Slots is the number of requests that run concurrently.
	Slots int
	// MemoryTokens is the size of the KV cache in tokens.
	MemoryTokens int
	// StepsPerPass is the number of decode steps in one pass.
	StepsPerPass int
	// StepTime is the duration of a decode step without requests.
	StepTime time.Duration
	// StepTimePerSequence is the time that each request adds to a decode step.
	StepTimePerSequence time.Duration
	// StepTimePerThousandTokens is the time that each thousand tokens of a
	// request's context add to a decode step.
	StepTimePerThousandTokens time.Duration
	// PrefillRate is in tokens per second, without the time for attention,
	// which PrefillTimePerMillionPairs adds.
	PrefillRate float64
	// PrefillTimePerMillionPairs is the prefill time for attention over a
	// million pairs of a token and an earlier one.
	PrefillTimePerMillionPairs time.Duration
	// ChunkTokens is the maximum number of prompt tokens prefilled in one step.
	ChunkTokens int
	// MeanPromptTokens and MeanAnswerTokens are mean lengths of prompts and
	// answers in tokens.
	MeanPromptTokens int
	MeanAnswerTokens int
	// ParallelPrefill reports whether several engines can prefill one prompt
	// together.
	ParallelPrefill bool
}

// Service is a group of targets.
type Service struct {
	Name names.Service
	// MaxConnections bounds the connections of all callers to one target.
	MaxConnections int
	// Engine describes the engines of the service; nil for a plain service.
	Engine *Engine
	// ColdTime is how long a target of the service is cold after its start, and
	// ColdRate the requests per second that a cold one bears. There is no bound on
	// them if ColdRate is zero.
	ColdTime time.Duration
	ColdRate float64
}

// Customer is a tenant that may call with its API keys.
type Customer struct {
	Name names.Customer
	Keys []string
	// Priority replaces the route's priority unless it is nil.
	Priority *int
	// Regions are the regions that the customer's requests may reach; empty if there
	// is no restriction. Those of the route bind as well.
	Regions []names.Region
}

// Limits bound the requests and connections of callers.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one published version of the routing configuration.
type Config struct {
	Version   names.Version
	Routes    []Route
	Services  []Service
	Customers []Customer
	Limits    Limits
}

// Package target holds the typed messages between a daemon and a target. They
// are the same for every transport; the shells encode them.
package target

import (
	"time"

	"carobspoke.example/core/names"
)

// StreamID names one generation at one engine. It is unique across the fleet
// and contains the owner and the deadline, so that any daemon can tell whether
// the stream is still wanted.
type StreamID string

// Class is a length class of prompts.
type Class uint8

// Length classes, by prompt tokens. Where the bounds lie is a decision of the
// admission policy.
const (
	Short Class = iota
	Medium
	Long
	// Spanning prompts need the memory of more than one engine.
	Spanning
)

// String returns the class's name in metrics and answers.
func (c Class) String() string {
	switch c {
	case Short:
		return "short"
	case Medium:
		return "medium"
	case Long:
		return "long"
	default:
		return "spanning"
	}
}

// Submit asks an engine to generate.
type Submit struct {
	Stream  StreamID `json:"stream"`
	Attempt uint32   `json:"attempt"`
	// Scope separates prefix caches and handles of different customers.
	Scope   string        `json:"scope"`
	Model   names.Model   `json:"model"`
	Adapter names.Adapter `json:"adapter,omitempty"`
	// PromptTokens is the length of the prompt in tokens.
	PromptTokens int `json:"prompt_tokens"`
	// Prompt is the prompt's text.
	Prompt string `json:"prompt"`
	// Prefixes are digests of the prompt's first blocks, longest last.
	Prefixes []uint64 `json:"prefixes,omitempty"`
	// MaxTokens bounds the answer.
	MaxTokens int `json:"max_tokens"`
	// Priority is higher for more urgent work.
	Priority int `json:"priority"`
	// Deadline is when the engine may drop the stream, running or not.
	Deadline time.Time `json:"deadline"`
	// From is the offset of the first token wanted. Tokens before it were
	// already delivered by an earlier attempt.
	From int `json:"from,omitempty"`
	// Parts are the earlier parts of the prompt, held by other engines, in
	// prompt order. The engine reads them there while it decodes.
	Parts []Part `json:"parts,omitempty"`
	// Handle is a KV handle of this engine with the first tokens of the
	// prompt, from an import.
	Handle HandleID `json:"handle,omitempty"`
	// Reservation is memory that Reserve has set aside at this engine; the
	// stream takes it over and the reservation is gone.
	Reservation HandleID `json:"reservation,omitempty"`
	// Hold makes this a prefill without tokens: the KV blocks stay pinned
	// under this handle, and the stream is a single end frame.
	Hold HandleID `json:"hold,omitempty"`
}

// Frame is one message of a stream: a token, or the end.
type Frame struct {
	Attempt uint32 `json:"a"`
	// Offset is the number of the token, from zero. In an end frame it is
	// the number of tokens of the whole answer.
	Offset int    `json:"o"`
	Text   string `json:"t,omitempty"`
	End    bool   `json:"end,omitempty"`
	// Failure is why the engine ended the stream early; empty otherwise.
	Failure string `json:"fail,omitempty"`
}

// Report is an engine's own view of its load. It lags.
type Report struct {
	Target names.Target `json:"target"`
	// Boot changes when the engine restarts.
	Boot uint64 `json:"boot"`
	// Seq grows by one for each report of a boot.
	Seq uint64 `json:"seq"`
	// Taken is when the engine measured, by the engine's clock.
	Taken time.Time `json:"taken"`
	// QueuedTokens is prefill work not yet done, in tokens.
	QueuedTokens int `json:"queued_tokens"`
	// RunningStreams is the size of the decode batch.
	RunningStreams int `json:"running_streams"`
	// FreeBlocks and TotalBlocks count KV blocks.
	FreeBlocks  int `json:"free_blocks"`
	TotalBlocks int `json:"total_blocks"`
	BlockTokens int `json:"block_tokens"`
	// PrefillRate is in tokens a second.
	PrefillRate float64 `json:"prefill_rate"`
	// StepTime is the time of one decode step.
	StepTime time.Duration `json:"step_time"`
	// Fence is the highest fencing number that the engine has accepted, or
	// zero if it keeps none.
	Fence uint64 `json:"fence"`
	// State is what the engine serves now.
	State State `json:"state"`
}

// Role says which part of a generation an engine does.
type Role string

// Roles of an engine.
const (
	Mixed   Role = "mixed"
	Prefill Role = "prefill"
	Decode  Role = "decode"
)

// State is what an engine serves, or is ordered to serve.
type State struct {
	Model    names.Model     `json:"model" toml:"model"`
	Version  string          `json:"version" toml:"version"`
	Adapters []names.Adapter `json:"adapters,omitempty" toml:"adapters"`
	Role     Role            `json:"role" toml:"role"`
	// Loading is true while weights are being read; such an engine takes no
	// work.
	Loading bool `json:"loading,omitempty" toml:"-"`
}

// Order tells an engine what to serve.
type Order struct {
	// Fence is the fencing number. Engines that check refuse a lower one
	// than they have seen.
	Fence uint64 `json:"fence"`
	Want  State  `json:"want"`
}

// Part names KV blocks held by another engine.
type Part struct {
	// Address is the engine's "IP:port".
	Address string   `json:"address"`
	Handle  HandleID `json:"handle"`
	Tokens  int      `json:"tokens"`
}

// HandleID names pinned KV blocks. Like a StreamID it contains owner and
// deadline.
type HandleID string

// Handle is a set of pinned KV blocks at an engine.
type Handle struct {
	ID     HandleID `json:"id"`
	Scope  string   `json:"scope"`
	Blocks int      `json:"blocks"`
	Tokens int      `json:"tokens"`
}

// Reservation asks an engine to set memory aside under a handle.
type Reservation struct {
	Handle HandleID `json:"handle"`
	Scope  string   `json:"scope"`
	// Tokens is how many tokens there must be room for.
	Tokens int `json:"tokens"`
}

// StreamInfo describes a stream that an engine holds.
type StreamInfo struct {
	ID     StreamID `json:"id"`
	Blocks int      `json:"blocks"`
	Done   bool     `json:"done"`
}

// Holdings is all that an engine keeps for its callers.
type Holdings struct {
	Handles []Handle     `json:"handles"`
	Streams []StreamInfo `json:"streams"`
}

// CacheEvent tells that a prefix entered or left an engine's cache. Sequence
// numbers may have gaps, and events come late.
type CacheEvent struct {
	Seq    uint64 `json:"seq"`
	Prefix uint64 `json:"prefix"`
	Scope  string `json:"scope"`
	// Added is false when the prefix was evicted.
	Added bool `json:"added"`
}

// Call is a call to a plain service.
type Call struct {
	ID       string         `json:"id"`
	Attempt  uint32         `json:"attempt"`
	Customer names.Customer `json:"customer"`
	Key      string         `json:"key,omitempty"`
	Body     []byte         `json:"body"`
	Deadline time.Time      `json:"deadline"`
}

// Reply is a plain service's answer to a call.
type Reply struct {
	ID      string `json:"id"`
	Attempt uint32 `json:"attempt"`
	Status  int    `json:"status"`
	Body    []byte `json:"body"`
}

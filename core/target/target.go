// Package target defines the messages between a daemon and a target. They are
// the same for every transport; the transports encode them.
package target

import (
	"time"

	"carobspoke.example/core/names"
)

// StreamID identifies one generation at one engine. It is unique in the fleet and
// contains the owner and the deadline, so that any daemon can decide whether the
// stream is still needed.
type StreamID string

// Class is a length class of prompts.
type Class uint8

// Length classes, by prompt tokens. The admission policy sets their bounds.
const (
	Short Class = iota
	Medium
	Long
	// Spanning is the class of prompts that exceed the memory of one engine.
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

// Submit is a request to an engine to start a generation.
type Submit struct {
	Stream  StreamID `json:"stream"`
	Attempt uint32   `json:"attempt"`
	// Scope separates the prefix caches and handles of different customers.
	Scope   string        `json:"scope"`
	Model   names.Model   `json:"model"`
	Adapter names.Adapter `json:"adapter,omitempty"`
	// PromptTokens is the length of the prompt in tokens.
	PromptTokens int `json:"prompt_tokens"`
	// Prompt is the prompt's text.
	Prompt string `json:"prompt"`
	// Prefixes are digests of the prompt's leading blocks, with the longest
	// prefix last.
	Prefixes []uint64 `json:"prefixes,omitempty"`
	// MaxTokens is the maximum length of the answer, in tokens.
	MaxTokens int `json:"max_tokens"`
	// Priority is higher for more urgent work.
	Priority int `json:"priority"`
	// Deadline is the time from which the engine may drop the stream, whether
	// or not it is running.
	Deadline time.Time `json:"deadline"`
	// StartOffset is the offset of the first token to send. Earlier tokens were
	// already delivered by an earlier attempt.
	StartOffset int `json:"from,omitempty"`
	// Parts are the earlier parts of the prompt, in prompt order, whose KV
	// blocks other engines hold. The engine reads them there during decoding.
	Parts []Part `json:"parts,omitempty"`
	// Handle is a handle of KV blocks at this engine that hold the first tokens
	// of the prompt, from an import.
	Handle HandleID `json:"handle,omitempty"`
	// Reservation is the handle of memory reserved earlier at this engine. The
	// stream takes the memory over, which ends the reservation.
	Reservation HandleID `json:"reservation,omitempty"`
	// PinHandle, if set, requests a prefill without decoding: the KV blocks stay
	// pinned under this handle, and the stream consists of one end frame.
	PinHandle HandleID `json:"hold,omitempty"`
}

// Frame is one message of a stream: a token, or the end.
type Frame struct {
	Attempt uint32 `json:"a"`
	// Offset is the token's index in the answer, from zero. In an end frame it
	// is the number of tokens of the whole answer.
	Offset int    `json:"o"`
	Text   string `json:"t,omitempty"`
	End    bool   `json:"end,omitempty"`
	// Failure is the reason why the engine ended the stream early; empty
	// otherwise.
	Failure string `json:"fail,omitempty"`
}

// Report is an engine's report of its load. It may be stale when it arrives.
type Report struct {
	Target names.Target `json:"target"`
	// BootID identifies a run of the engine. It changes with each restart.
	BootID uint64 `json:"boot"`
	// Seq is the report's sequence number within a run of the engine. It
	// increases by one with each report.
	Seq uint64 `json:"seq"`
	// MeasuredAt is the time of the measurement, on the engine's clock.
	MeasuredAt time.Time `json:"taken"`
	// QueuedTokens is the pending prefill work, in tokens.
	QueuedTokens int `json:"queued_tokens"`
	// RunningStreams is the size of the decode batch.
	RunningStreams int `json:"running_streams"`
	// FreeBlocks and TotalBlocks are numbers of KV blocks, and BlockTokens is
	// the size of a block, in tokens.
	FreeBlocks  int `json:"free_blocks"`
	TotalBlocks int `json:"total_blocks"`
	BlockTokens int `json:"block_tokens"`
	// PrefillRate is in tokens per second.
	PrefillRate float64 `json:"prefill_rate"`
	// StepTime is the duration of one decode step.
	StepTime time.Duration `json:"step_time"`
	// Fence is the highest fencing token that the engine has accepted, or zero
	// if it does not check fencing tokens.
	Fence uint64 `json:"fence"`
	// State is what the engine currently serves.
	State State `json:"state"`
}

// Role is the part of a generation that an engine does.
type Role string

// Roles of an engine.
const (
	Mixed   Role = "mixed"
	Prefill Role = "prefill"
	Decode  Role = "decode"
)

// State is what an engine serves or has to serve.
type State struct {
	Model    names.Model     `json:"model" toml:"model"`
	Version  string          `json:"version" toml:"version"`
	Adapters []names.Adapter `json:"adapters,omitempty" toml:"adapters"`
	Role     Role            `json:"role" toml:"role"`
	// Loading is true while the engine loads weights. It then accepts no
	// requests.
	Loading bool `json:"loading,omitempty" toml:"-"`
}

// Order instructs an engine what to serve.
type Order struct {
	// Fence is the fencing token. An engine that checks it rejects an order
	// whose token is lower than the highest it has accepted.
	Fence uint64 `json:"fence"`
	Want  State  `json:"want"`
}

// Part refers to KV blocks held by another engine.
type Part struct {
	// Address is the engine's "IP:port".
	Address string   `json:"address"`
	Handle  HandleID `json:"handle"`
	Tokens  int      `json:"tokens"`
}

// HandleID identifies pinned KV blocks. Like a StreamID, it contains the owner
// and the deadline.
type HandleID string

// Handle is a set of pinned KV blocks at an engine.
type Handle struct {
	ID     HandleID `json:"id"`
	Scope  string   `json:"scope"`
	Blocks int      `json:"blocks"`
	Tokens int      `json:"tokens"`
}

// Reservation is a request to an engine to reserve memory under a handle.
type Reservation struct {
	Handle HandleID `json:"handle"`
	Scope  string   `json:"scope"`
	// Tokens is the amount of memory to reserve, in tokens.
	Tokens int `json:"tokens"`
}

// StreamInfo describes a stream that an engine holds.
type StreamInfo struct {
	ID     StreamID `json:"id"`
	Blocks int      `json:"blocks"`
	Done   bool     `json:"done"`
}

// Holdings lists the handles and streams that an engine holds for its callers.
type Holdings struct {
	Handles []Handle     `json:"handles"`
	Streams []StreamInfo `json:"streams"`
}

// CacheEvent reports that a prefix was added to an engine's prefix cache or
// evicted from it. Events arrive with a delay, and their sequence numbers may
// have gaps.
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

// Reply is the answer of a plain service to a call.
type Reply struct {
	ID      string `json:"id"`
	Attempt uint32 `json:"attempt"`
	Status  int    `json:"status"`
	Body    []byte `json:"body"`
}

// Package targetapi defines the interface to targets and an HTTP client that
// implements it. Other kinds of targets can be attached by implementing Engine
// or Service, or by serving the HTTP API that Client calls.
package targetapi

import (
	"context"

	"carobspoke.example/core/target"
)

// Engine is a model engine. Every error is a *verdict.Error; its verdict is
// NotRun only if the engine provably did nothing for the request.
type Engine interface {
	// Submit starts a stream.
	Submit(ctx context.Context, s target.Submit) (Stream, error)
	// Resume reads a stream that the engine still holds, starting with the
	// token at offset from.
	Resume(ctx context.Context, id target.StreamID, attempt uint32, from int) (Stream, error)
	// Cancel ends a stream and frees its KV blocks. Cancelling an unknown
	// stream succeeds.
	Cancel(ctx context.Context, id target.StreamID) error
	// Order instructs the engine what to serve.
	Order(ctx context.Context, o target.Order) error
	// Report returns the engine's load report, which may be stale.
	Report(ctx context.Context) (target.Report, error)
	// Events returns the cache events after a sequence number. The sequence
	// numbers may have gaps.
	Events(ctx context.Context, after uint64) ([]target.CacheEvent, error)
	// Holdings lists the pinned handles and the streams that the engine
	// holds.
	Holdings(ctx context.Context) (target.Holdings, error)
	// Reserve reserves memory under a handle without waiting: an engine
	// that lacks the memory refuses with the verdict NotRun.
	Reserve(ctx context.Context, r target.Reservation) error
	// Free releases a handle. Freeing an unknown handle succeeds.
	Free(ctx context.Context, id target.HandleID) error
	// Export pins the KV blocks of a stream under a handle.
	Export(ctx context.Context, id target.StreamID, as target.HandleID) (target.Handle, error)
	// Import copies the KV blocks of a handle from another engine and pins
	// them under as.
	Import(ctx context.Context, from target.Part, as target.HandleID) (target.Handle, error)
}

// Stream is an answer that is being received. Next returns the frames in the
// order of their arrival, without validation; it must not be called again after
// an end frame or an error. Close closes the connection but does not cancel the
// stream at the engine.
type Stream interface {
	Next() (target.Frame, error)
	Close() error
}

// LoadReporter is a Stream whose engine may send its load report with the
// answer.
type LoadReporter interface {
	// LoadReport returns the report, without the target's name, and whether
	// the engine sent a valid one.
	LoadReport() (target.Report, bool)
}

// Service is a plain service.
type Service interface {
	// Call makes a single attempt: the implementation never resends the
	// call.
	Call(ctx context.Context, c target.Call) (target.Reply, error)
}

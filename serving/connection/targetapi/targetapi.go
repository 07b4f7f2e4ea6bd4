// Package targetapi is the seam to targets. Another bench attaches here, by
// another implementation of Engine and Service or by the HTTP form that the
// client in this package speaks.
package targetapi

import (
	"context"

	"carobspoke.example/core/target"
)

// Engine is a model engine. Every error is a *verdict.Error: NotRun only if
// the engine provably did nothing for the request.
type Engine interface {
	// Submit starts a stream.
	Submit(ctx context.Context, s target.Submit) (Stream, error)
	// Resume reads a stream that the engine still holds from a token on.
	Resume(ctx context.Context, id target.StreamID, attempt uint32, from int) (Stream, error)
	// Cancel ends a stream and frees its blocks. Cancelling an unknown
	// stream succeeds.
	Cancel(ctx context.Context, id target.StreamID) error
	// Order tells the engine what to serve.
	Order(ctx context.Context, o target.Order) error
	// Report returns the engine's load, which lags.
	Report(ctx context.Context) (target.Report, error)
	// Events returns cache events after a sequence number. Some are missing.
	Events(ctx context.Context, after uint64) ([]target.CacheEvent, error)
	// Holdings lists pinned handles and streams.
	Holdings(ctx context.Context) (target.Holdings, error)
	// Reserve sets memory aside under a handle, at once or not at all: an
	// engine without the memory refuses with NotRun.
	Reserve(ctx context.Context, r target.Reservation) error
	// Free releases a handle. Freeing an unknown handle succeeds.
	Free(ctx context.Context, id target.HandleID) error
	// Export pins the KV blocks of a stream under a handle.
	Export(ctx context.Context, id target.StreamID, as target.HandleID) (target.Handle, error)
	// Import copies a handle from another engine and pins it under as.
	Import(ctx context.Context, from target.Part, as target.HandleID) (target.Handle, error)
}

// Stream is an answer being received. Next returns frames in the order of
// their arrival, unchecked; after an end frame or an error it is not called
// again. Close drops the connection and does not cancel the stream.
type Stream interface {
	Next() (target.Frame, error)
	Close() error
}

// LoadTeller is a Stream whose engine told its load with the answer.
type LoadTeller interface {
	// Load returns the report, without the target's name, and whether there
	// was one.
	Load() (target.Report, bool)
}

// Service is a plain service.
type Service interface {
	// Call runs a call once: the implementation never sends it again.
	Call(ctx context.Context, c target.Call) (target.Reply, error)
}

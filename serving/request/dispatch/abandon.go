package dispatch

import (
	"context"
	"sync"

	"carobspoke.example/core/names"
	"carobspoke.example/core/target"
	"carobspoke.example/serving/connection/targetapi"
)

// Limits of the cancellation of streams that are no longer needed.
const (
	// AbandonQueueSize is the maximum number of streams that wait to be
	// cancelled. The target's keepers free a stream that does not fit, once
	// its deadline has passed.
	AbandonQueueSize = 1024
	// AbandonWorkers is the number of streams that are cancelled in parallel.
	AbandonWorkers = 8
)

// AbandonQueue cancels streams at their engines in the background.
type AbandonQueue struct {
	queue chan abandonedStream
	// OnDropped is called for each stream that does not fit into the queue.
	OnDropped func()
}

type abandonedStream struct {
	engine targetapi.Engine
	stream target.StreamID
}

// NewAbandonQueue returns an empty queue. Run processes it.
func NewAbandonQueue(onDropped func()) *AbandonQueue {
	return &AbandonQueue{queue: make(chan abandonedStream, AbandonQueueSize), OnDropped: onDropped}
}

// Add queues a stream for cancellation. It never blocks.
func (a *AbandonQueue) Add(_ names.Target, engine targetapi.Engine, id target.StreamID) {
	select {
	case a.queue <- abandonedStream{engine: engine, stream: id}:
	default:
		a.OnDropped()
	}
}

// Run cancels streams until the context ends.
func (a *AbandonQueue) Run(ctx context.Context) {
	var workers sync.WaitGroup
	for range AbandonWorkers {
		workers.Go(func() { a.work(ctx) })
	}
	workers.Wait()
}

func (a *AbandonQueue) work(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-a.queue:
			_ = s.engine.Cancel(ctx, s.stream) // if it fails, the keepers free the stream after its deadline
		}
	}
}

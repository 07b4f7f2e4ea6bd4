package dispatch

import (
	"context"
	"sync"

	"carobspoke.example/core/names"
	"carobspoke.example/core/target"
	"carobspoke.example/serving/connection/targetapi"
)

// Bounds of the cancelling of streams that nobody wants.
const (
	// AbandonQueue is how many streams wait to be cancelled. What does not
	// fit is left to the keepers of the target, once it is past its
	// deadline.
	AbandonQueue = 1024
	// AbandonWorkers is how many are cancelled at a time.
	AbandonWorkers = 8
)

// Abandoned cancels streams at their engines in the background.
type Abandoned struct {
	queue chan abandonedStream
	// Dropped counts what did not fit.
	Dropped func()
}

type abandonedStream struct {
	engine targetapi.Engine
	stream target.StreamID
}

// NewAbandoned returns an empty queue. Run empties it.
func NewAbandoned(dropped func()) *Abandoned {
	return &Abandoned{queue: make(chan abandonedStream, AbandonQueue), Dropped: dropped}
}

// Add queues a stream. It never blocks.
func (a *Abandoned) Add(_ names.Target, engine targetapi.Engine, id target.StreamID) {
	select {
	case a.queue <- abandonedStream{engine: engine, stream: id}:
	default:
		a.Dropped()
	}
}

// Run cancels streams until the context ends.
func (a *Abandoned) Run(ctx context.Context) {
	var workers sync.WaitGroup
	for range AbandonWorkers {
		workers.Go(func() { a.work(ctx) })
	}
	workers.Wait()
}

func (a *Abandoned) work(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-a.queue:
			_ = s.engine.Cancel(ctx, s.stream) // the keepers free what is past its deadline
		}
	}
}

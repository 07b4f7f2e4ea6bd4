package answer

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/target"
	"carobspoke.example/core/verdict"
	"carobspoke.example/serving/connection/targetapi"
)

const (
	// MaxIsolationPollInterval is the longest time between two polls of the
	// isolation targets while they are in use.
	MaxIsolationPollInterval = 200 * time.Millisecond
	// IsolationTimeout bounds the time that a suspect prompt waits for an
	// isolation target.
	IsolationTimeout = 30 * time.Second
	// freeTimeout bounds the call that frees a reservation.
	freeTimeout = 2 * time.Second
)

// HandleNamer returns the ID of a new handle that is needed until a deadline.
type HandleNamer func(scope string, deadline time.Time) target.HandleID

// Isolator runs at most one suspect prompt at a time at each isolation target.
// Within a daemon it uses a table of the targets in use. Across daemons it
// reserves all of the engine's memory, which at most one daemon can hold. The
// suspect's stream takes over the reservation. A reservation whose daemon has
// died expires at the deadline in its handle ID.
//
// If nothing can be reserved at an engine, the daemon queries the engine's
// streams before it submits the suspect and again afterwards. Two suspects may
// then run together for a round trip, and the crash of one may be attributed
// to the other. Isolator is safe for concurrent use.
type Isolator struct {
	nameHandle HandleNamer

	mu    sync.Mutex
	inUse map[names.Target]bool
	// freed is closed and replaced whenever a target is no longer in use.
	freed chan struct{}
}

// NewIsolator returns an Isolator with no target in use. If name is nil, no
// memory is reserved.
func NewIsolator(name HandleNamer) *Isolator {
	return &Isolator{nameHandle: name, inUse: make(map[names.Target]bool), freed: make(chan struct{})}
}

// Wrap returns Targets that isolate suspect prompts and delegate all other
// placements to inner. For a suspect, Place waits for a free isolation target,
// at most IsolationTimeout.
func (i *Isolator) Wrap(inner Targets) Targets {
	return &isolatingTargets{isolator: i, inner: inner}
}

type isolatingTargets struct {
	isolator *Isolator
	inner    Targets
}

// Place implements Targets.
func (t *isolatingTargets) Place(ctx context.Context, want PlacementRequest) (Placement, error) {
	if !want.Isolate {
		return t.inner.Place(ctx, want)
	}
	ctx, cancel := context.WithTimeout(ctx, IsolationTimeout)
	defer cancel()
	placement, err := t.claim(ctx, want)
	if err != nil {
		return Placement{}, err
	}
	if err := waitUntilIdle(ctx, placement.Engine); err != nil {
		placement.Release()
		return Placement{}, err
	}
	handle, err := t.isolator.reserve(ctx, placement.Engine, want)
	if err != nil {
		placement.Release()
		return Placement{}, err
	}
	return withReservation(placement, handle), nil
}

// withReservation returns the placement with a Release that also frees the
// reservation, which has no effect on a reservation that the stream has taken
// over.
func withReservation(placement Placement, handle target.HandleID) Placement {
	engine, release := placement.Engine, placement.Release
	placement.Engine = exclusiveEngine{Engine: engine, handle: handle}
	placement.Release = sync.OnceFunc(func() {
		if handle != "" {
			ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
			defer cancel()
			_ = engine.Free(ctx, handle) // if it fails, the engine's keepers free the reservation
		}
		release()
	})
	return placement
}

// reserve reserves all of an engine's memory, and waits while others hold some
// of it. It returns no handle if the engine fails to report or to reserve for
// another reason: the submit that follows returns the engine's error.
func (i *Isolator) reserve(ctx context.Context, engine targetapi.Engine, want PlacementRequest) (target.HandleID, error) {
	if i.nameHandle == nil {
		return "", nil
	}
	report, err := engine.Report(ctx)
	if err != nil {
		return "", nil //nolint:nilerr // see above
	}
	handle := i.nameHandle(want.Scope, want.Deadline)
	reservation := target.Reservation{Handle: handle, Scope: want.Scope, Tokens: report.TotalBlocks * report.BlockTokens}
	for {
		err := engine.Reserve(ctx, reservation)
		if err == nil {
			return handle, nil
		}
		if verdict.From(err).Reason != verdict.TargetRefused {
			return "", nil //nolint:nilerr // see above
		}
		select {
		case <-time.After(pollDelay()):
		case <-ctx.Done():
			return "", busyError(ctx.Err())
		}
	}
}

// exclusiveEngine is an isolation target that submits into the reservation. If
// there is none, it cancels a stream that does not run alone.
type exclusiveEngine struct {
	targetapi.Engine
	handle target.HandleID
}

// Submit implements targetapi.Engine.
func (e exclusiveEngine) Submit(ctx context.Context, s target.Submit) (targetapi.Stream, error) {
	if e.handle != "" {
		s.Reservation = e.handle
		return e.Engine.Submit(ctx, s)
	}
	stream, err := e.Engine.Submit(ctx, s)
	if err != nil || runningStreams(ctx, e.Engine) <= 1 {
		return stream, err
	}
	_ = stream.Close()          // the stream is cancelled next
	_ = e.Cancel(ctx, s.Stream) // if it fails, the engine's keepers free the stream
	return nil, verdict.New(verdict.Ran, verdict.NoTarget, "the isolation target is in use")
}

// claim waits for an isolation target that this daemon does not use, and marks
// it as in use.
func (t *isolatingTargets) claim(ctx context.Context, want PlacementRequest) (Placement, error) {
	for {
		placement, freed, err := t.tryClaim(ctx, want)
		if err == nil || !isBusy(err) {
			return placement, err
		}
		select {
		case <-freed:
		case <-time.After(pollDelay()):
		case <-ctx.Done():
			return Placement{}, busyError(ctx.Err())
		}
	}
}

// tryClaim claims a target without waiting. If it returns an error, the channel
// is closed when this daemon next frees a target.
func (t *isolatingTargets) tryClaim(ctx context.Context, want PlacementRequest) (Placement, <-chan struct{}, error) {
	used, freed := t.isolator.targetsInUse()
	placement, err := t.place(ctx, want, used)
	if err != nil {
		return Placement{}, freed, err
	}
	if !t.isolator.markInUse(placement.Target) {
		placement.Release()
		return Placement{}, freed, busyError(nil)
	}
	release := placement.Release
	placement.Release = sync.OnceFunc(func() {
		release()
		t.isolator.markFree(placement.Target)
	})
	return placement, freed, nil
}

// place prefers an isolation target that has not failed the request, and falls
// back to one that has. The fallback is safe: a prompt that crashes targets is
// refused by its digest, not by avoiding targets.
func (t *isolatingTargets) place(ctx context.Context, want PlacementRequest, used []names.Target) (Placement, error) {
	failed := want.Avoid
	want.Avoid = slices.Concat(failed, used)
	placement, err := t.inner.Place(ctx, want)
	if err == nil || len(failed) == 0 || !isBusy(err) {
		return placement, err
	}
	want.Avoid = used
	return t.inner.Place(ctx, want)
}

// isBusy reports whether a placement may succeed once another suspect has
// ended. The chooser returns the reason crash_suspect when there are isolation
// targets but all are busy.
func isBusy(err error) bool {
	e := verdict.From(err)
	return e.Verdict == verdict.NotRun && (e.Reason == verdict.NoTarget || e.Reason == verdict.CrashSuspect)
}

// pollDelay returns a delay of up to MaxIsolationPollInterval, with jitter.
func pollDelay() time.Duration {
	return MaxIsolationPollInterval/2 + rand.N(MaxIsolationPollInterval/2)
}

func (i *Isolator) targetsInUse() ([]names.Target, <-chan struct{}) {
	i.mu.Lock()
	defer i.mu.Unlock()
	used := make([]names.Target, 0, len(i.inUse))
	for name := range i.inUse {
		used = append(used, name)
	}
	return used, i.freed
}

func (i *Isolator) markInUse(name names.Target) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.inUse[name] {
		return false
	}
	i.inUse[name] = true
	return true
}

func (i *Isolator) markFree(name names.Target) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.inUse, name)
	close(i.freed)
	i.freed = make(chan struct{})
}

// waitUntilIdle waits until an engine runs no streams.
func waitUntilIdle(ctx context.Context, engine targetapi.Engine) error {
	for runningStreams(ctx, engine) > 0 {
		select {
		case <-time.After(pollDelay()):
		case <-ctx.Done():
			return busyError(ctx.Err())
		}
	}
	return nil
}

// runningStreams returns the number of streams that an engine runs. It returns
// 0 if the query fails: the submit that follows returns the engine's error.
func runningStreams(ctx context.Context, engine targetapi.Engine) int {
	holdings, err := engine.Holdings(ctx)
	if err != nil {
		return 0
	}
	count := 0
	for i := range holdings.Streams {
		if !holdings.Streams[i].Done {
			count++
		}
	}
	return count
}

func busyError(cause error) error {
	const message = "every isolation target is in use"
	if cause == nil {
		return verdict.New(verdict.NotRun, verdict.NoTarget, message)
	}
	return verdict.Wrap(cause, verdict.NotRun, verdict.NoTarget, message)
}

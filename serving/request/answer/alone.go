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
	// AlonePoll is the longest time between two looks at isolation targets
	// that are in use.
	AlonePoll = 200 * time.Millisecond
	// AloneWait is how long a suspect waits for one.
	AloneWait = 30 * time.Second
	// freeTimeout bounds the freeing of a reservation.
	freeTimeout = 2 * time.Second
)

// HandleNamer names a handle that is wanted until a deadline.
type HandleNamer func(scope string, deadline time.Time) target.HandleID

// Alone keeps suspects apart at isolation targets: within this daemon by a
// table of those in use, and among daemons by reserving all of the engine's
// memory, which one of them at most can have. The reservation passes to the
// suspect's stream; one that is left behind by a daemon's death ends with the
// deadline in its name.
//
// For an engine that cannot be asked to reserve, the daemon asks what it runs,
// before the suspect is submitted and again after; two suspects may then meet
// for a round trip, and one be blamed for the other. Alone is safe for
// concurrent use.
type Alone struct {
	name HandleNamer

	mu    sync.Mutex
	inUse map[names.Target]bool
	// freed is closed and replaced when a target is no longer in use.
	freed chan struct{}
}

// NewAlone returns a table with nothing in use. Without a name for handles
// nothing is reserved.
func NewAlone(name HandleNamer) *Alone {
	return &Alone{name: name, inUse: make(map[names.Target]bool), freed: make(chan struct{})}
}

// Wrap returns Targets that place suspects alone and leave other placements to
// inner. Place then waits for a free target, for AloneWait at most.
func (a *Alone) Wrap(inner Targets) Targets {
	return &aloneTargets{alone: a, inner: inner}
}

type aloneTargets struct {
	alone *Alone
	inner Targets
}

// Place implements Targets.
func (t *aloneTargets) Place(ctx context.Context, want Want) (Placement, error) {
	if !want.Isolate {
		return t.inner.Place(ctx, want)
	}
	ctx, cancel := context.WithTimeout(ctx, AloneWait)
	defer cancel()
	placement, err := t.claim(ctx, want)
	if err != nil {
		return Placement{}, err
	}
	if err := waitIdle(ctx, placement.Engine); err != nil {
		placement.Release()
		return Placement{}, err
	}
	handle, err := t.alone.reserve(ctx, placement.Engine, want)
	if err != nil {
		placement.Release()
		return Placement{}, err
	}
	return held(placement, handle), nil
}

// held returns a placement whose reservation is freed with it, if the stream
// has not taken it over.
func held(placement Placement, handle target.HandleID) Placement {
	engine, release := placement.Engine, placement.Release
	placement.Engine = aloneEngine{Engine: engine, handle: handle}
	placement.Release = sync.OnceFunc(func() {
		if handle != "" {
			ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
			defer cancel()
			_ = engine.Free(ctx, handle) // else the engine's keepers free it
		}
		release()
	})
	return placement
}

// reserve takes all of an engine's memory, and waits for it while others have
// some. It returns no handle if the engine cannot be asked: the submit tells
// what is wrong with it.
func (a *Alone) reserve(ctx context.Context, engine targetapi.Engine, want Want) (target.HandleID, error) {
	if a.name == nil {
		return "", nil
	}
	report, err := engine.Report(ctx)
	if err != nil {
		return "", nil //nolint:nilerr // see above
	}
	handle := a.name(want.Scope, want.Deadline)
	whole := target.Reservation{Handle: handle, Scope: want.Scope, Tokens: report.TotalBlocks * report.BlockTokens}
	for {
		err := engine.Reserve(ctx, whole)
		if err == nil {
			return handle, nil
		}
		if verdict.From(err).Reason != verdict.TargetRefused {
			return "", nil //nolint:nilerr // see above
		}
		select {
		case <-time.After(pollWait()):
		case <-ctx.Done():
			return "", busy(ctx.Err())
		}
	}
}

// aloneEngine is an isolation target that takes back a submit which has
// company.
type aloneEngine struct {
	targetapi.Engine
	handle target.HandleID
}

// Submit implements targetapi.Engine.
func (e aloneEngine) Submit(ctx context.Context, s target.Submit) (targetapi.Stream, error) {
	if e.handle != "" {
		s.Reservation = e.handle
		return e.Engine.Submit(ctx, s)
	}
	stream, err := e.Engine.Submit(ctx, s)
	if err != nil || running(ctx, e.Engine) <= 1 {
		return stream, err
	}
	_ = stream.Close()          // the stream is cancelled
	_ = e.Cancel(ctx, s.Stream) // else the engine's keepers free it
	return nil, verdict.New(verdict.Ran, verdict.NoTarget, "the isolation target is in use")
}

// claim takes an isolation target that this daemon does not use.
func (t *aloneTargets) claim(ctx context.Context, want Want) (Placement, error) {
	for {
		placement, freed, err := t.try(ctx, want)
		if err == nil || !inUse(err) {
			return placement, err
		}
		select {
		case <-freed:
		case <-time.After(pollWait()):
		case <-ctx.Done():
			return Placement{}, busy(ctx.Err())
		}
	}
}

// try claims a target, or returns the error and what tells that this daemon
// has freed one.
func (t *aloneTargets) try(ctx context.Context, want Want) (Placement, <-chan struct{}, error) {
	used, freed := t.alone.used()
	placement, err := t.place(ctx, want, used)
	if err != nil {
		return Placement{}, freed, err
	}
	if !t.alone.take(placement.Target) {
		placement.Release()
		return Placement{}, freed, busy(nil)
	}
	release := placement.Release
	placement.Release = sync.OnceFunc(func() {
		release()
		t.alone.free(placement.Target)
	})
	return placement, freed, nil
}

// place prefers an isolation target that has not failed the request. Better one
// that was down a moment ago than none: a prompt that crashes it is refused by
// its digest, not by avoiding targets.
func (t *aloneTargets) place(ctx context.Context, want Want, used []names.Target) (Placement, error) {
	failed := want.Avoid
	want.Avoid = slices.Concat(failed, used)
	placement, err := t.inner.Place(ctx, want)
	if err == nil || len(failed) == 0 || !inUse(err) {
		return placement, err
	}
	want.Avoid = used
	return t.inner.Place(ctx, want)
}

// inUse reports whether a placement may succeed when a suspect has ended: the
// chooser says crash_suspect when isolation targets are there but busy.
func inUse(err error) bool {
	e := verdict.From(err)
	return e.Verdict == verdict.NotRun && (e.Reason == verdict.NoTarget || e.Reason == verdict.CrashSuspect)
}

func pollWait() time.Duration { return AlonePoll/2 + rand.N(AlonePoll/2) }

func (a *Alone) used() ([]names.Target, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	used := make([]names.Target, 0, len(a.inUse))
	for name := range a.inUse {
		used = append(used, name)
	}
	return used, a.freed
}

func (a *Alone) take(name names.Target) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.inUse[name] {
		return false
	}
	a.inUse[name] = true
	return true
}

func (a *Alone) free(name names.Target) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.inUse, name)
	close(a.freed)
	a.freed = make(chan struct{})
}

// waitIdle waits until an engine runs no stream.
func waitIdle(ctx context.Context, engine targetapi.Engine) error {
	for running(ctx, engine) > 0 {
		select {
		case <-time.After(pollWait()):
		case <-ctx.Done():
			return busy(ctx.Err())
		}
	}
	return nil
}

// running counts the streams that an engine runs. An engine that cannot be
// asked is taken to be idle: the submit tells what is wrong with it.
func running(ctx context.Context, engine targetapi.Engine) int {
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

func busy(cause error) error {
	const message = "every isolation target is in use"
	if cause == nil {
		return verdict.New(verdict.NotRun, verdict.NoTarget, message)
	}
	return verdict.Wrap(cause, verdict.NotRun, verdict.NoTarget, message)
}

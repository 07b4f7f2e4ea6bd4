package load

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/verdict"
	"carobspoke.example/serving/connection/targetapi"
	"carobspoke.example/tools/load/caller"
	"carobspoke.example/tools/load/measure"
	"carobspoke.example/tools/load/workload"
	"carobspoke.example/tools/standin/service"
	"github.com/pkg/errors"
)

// settlePause is the time between two looks at what engines hold.
const settlePause = 100 * time.Millisecond

// told is what the caller of a call was told.
type told struct {
	digest     uint64
	repeatable bool
	whole      bool
	notRun     bool
}

// callLog collects what callers were told. It is safe for concurrent use.
type callLog struct {
	mu   sync.Mutex
	told []told
}

func (l *callLog) add(r *workload.Request, a caller.Answer) {
	entry := told{
		digest:     service.BodyDigest(r.Body()),
		repeatable: r.Call.Mode == workload.Plain,
		whole:      a.Whole,
		notRun:     !a.Whole && a.Verdict == verdict.NotRun,
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.told = append(l.told, entry)
}

func (l *callLog) list() []told {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]told(nil), l.told...)
}

// check compares what callers were told with what ran, and waits until the
// engines are empty.
func (s *Standins) check(ctx context.Context, calls []told, settle time.Duration, checks *measure.Checks) {
	left := s.settle(ctx, settle)
	checks.LeftBlocks = left.blocks
	checks.LeftHandles = left.handles
	checks.LeftStreams = left.streams
	runs, err := s.runs(ctx)
	if err != nil {
		return
	}
	checks.Ran = true
	compareRuns(calls, runs, checks)
}

func compareRuns(calls []told, runs map[uint64]int, checks *measure.Checks) {
	for _, call := range calls {
		count := runs[call.digest]
		if count > 1 && !call.repeatable {
			checks.RepeatedCalls++
		}
		if count > 0 && call.notRun {
			checks.FalseNotRun++
		}
		if count == 0 && call.whole {
			checks.FalseWhole++
		}
	}
}

// settle returns what the engines hold when they are empty or the time is
// over.
func (s *Standins) settle(ctx context.Context, most time.Duration) holding {
	transport := targetapi.NewTransport()
	defer transport.CloseIdleConnections()
	end := time.Now().Add(most)
	for {
		held := s.held(ctx, transport)
		if held.empty() || time.Now().After(end) {
			return held
		}
		if !waitUntil(ctx, time.Now().Add(settlePause)) {
			return held
		}
	}
}

func (s *Standins) runsOf(ctx context.Context, name names.Target, address string, counts map[uint64]int) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/runs", http.NoBody)
	if err != nil {
		return errors.WithStack(err)
	}
	response, err := s.client.Do(request)
	if err != nil {
		return errors.Wrap(err, string(name))
	}
	defer response.Body.Close() //nolint:errcheck // the body was read or is of no use
	var runs []service.Run
	if err := json.NewDecoder(response.Body).Decode(&runs); err != nil {
		return errors.Wrap(err, string(name))
	}
	for _, run := range runs {
		counts[run.BodyDigest]++
	}
	return nil
}

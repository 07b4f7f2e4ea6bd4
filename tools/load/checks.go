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

// settlePollInterval is the time between two polls of the resources that
// engines hold.
const settlePollInterval = 100 * time.Millisecond

// callRecord is the result of one call as its caller saw it.
type callRecord struct {
	digest     uint64 // of the request's body
	repeatable bool   // the call may run more than once
	complete   bool   // the caller got the whole answer
	notRun     bool   // the caller got the verdict "not run"
}

// callLog collects call records. It is safe for concurrent use.
type callLog struct {
	mu      sync.Mutex
	records []callRecord
}

func (l *callLog) add(r *workload.Request, a caller.Answer) {
	entry := callRecord{
		digest:     service.BodyDigest(r.Body()),
		repeatable: r.Call.Mode == workload.Plain,
		complete:   a.Complete,
		notRun:     !a.Complete && a.Verdict == verdict.NotRun,
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, entry)
}

func (l *callLog) list() []callRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]callRecord(nil), l.records...)
}

// check waits at most timeout for the engines to release all resources, counts
// those still held, and compares the results that callers saw with the runs
// that the replicas recorded.
func (s *Standins) check(ctx context.Context, calls []callRecord, timeout time.Duration, checks *measure.Checks) {
	left := s.waitUntilReleased(ctx, timeout)
	checks.LeakedBlocks = left.blocks
	checks.LeakedHandles = left.handles
	checks.LeakedStreams = left.streams
	runs, err := s.runCounts(ctx)
	if err != nil {
		return
	}
	checks.CallsChecked = true
	compareRuns(calls, runs, checks)
}

// compareRuns counts the calls whose result contradicts runs, the number of runs
// by body digest.
func compareRuns(calls []callRecord, runs map[uint64]int, checks *measure.Checks) {
	for _, call := range calls {
		count := runs[call.digest]
		if count > 1 && !call.repeatable {
			checks.RepeatedCalls++
		}
		if count > 0 && call.notRun {
			checks.FalselyNotRun++
		}
		if count == 0 && call.complete {
			checks.FalselyAnswered++
		}
	}
}

// waitUntilReleased polls the engines until they hold no resources or the
// timeout has passed, and returns the resources still held.
func (s *Standins) waitUntilReleased(ctx context.Context, timeout time.Duration) heldResources {
	transport := targetapi.NewTransport()
	defer transport.CloseIdleConnections()
	end := time.Now().Add(timeout)
	for {
		held := s.listHeld(ctx, transport)
		if held.empty() || time.Now().After(end) {
			return held
		}
		if !waitUntil(ctx, time.Now().Add(settlePollInterval)) {
			return held
		}
	}
}

// addRunCounts adds the runs that the replica at an address recorded to counts,
// by body digest.
func (s *Standins) addRunCounts(ctx context.Context, name names.Target, address string, counts map[uint64]int) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/runs", http.NoBody)
	if err != nil {
		return errors.WithStack(err)
	}
	response, err := s.client.Do(request)
	if err != nil {
		return errors.Wrap(err, string(name))
	}
	defer response.Body.Close() //nolint:errcheck // the body was read or is not needed
	var runs []service.Run
	if err := json.NewDecoder(response.Body).Decode(&runs); err != nil {
		return errors.Wrap(err, string(name))
	}
	for _, run := range runs {
		counts[run.BodyDigest]++
	}
	return nil
}

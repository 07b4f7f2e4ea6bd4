package engine

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/target"
	"carobspoke.example/tools/standin/fault"
)

// Failure reasons in target.Frame.Failure.
const (
	FailureDeadline  = "deadline"
	FailureCancelled = "cancelled"
	// FailurePartGone means that another engine does not, or no longer, hold its
	// part of the prompt.
	FailurePartGone  = "part_gone"
	FailureUnloaded  = "model_unloaded"
	FailureRestarted = "restarted"
)

// idlePollInterval is the interval at which an idle engine checks for expired
// streams. A step that is late by more than this is not caught up, see sleepStep.
const idlePollInterval = 20 * time.Millisecond

// Server is a running engine.
type Server struct {
	*fault.Server
	config Config
	client *http.Client
	stop   chan struct{}
	// stopOnce makes sure that stop is closed only once.
	stopOnce sync.Once
	wakeups  chan struct{} // wakes the idle batch loop; has a buffer of one

	mu     sync.Mutex
	bootID uint64
	// crashCount is the number of kills and crashes.
	crashCount int
	arrivals   uint64
	memory     *memory
	// streams also contains ended streams, until their deadline or until they
	// are cancelled; running contains only those that have not ended.
	// lastExpiry is when expired streams were last removed from streams.
	streams    map[target.StreamID]*stream
	running    map[target.StreamID]*stream
	lastExpiry time.Time
	handles    map[target.HandleID]*handle
	adapters   map[names.Adapter]*adapter
	serving    servingState
	events     eventLog
	reports    reportLog
	submits    []target.Submit
	stepTime   time.Duration // modelled duration of the last step
}

// Start starts an engine that listens at address, "IP:port".
func Start(address string, config Config) (*Server, error) {
	config = config.withDefaults()
	e := &Server{
		config:  config,
		client:  &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
		stop:    make(chan struct{}),
		wakeups: make(chan struct{}, 1),
		bootID:  uint64(time.Now().UnixMicro()),
		events:  eventLog{random: rand.New(rand.NewPCG(config.Seed, 1)), lossRate: config.EventLossRate},
	}
	e.serving.state = config.State
	e.serving.desired = config.State
	e.clearLocked()
	server, err := fault.Start(address, e.routes(), fault.Hooks{Killed: e.onKilled, SetFault: e.setFault})
	if err != nil {
		return nil, err
	}
	e.Server = server
	go e.runBatch()
	go e.recordReports()
	return e, nil
}

// Close stops the engine.
func (e *Server) Close() error {
	e.stopOnce.Do(func() { close(e.stop) })
	return e.Server.Close()
}

// maxRecordedSubmits is the maximum number of submits that AcceptedSubmits returns.
const maxRecordedSubmits = 1 << 14

// AcceptedSubmits returns the last maxRecordedSubmits submits that the engine accepted,
// oldest first.
func (e *Server) AcceptedSubmits() []target.Submit {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]target.Submit(nil), e.submits...)
}

// clearLocked empties the memory and removes all streams, handles and adapters. It
// leaves a gap in the sequence numbers of cache events, by which readers detect
// the loss.
func (e *Server) clearLocked() {
	e.memory = newMemory(e.config.Blocks, e.recordCacheEvent)
	e.streams = map[target.StreamID]*stream{}
	e.running = map[target.StreamID]*stream{}
	e.handles = map[target.HandleID]*handle{}
	e.adapters = map[names.Adapter]*adapter{}
	e.events.skipSequence()
}

// onKilled fails all streams, resets the state that a real engine loses when its
// process is killed, and increments the boot ID and crashCount.
func (e *Server) onKilled() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.streams {
		e.failLocked(s, FailureRestarted)
	}
	e.clearLocked()
	e.bootID++
	e.crashCount++
	e.reports = reportLog{}
	e.resetServingLocked()
}

// CrashCount returns the number of times that the engine was killed or crashed.
func (e *Server) CrashCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashCount
}

// runBatch plans and executes steps until the engine is closed.
func (e *Server) runBatch() {
	var due time.Time
	for {
		e.WaitWhilePaused()
		e.mu.Lock()
		next := e.planStepLocked(time.Now())
		e.mu.Unlock()
		if next.crash {
			e.crash()
			continue
		}
		if next.empty() {
			if !e.awaitWork() {
				return
			}
			continue
		}
		due = e.sleepStep(due, e.config.toRealTime(next.duration))
		e.WaitWhilePaused()
		e.mu.Lock()
		e.stepTime = next.duration
		e.applyStepLocked(next)
		e.mu.Unlock()
		if e.stopped() {
			return
		}
	}
}

// sleepStep sleeps until the planned end of a step and returns that time. due is the
// planned end of the previous step. The step starts then, so that the errors of
// inexact sleeps do not add up and short steps have the right mean duration. If due
// is more than idlePollInterval ago, the step starts now.
func (e *Server) sleepStep(due time.Time, duration time.Duration) time.Time {
	now := time.Now()
	if now.Sub(due) > idlePollInterval {
		due = now
	}
	due = due.Add(duration)
	time.Sleep(time.Until(due))
	return due
}

// awaitWork waits for a wake-up or for idlePollInterval. It returns false if the
// engine is closed.
func (e *Server) awaitWork() bool {
	timer := time.NewTimer(idlePollInterval)
	defer timer.Stop()
	select {
	case <-e.stop:
		return false
	case <-e.wakeups:
	case <-timer.C:
	}
	return true
}

func (e *Server) stopped() bool {
	select {
	case <-e.stop:
		return true
	default:
		return false
	}
}

// wakeBatch wakes the batch loop if it is idle; a busy loop finds the wake-up at its
// next wait.
func (e *Server) wakeBatch() {
	select {
	case e.wakeups <- struct{}{}:
	default:
	}
}

// setFault is the SetFault hook. Only the start of fault.Crash has an effect.
func (e *Server) setFault(kind fault.Kind, on bool) {
	if kind == fault.Crash && on {
		e.crash()
	}
}

// crash kills the server, which closes all connections and resets its state (see
// onKilled), and restarts it after CrashDowntime.
func (e *Server) crash() {
	_ = e.Kill()
	time.AfterFunc(e.config.toRealTime(e.config.CrashDowntime), func() {
		if !e.stopped() {
			_ = e.Restart()
		}
	})
}

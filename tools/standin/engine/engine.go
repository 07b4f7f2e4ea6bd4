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
	FailurePartGone  = "part_gone"
	FailureUnloaded  = "model_unloaded"
	FailureRestarted = "restarted"
)

// idlePollInterval is the interval at which an idle engine checks for expired
// streams.
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
	streams    map[target.StreamID]*stream
	// running contains the streams that have not ended. lastExpiry is the time
	// of the last scan of streams for expired ones.
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
	server, err := fault.Start(address, e.routes(), fault.Hooks{Killed: e.onKilled, SetFault: e.switchFault})
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

// clearLocked empties the memory and removes all streams, handles and adapters.
func (e *Server) clearLocked() {
	e.memory = newMemory(e.config.Blocks, e.recordCacheEvent)
	e.streams = map[target.StreamID]*stream{}
	e.running = map[target.StreamID]*stream{}
	e.handles = map[target.HandleID]*handle{}
	e.adapters = map[names.Adapter]*adapter{}
	e.events.skipSequence()
}

// onKilled resets the state that a real engine loses when its process is killed.
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

// sleepStep sleeps until the end of a step and returns that time. The step starts
// when the previous one was due to end, so that short steps have the right mean
// duration although sleeps are inexact. After a delay of more than
// idlePollInterval the step starts at the current time.
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

// wakeBatch wakes the batch loop if it is idle.
func (e *Server) wakeBatch() {
	select {
	case e.wakeups <- struct{}{}:
	default:
	}
}

func (e *Server) switchFault(kind fault.Kind, on bool) {
	if kind == fault.Crash && on {
		e.crash()
	}
}

// crash closes all connections, empties the memory and restarts the engine after
// CrashDowntime, with a new boot ID.
func (e *Server) crash() {
	_ = e.Kill()
	time.AfterFunc(e.config.toRealTime(e.config.CrashDowntime), func() {
		if !e.stopped() {
			_ = e.Restart()
		}
	})
}

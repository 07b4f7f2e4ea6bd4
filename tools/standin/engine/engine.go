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

// Reasons in Frame.Failure.
const (
	FailureDeadline  = "deadline"
	FailureCancelled = "cancelled"
	FailurePartGone  = "part_gone"
	FailureUnloaded  = "model_unloaded"
	FailureRestarted = "restarted"
)

// idleTick is how often an idle engine looks for expired streams.
const idleTick = 20 * time.Millisecond

// Server is a running engine.
type Server struct {
	*fault.Server
	config Config
	client *http.Client
	stop   chan struct{}
	// stopOnce guards stop.
	stopOnce sync.Once
	work     chan struct{} // has room for one wake-up of the batch

	mu   sync.Mutex
	boot uint64
	// killedTimes counts the boots after the first.
	killedTimes int
	arrivals    uint64
	memory      *memory
	streams     map[target.StreamID]*stream
	// running holds those that are not over; expired is when the others were
	// last searched.
	running  map[target.StreamID]*stream
	expired  time.Time
	handles  map[target.HandleID]*handle
	adapters map[names.Adapter]*adapter
	serves   serving
	events   eventLog
	reports  reportLog
	submits  []target.Submit
	stepTime time.Duration // of the last step, modelled
}

// Start serves an engine at address, "IP:port".
func Start(address string, config Config) (*Server, error) {
	config = config.withDefaults()
	e := &Server{
		config: config,
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
		stop:   make(chan struct{}),
		work:   make(chan struct{}, 1),
		boot:   uint64(time.Now().UnixMicro()),
		events: eventLog{random: rand.New(rand.NewPCG(config.Seed, 1)), gap: config.EventGap},
	}
	e.serves.state = config.State
	e.serves.want = config.State
	e.clearLocked()
	server, err := fault.Start(address, e.routes(), fault.Hooks{Killed: e.killed, SetFault: e.switchFault})
	if err != nil {
		return nil, err
	}
	e.Server = server
	go e.run()
	go e.takeReports()
	return e, nil
}

// Close ends the engine.
func (e *Server) Close() error {
	e.stopOnce.Do(func() { close(e.stop) })
	return e.Server.Close()
}

// maxSubmits bounds what Submits remembers.
const maxSubmits = 1 << 14

// Submits returns the submits that the engine accepted, in order. It forgets
// the oldest.
func (e *Server) Submits() []target.Submit {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]target.Submit(nil), e.submits...)
}

// clearLocked empties the memory and forgets streams and handles.
func (e *Server) clearLocked() {
	e.memory = newMemory(e.config.Blocks, e.cacheEvent)
	e.streams = map[target.StreamID]*stream{}
	e.running = map[target.StreamID]*stream{}
	e.handles = map[target.HandleID]*handle{}
	e.adapters = map[names.Adapter]*adapter{}
	e.events.skip()
}

// killed is what a kill does to the process behind the listener.
func (e *Server) killed() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.streams {
		e.failLocked(s, FailureRestarted)
	}
	e.clearLocked()
	e.boot++
	e.killedTimes++
	e.reports = reportLog{}
	e.restartServingLocked()
}

// Crashes returns how often the engine was killed or crashed.
func (e *Server) Crashes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.killedTimes
}

// run is the batch.
func (e *Server) run() {
	var due time.Time
	for {
		e.WaitWhilePaused()
		e.mu.Lock()
		next := e.planLocked(time.Now())
		e.mu.Unlock()
		if next.crash {
			e.crash()
			continue
		}
		if next.empty() {
			if !e.idle() {
				return
			}
			continue
		}
		due = e.sleepUntil(due, e.config.scaled(next.duration))
		e.WaitWhilePaused()
		e.mu.Lock()
		e.stepTime = next.duration
		e.applyLocked(next)
		e.mu.Unlock()
		if e.stopped() {
			return
		}
	}
}

// sleepUntil ends a step that began when the one before was due, so that
// short steps are right on average although sleeps are not exact.
func (e *Server) sleepUntil(due time.Time, duration time.Duration) time.Time {
	now := time.Now()
	if now.Sub(due) > idleTick {
		due = now
	}
	due = due.Add(duration)
	time.Sleep(time.Until(due))
	return due
}

// idle waits for work and reports whether the engine goes on.
func (e *Server) idle() bool {
	timer := time.NewTimer(idleTick)
	defer timer.Stop()
	select {
	case <-e.stop:
		return false
	case <-e.work:
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

func (e *Server) wakeBatch() {
	select {
	case e.work <- struct{}{}:
	default:
	}
}

func (e *Server) switchFault(kind fault.Kind, on bool) {
	if kind == fault.Crash && on {
		e.crash()
	}
}

// crash cuts all connections, empties the memory and restarts the engine
// after a while, with a new boot number.
func (e *Server) crash() {
	_ = e.Kill()
	time.AfterFunc(e.config.scaled(e.config.CrashDown), func() {
		if !e.stopped() {
			_ = e.Restart()
		}
	})
}

// Package suspects runs core/process/suspects for a daemon: it confirms that a target has
// ended after a connection to it broke, and passes the messages of the exchange on.
package suspects

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/replicas"
	core "carobspoke.example/core/process/suspects"
	"carobspoke.example/core/verdict"
	"carobspoke.example/serving/request/relay"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// flushDelay is how long an accusation waits for the other requests that the same end cut
// off.
const flushDelay = 5 * time.Millisecond

// Config holds the dependencies of a Guard.
type Config struct {
	// Ended reports whether a target has ended; see upstream.EndChecker.
	Ended func(ctx context.Context, i replicas.Incarnation, address string) bool
	// Accuse sends an accusation to the other collectors of a service. It reports whether
	// this daemon is one, too.
	Accuse func(service names.Service, a *core.Accusation) (collector bool)
	// Publish gossips an announcement to all daemons.
	Publish func(m core.Message)
	Log     *zap.Logger
}

// Guard implements relay.Suspects. It is safe for concurrent use. Its lock is a leaf lock:
// no dependency is called while it is held.
type Guard struct {
	config Config
	// ends counts the ends of targets that cut off requests of this daemon.
	ends atomic.Int64

	mu       sync.Mutex
	exchange *core.Exchange
	// services holds the names of the services of accusations that wait to be sent, nil
	// if none does.
	services map[core.ServiceHash]names.Service
	// refused are the refusals that were logged.
	refused map[core.Item]bool
}

// New returns a Guard that knows of no ends.
func New(c Config) *Guard {
	return &Guard{config: c, exchange: core.NewExchange(time.Now()), refused: make(map[core.Item]bool)}
}

// Refusal implements relay.Suspects. The verdict of the error is NotRun.
func (g *Guard) Refusal(r *core.Request) *verdict.Error {
	g.mu.Lock()
	defer g.mu.Unlock()
	refusal, ok := g.exchange.Check(r, time.Now())
	if !ok {
		return nil
	}
	return verdict.Newf(verdict.NotRun, verdict.CrashSuspect, "targets ended under requests that have %s in common", refusal.Item).WithRetryAfter(refusal.Remaining)
}

// Sound implements relay.Suspects.
func (g *Guard) Sound(r *core.Request, sentAt time.Time) {
	g.step(func(now time.Time) []core.Message { return g.exchange.Sound(r, sentAt, now) })
}

// ConnectionLost implements relay.Suspects. If ctx ends before the check, the request is
// accused afterwards.
func (g *Guard) ConnectionLost(ctx context.Context, l *relay.Loss) (ended, mayRetry bool) {
	ended = g.config.Ended(ctx, l.Target, l.Address)
	switch {
	case ended:
		g.accuse(l)
	case ctx.Err() != nil:
		go func() {
			if g.config.Ended(context.Background(), l.Target, l.Address) {
				g.accuse(l)
			}
		}()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return ended, !ended || g.exchange.MayRetry(l.Request, time.Now())
}

// accuse records that a target ended under a request.
func (g *Guard) accuse(l *relay.Loss) {
	if l.SinceFirstEvent > core.AccusedFor {
		return
	}
	service := core.HashService(l.Service)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.exchange.Cut(core.EndOf(l.Target.ID, l.Target.Started), service, l.Request, time.Now())
	if g.services == nil {
		g.services = make(map[core.ServiceHash]names.Service)
		time.AfterFunc(flushDelay, g.flush)
	}
	g.services[service] = l.Service
}

// flush sends the accusations that wait.
func (g *Guard) flush() {
	g.mu.Lock()
	accusations, services := g.exchange.Flush(), g.services
	g.services = nil
	g.mu.Unlock()
	for i := range accusations {
		a := &accusations[i]
		g.ends.Add(1)
		g.config.Log.Info("target ended", zap.Uint64("end", uint64(a.End)), zap.String("service", string(services[a.Service])),
			zap.Int("suspects", len(a.Suspects)), zap.Int("sound_of_late", soundOfLate(a)))
		if g.config.Accuse(services[a.Service], a) {
			g.RecordEnd(a)
		}
	}
}

// soundOfLate returns the number of suspects with which requests were sound of late.
func soundOfLate(a *core.Accusation) int {
	count := 0
	for i := range a.Suspects {
		if a.Suspects[i].SoundAgo > 0 {
			count++
		}
	}
	return count
}

// RecordEnd implements dispatchsync.Sink.
func (g *Guard) RecordEnd(a *core.Accusation) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.exchange.Accused(a, time.Now())
}

// PeerChanged records that a peer has started, returned or left.
func (g *Guard) PeerChanged() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.exchange.PeerChanged(time.Now())
}

// Receive handles an announcement of another daemon. It returns an error if the
// announcement cannot be read.
func (g *Guard) Receive(m *core.Message) error {
	var err error
	g.step(func(now time.Time) []core.Message {
		var list []core.Message
		list, err = g.exchange.Receive(m, now)
		return list
	})
	return err
}

// Run makes the announcements that are due until ctx ends.
func (g *Guard) Run(ctx context.Context) {
	ticker := time.NewTicker(core.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.tick()
		}
	}
}

// tick makes the announcements that are due, and logs the refusals that have begun or
// ended.
func (g *Guard) tick() {
	var begun []begunRefusal
	var ended []core.Item
	g.step(func(now time.Time) []core.Message {
		list := g.exchange.Tick(now)
		begun, ended = g.changedRefusals(now)
		return list
	})
	for i := range begun {
		b := &begun[i]
		g.config.Log.Warn("requests with a suspect part are refused", zap.Stringer("item", b.Item),
			zap.Duration("remaining", b.Remaining), zap.Int("customers", len(b.Customers)), zap.Object("basis", basisField(b.basis)))
	}
	for _, item := range ended {
		g.config.Log.Info("requests with a suspect part are accepted again", zap.Stringer("item", item))
	}
}

// begunRefusal is a refusal that has begun, and what it rests on.
type begunRefusal struct {
	core.Refusal
	basis core.Basis
}

// basisField describes what a refusal rests on, for the log.
type basisField core.Basis

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (b basisField) MarshalLogObject(e zapcore.ObjectEncoder) error {
	e.AddBool("decided", b.Decided)
	e.AddInt("ends", b.Ends)
	e.AddBool("common", b.Common)
	if b.Ends > 0 {
		e.AddFloat64("evidence", b.Evidence)
		e.AddDuration("first_end_ago", b.FirstEndAgo)
		e.AddDuration("last_end_ago", b.LastEndAgo)
	}
	if b.SoundAgo >= 0 {
		e.AddDuration("sound_ago", b.SoundAgo)
	}
	return nil
}

// changedRefusals returns the refusals that have begun and ended since the last call. The
// caller must hold g.mu.
func (g *Guard) changedRefusals(now time.Time) (begun []begunRefusal, ended []core.Item) {
	inForce := g.exchange.Refusals(now)
	if len(inForce) == 0 && len(g.refused) == 0 {
		return nil, nil
	}
	known := make(map[core.Item]bool, len(inForce))
	for _, r := range inForce {
		known[r.Item] = true
		if !g.refused[r.Item] {
			begun = append(begun, begunRefusal{r, g.exchange.Basis(r.Item, now)})
		}
	}
	for item := range g.refused {
		if !known[item] {
			ended = append(ended, item)
		}
	}
	g.refused = known
	return begun, ended
}

// step changes the exchange and publishes the messages that follow.
func (g *Guard) step(change func(now time.Time) []core.Message) {
	g.mu.Lock()
	messages := change(time.Now())
	g.mu.Unlock()
	for _, m := range messages {
		g.config.Publish(m)
	}
}

// Counts returns the numbers of accused and refused items.
func (g *Guard) Counts() core.Counts {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.exchange.Counts(time.Now())
}

// Ends returns how often requests of this daemon were cut off by the end of a target.
func (g *Guard) Ends() int64 { return g.ends.Load() }

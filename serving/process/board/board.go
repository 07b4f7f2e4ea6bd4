// Package board holds what a daemon knows of targets and of the work at them,
// and places requests by it. One lock guards all of it; no I/O happens under
// it.
package board

import (
	"sync"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/crash"
	"carobspoke.example/core/process/health"
	"carobspoke.example/core/process/inflight"
	"carobspoke.example/core/process/replicas"
	"carobspoke.example/core/request/placement"
	"carobspoke.example/core/verdict"
	"carobspoke.example/core/version/routing"
	"carobspoke.example/serving/request/relay"
	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
)

// Teller passes this daemon's dispatches on to the others.
type Teller interface {
	Begun(d *inflight.Dispatch)
	FirstEvent(number uint64)
	Ended(number uint64)
}

// Config is what a Board is made of.
type Config struct {
	Self        names.Host
	Incarnation names.Incarnation
	Placer      *placement.Placer
	// Targets returns the usable targets of a service.
	Targets func(names.Service) []replicas.Target
	Teller  Teller
	// Settled reports whether this daemon knows what the others send.
	Settled func() bool
	// TellCrash passes a request's standing on to the other daemons.
	TellCrash func(crash.Entry)
	Log       *zap.Logger
}

// Board is safe for concurrent use.
type Board struct {
	config Config

	mu      sync.Mutex
	next    uint64
	work    *inflight.Table
	health  *health.Table
	crashes *crash.Table
	broke   map[crash.Digest]int
}

// New returns a board without work.
func New(c Config) *Board {
	return &Board{
		config: c, work: inflight.New(), health: health.New(), crashes: crash.New(), broke: make(map[crash.Digest]int),
	}
}

// Place implements relay.Board.
func (b *Board) Place(r *placement.Request, service *routing.Service) (*relay.Placement, error) {
	targets := b.config.Targets(service.Name)
	now := time.Now()
	b.mu.Lock()
	decision := b.config.Placer.Place(r, service, b.candidates(targets, now))
	if decision.Refusal != nil {
		b.mu.Unlock()
		return nil, decision.Refusal
	}
	b.next++
	dispatch := inflight.Dispatch{
		Key:   inflight.Key{Host: b.config.Self, Incarnation: b.config.Incarnation, Number: b.next},
		Parts: decision.Parts, MaxDuration: r.TimeLeft,
	}
	b.work.Begin(dispatch, now)
	b.health.RequestSent(decision.Target, now)
	b.mu.Unlock()
	b.config.Teller.Begun(&dispatch)
	return b.placed(dispatch.Key, decision, targets), nil
}

func (b *Board) candidates(targets []replicas.Target, now time.Time) []placement.Candidate {
	list := make([]placement.Candidate, 0, len(targets))
	settled := b.config.Settled()
	for i := range targets {
		t := &targets[i]
		list = append(list, placement.Candidate{
			Target: t.ID, Slots: t.Slots,
			Load:        b.work.Load(t.ID, now),
			BreakerOpen: b.health.Excluded(t.ID, now), FailureScore: b.health.Score(t.ID, now),
			Unresponsive: b.health.Silent(t.ID, now),
			Order:        b.order(t.ID, settled),
		})
	}
	return list
}

// order is a target's place among those of its service: a hash of its name,
// equal at all daemons that know each other's work. Others must not all fill
// the same targets first, and use an order of their own.
func (b *Board) order(id names.Target, settled bool) float64 {
	name := string(id)
	if !settled {
		name += string(b.config.Self)
	}
	return float64(xxhash.Sum64String(name)>>11) / (1 << 53)
}

func (b *Board) placed(k inflight.Key, d placement.Decision, targets []replicas.Target) *relay.Placement {
	addresses := make(map[names.Target]string, len(targets))
	for i := range targets {
		addresses[targets[i].ID] = targets[i].Address
	}
	placed := &relay.Placement{Key: k, Decision: d, Address: addresses[d.Target]}
	for _, h := range d.Helpers {
		placed.Helpers = append(placed.Helpers, addresses[h.Target])
	}
	return placed
}

// FirstEvent implements relay.Board.
func (b *Board) FirstEvent(k inflight.Key) {
	if b.learnFirstEvent(k) {
		b.config.Teller.FirstEvent(k.Number)
	}
}

func (b *Board) learnFirstEvent(k inflight.Key) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.work.FirstEvent(k, time.Now())
}

// End implements relay.Board.
func (b *Board) End(k inflight.Key, id names.Target) {
	b.mu.Lock()
	b.work.End(k, time.Now())
	b.health.RequestEnded(id)
	b.mu.Unlock()
	b.config.Teller.Ended(k.Number)
}

// Succeeded implements relay.Board.
func (b *Board) Succeeded(id names.Target) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.health.Succeeded(id, time.Now())
}

// Heard implements relay.Board.
func (b *Board) Heard(id names.Target) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.health.RecordActivity(id, time.Now())
}

// Silent implements relay.Board.
func (b *Board) Silent(id names.Target) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.health.Silent(id, time.Now())
}

// Told implements relay.Board.
func (b *Board) Told(id names.Target, requests int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.work.SetReportedRequests(id, requests, time.Now())
}

// Failed implements relay.Board.
func (b *Board) Failed(id names.Target, reason verdict.Reason) {
	b.mu.Lock()
	spared := b.health.Failed(id, time.Now())
	b.mu.Unlock()
	if spared {
		b.config.Log.Info("target spared", zap.String("target", string(id)), zap.String("reason", string(reason)))
	}
}

// Unreachable implements relay.Board.
func (b *Board) Unreachable(id names.Target) {
	b.mu.Lock()
	spared := b.health.Unreachable(id, time.Now())
	b.mu.Unlock()
	if spared {
		b.config.Log.Info("target spared", zap.String("target", string(id)), zap.String("reason", string(verdict.TargetUnreachable)))
	}
}

// maxBroke bounds the requests whose breaks are counted here.
const maxBroke = 4096

// breaksToRefuse is how many broken runs of one request at this daemon get it
// refused. A request that was suspect on arrival has broken elsewhere before.
const breaksToRefuse = 3

// Check implements relay.Crashes.
func (b *Board) Check(d crash.Digest) crash.Status {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.crashes.Check(d, time.Now())
}

// Broke implements relay.Crashes.
func (b *Board) Broke(d crash.Digest, arrived crash.Status) {
	now := time.Now()
	b.mu.Lock()
	if len(b.broke) >= maxBroke {
		clear(b.broke)
	}
	b.broke[d]++
	certain := b.broke[d] >= breaksToRefuse || arrived == crash.Suspect
	b.crashes.Crashed(d, certain, now)
	entry := b.crashes.Entry(d, now)
	b.mu.Unlock()
	b.config.Log.Info("request suspected", zap.String("digest", d.String()), zap.Bool("refused", certain))
	b.config.TellCrash(entry)
}

// LearnCrash takes in a standing that a peer told.
func (b *Board) LearnCrash(e crash.Entry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.crashes.Merge([]crash.Entry{e}, time.Now())
}

// Peer returns the sink for what other daemons tell.
func (b *Board) Peer() Peer { return Peer{board: b} }

// Peer takes in what other daemons tell; it is not told on.
type Peer struct{ board *Board }

// Begin implements sharing.Sink.
func (p Peer) Begin(d inflight.Dispatch) {
	p.board.mu.Lock()
	defer p.board.mu.Unlock()
	p.board.work.Begin(d, time.Now())
}

// FirstEvent implements sharing.Sink.
func (p Peer) FirstEvent(k inflight.Key) { p.board.learnFirstEvent(k) }

// End implements sharing.Sink.
func (p Peer) End(k inflight.Key) {
	p.board.mu.Lock()
	defer p.board.mu.Unlock()
	p.board.work.End(k, time.Now())
}

// Gone drops the work of a daemon's incarnations before one.
func (b *Board) Gone(h names.Host, before names.Incarnation) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.work.RemoveIncarnations(h, before, time.Now())
}

// Sweep drops work whose end was never told, and what is known of targets that
// are no longer listed.
func (b *Board) Sweep(listed func(names.Target) bool, now time.Time) {
	for _, id := range b.sweep(listed, now) {
		b.config.Log.Info("target let back", zap.String("target", string(id)))
	}
}

func (b *Board) sweep(listed func(names.Target) bool, now time.Time) []names.Target {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.work.Expire(now)
	b.work.Prune(listed)
	b.health.Forget(listed)
	return b.health.Readmitted(now)
}

// Spared returns how many targets take nothing for a while.
func (b *Board) Spared() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.health.ExcludedCount(time.Now())
}

// Size returns how many dispatches of the fleet are known.
func (b *Board) Size() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.work.Size()
}

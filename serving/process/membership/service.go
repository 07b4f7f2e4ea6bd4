package membership

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	gometrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	corebudget "carobspoke.example/core/process/budget"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/membership"
	"carobspoke.example/serving/process/budget"
)

// TickPeriod is the time between two ticks of the machine.
const TickPeriod = 100 * time.Millisecond

// countPeriod is the time between two updates of the metrics.
const countPeriod = time.Second

// Options are what a Service needs. Network, Sealer and Self are required.
type Options struct {
	Config membership.Config
	// Self is this daemon: host, data centre and incarnation.
	Self    membership.Member
	Network Network
	Sealer  *Sealer
	Logger  *zap.Logger
	Metrics gometrics.Registry
	// Meter counts control work; nil counts nothing.
	Meter *budget.Meter
	// Random drives the choice of peers; nil draws a seed.
	Random *rand.Rand
	// Deliver takes digests that other daemons published. It is called
	// without a lock, from the goroutine that receives, and must not wait.
	Deliver func(d membership.Digest, from names.Host)
}

// view is a snapshot of the machine.
type view struct {
	live        []membership.Member
	unreachable []membership.Member
	self        membership.Member
	awake       bool
	// until is when awake stops to hold unless a tick renews it.
	until time.Time
}

// Service runs a daemon's membership.
type Service struct {
	options Options
	counts  *counts

	mu      sync.Mutex
	machine *membership.Machine
	// counted is when the metrics were last brought up to date.
	counted time.Time

	view atomic.Pointer[view]

	subscribers subscribers
}

// New returns a Service that does nothing until Run.
func New(o Options) (*Service, error) {
	if o.Network == nil || o.Sealer == nil || o.Self.Host == "" || o.Self.Incarnation == 0 {
		return nil, errors.New("membership: network, sealer, host and incarnation are required")
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	if o.Metrics == nil {
		o.Metrics = gometrics.NewRegistry()
	}
	if o.Random == nil {
		o.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	s := &Service{options: o, counts: newCounts(o.Metrics)}
	s.machine = membership.New(o.Config, o.Self, o.Random)
	s.view.Store(&view{self: o.Self})
	return s, nil
}

// Run receives and ticks until ctx ends, then closes the network.
func (s *Service) Run(ctx context.Context) error {
	var received sync.WaitGroup
	received.Go(s.receive)
	ticker := time.NewTicker(TickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			err := s.options.Network.Close()
			received.Wait()
			return err
		case <-ticker.C:
			s.step(membership.Tick{})
		}
	}
}

// Live returns the members that take new work, sorted by host. The slice is
// shared and must not be changed.
func (s *Service) Live() []membership.Member { return s.view.Load().live }

// Unreachable returns the members of other regions that can't be reached but
// may be serving.
func (s *Service) Unreachable() []membership.Member { return s.view.Load().unreachable }

// Self returns this daemon's own entry.
func (s *Service) Self() membership.Member { return s.view.Load().self }

// Awake reports whether the daemon may trust its view. It turns false by
// itself when the process was paused, before anything else can run.
func (s *Service) Awake() bool {
	v := s.view.Load()
	return v.awake && time.Now().Before(v.until)
}

// Lookup returns the entry of a host.
func (s *Service) Lookup(h names.Host) (membership.Member, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.Lookup(h)
}

// Counters returns the machine's counters.
func (s *Service) Counters() membership.Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.Counters()
}

// SetSeeds replaces the hosts that the platform lists.
func (s *Service) SetSeeds(hosts []names.Host) { s.step(membership.Seeds{Hosts: hosts}) }

// SetRegions says in which region each data centre lies.
func (s *Service) SetRegions(of map[names.DataCentre]names.Region) {
	s.step(membership.Regions{Of: of})
}

// Publish passes on a digest of this daemon's own.
func (s *Service) Publish(d membership.Digest) { s.step(membership.Publish{Digest: d}) }

// Drain announces that this daemon takes no new work.
func (s *Service) Drain() { s.step(membership.Drain{}) }

// Leave announces that this daemon stops.
func (s *Service) Leave() { s.step(membership.Leave{}) }

// Subscribe returns a channel that gets a value after the view changed, and a
// function that ends the subscription. Changes while the receiver is busy are
// told once.
func (s *Service) Subscribe() (<-chan struct{}, func()) { return s.subscribers.add() }

// receive feeds datagrams to the machine until the network is closed.
func (s *Service) receive() {
	buffer := make([]byte, 64<<10)
	for {
		n, err := s.options.Network.Receive(buffer)
		if err != nil {
			return
		}
		s.take(buffer[:n])
	}
}

func (s *Service) take(sealed []byte) {
	start := time.Now()
	defer s.meterTime(start)
	if len(sealed) > MaxDatagramBytes {
		s.counts.oversized.Inc(1)
		return
	}
	clear, err := s.options.Sealer.open(sealed)
	if err != nil {
		s.counts.unsealed.Inc(1)
		return
	}
	d, err := decode(clear)
	if err != nil {
		s.counts.garbled.Inc(1)
		return
	}
	s.meter(len(sealed))
	s.step(membership.Receive{Datagram: *d})
}

// step gives the machine an event and carries out its actions, the sending and
// the callbacks without the lock.
func (s *Service) step(e membership.Event) {
	s.mu.Lock()
	now := time.Now()
	sends, delivers, changed := split(s.machine.Step(now, e))
	before := s.view.Load()
	awake := s.machine.Awake(now)
	_, regions := e.(membership.Regions)
	changed = changed || regions || before.awake != awake || before.self != s.machine.Self()
	s.snapshot(now, awake, changed)
	if now.Sub(s.counted) >= countPeriod {
		s.counted = now
		s.counts.update(s.machine)
	}
	s.mu.Unlock()
	for i := range sends {
		s.send(&sends[i])
	}
	if s.options.Deliver != nil {
		for i := range delivers {
			s.options.Deliver(delivers[i].Digest, delivers[i].From)
		}
	}
	if changed {
		s.subscribers.notify()
	}
}

// snapshot publishes the machine's view. It is called with the lock held.
func (s *Service) snapshot(now time.Time, awake, changed bool) {
	next := *s.view.Load()
	if changed || next.live == nil {
		next.live = s.machine.Live()
		next.unreachable = s.machine.Unreachable()
		next.self = s.machine.Self()
	}
	next.awake = awake
	next.until = now.Add(s.options.Config.PauseAfter)
	s.view.Store(&next)
}

// split sorts actions by kind. The datagrams are copied, since the machine uses
// the slice again.
func split(actions []membership.Action) (sends []membership.Send, delivers []membership.Deliver, changed bool) {
	for _, a := range actions {
		switch a := a.(type) {
		case membership.Send:
			sends = append(sends, a)
		case membership.Deliver:
			delivers = append(delivers, a)
		case membership.Changed:
			changed = true
		}
	}
	return sends, delivers, changed
}

func (s *Service) send(a *membership.Send) {
	start := time.Now()
	clear, err := encode(&a.Datagram)
	if err != nil {
		s.counts.unsendable.Inc(1)
		s.options.Logger.Warn("datagram not encoded", zap.String("to", string(a.To)), zap.Error(err))
		return
	}
	sealed := s.options.Sealer.seal(clear)
	s.meterTime(start)
	if len(sealed) > MaxDatagramBytes {
		s.counts.unsendable.Inc(1)
		return
	}
	s.meter(len(sealed))
	if err := s.options.Network.Send(a.To, sealed); err != nil {
		s.counts.sendErrors.Inc(1)
	}
}

// headerBytes are the headers of UDP and IP.
const headerBytes = 28

func (s *Service) meter(bytes int) {
	if s.options.Meter != nil {
		s.options.Meter.Add(corebudget.Membership, 1, uint64(bytes+headerBytes))
	}
}

func (s *Service) meterTime(start time.Time) {
	if s.options.Meter != nil {
		s.options.Meter.Time(corebudget.Membership, start)
	}
}

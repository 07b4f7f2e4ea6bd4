package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/version/routing"
	"github.com/pkg/errors"
)

// Times of a run of storms.
const (
	// stormAskTime is how long after its acknowledgement a version is asked for.
	stormAskTime = changeBound + 2*time.Second
	// stormAskInterval is the time between two requests to a daemon.
	stormAskInterval = 16 * time.Millisecond
	// stormServices is the number of replicas that serve the requests.
	stormServices = 6
	// maxAsked bounds the requests to a daemon that are not answered yet.
	maxAsked = 64
	// newConnections is how often a request comes on a connection of its own: one of so many.
	newConnections = 8
	// keyInterval is how often a version takes a key away: one of so many.
	keyInterval = 4
	// minStall and maxStall bound the time for which a daemon is stalled.
	minStall, maxStall = 100 * time.Millisecond, 2 * time.Second
	// answersFile lists the answers, in the folder of the run.
	answersFile = "answers.csv"
	// logTime is how long the daemons may take to write their logs at the end.
	logTime = 500 * time.Millisecond
)

// StormConfig configures a run of storms.
type StormConfig struct {
	// Storms is the number of storms, Versions the number of versions of each and Gap the
	// time between two of them. Routes is the number of routes that do not change.
	Storms   int
	Versions int
	Gap      time.Duration
	Routes   int
	// Share is the part of each Period in which a daemon runs. The periods of the daemons
	// are spread evenly, or all start at the same moment.
	Share   float64
	Period  time.Duration
	Aligned bool
	// Busy is the number of threads that keep the machine busy. Kills and Stalls are the
	// numbers of daemons that are killed and started, or stopped for minStall to maxStall, in
	// each storm.
	Busy, Kills, Stalls int
}

// DefaultStormConfig returns the configuration of a run of the usual size.
func DefaultStormConfig() StormConfig {
	return StormConfig{Storms: 3, Versions: 12, Gap: 80 * time.Millisecond, Routes: 1400, Share: 0.1, Period: 100 * time.Millisecond}
}

// storms is a run of storms.
type storms struct {
	*testbed
	config StormConfig
	// kept and fresh send requests on connections that are kept and on new ones.
	kept, fresh *http.Client
	number      atomic.Int64
	// first is the version before the first storm, last that of the last one.
	first, last int
	// incarnations counts the starts of each daemon.
	incarnations map[*host]*atomic.Int64

	mu sync.Mutex
	// acknowledged are the moments at which the versions were.
	acknowledged map[int]time.Time
	answers      []answer
	excuses      []excuse
}

// RunStorms publishes storms of versions while the daemons are held to a share of a core, and
// asks each daemon whether each version is in force within changeBound of its acknowledgement. A
// version adds a route and drops one, and some take a key away.
func RunStorms(ctx context.Context, c Config, storm StormConfig) (*Report, error) {
	c.DataCentres, c.Engines, c.Services, c.PlannedOnly = changesDataCentres, 1, stormServices, true
	if err := os.MkdirAll(c.Folder, 0o700); err != nil {
		return nil, errors.Wrap(err, "soak")
	}
	b, err := newTestbed(c)
	if b != nil {
		defer b.close()
	}
	if err != nil {
		return nil, err
	}
	s := newStorms(b, storm)
	if err := s.publish(); err != nil {
		return nil, err
	}
	if err := b.waitReady(ctx); err != nil {
		return nil, err
	}
	time.Sleep(2 * settleTime) // the daemons know each other
	t := &throttle{share: storm.Share, period: storm.Period, overlong: func(h *host, from time.Time) {
		s.excuse(h, from)
		b.recordFault("%s stopped for %s, longer than planned", h.settings.Name, time.Since(from))
	}}
	if err := s.play(ctx, t); err != nil {
		return nil, err
	}
	time.Sleep(logTime)
	logs, err := readLogs(b.hosts)
	if err != nil {
		return nil, err
	}
	if err := writeAnswers(filepath.Join(c.Folder, answersFile), s.answers, s.acknowledged); err != nil {
		return nil, err
	}
	result, violations := judge(s.answers, s.acknowledged, s.excuses, logs)
	result.addShares(t)
	if result.Pairs == 0 {
		return nil, errors.New("soak: no daemon served an added route")
	}
	return &Report{
		Seed: c.Seed, Counts: countAnswers(s.answers), Violations: append(b.checker.Violations(), violations...), Faults: b.faults,
		StoreRequests: b.store.Requests(), Storms: result,
	}, nil
}

func newStorms(b *testbed, c StormConfig) *storms {
	s := &storms{
		testbed: b, config: c, first: int(b.version) + 1, last: int(b.version) + 1 + c.Storms*c.Versions, acknowledged: make(map[int]time.Time), incarnations: make(map[*host]*atomic.Int64),
		kept:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxAsked}},
		fresh: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
	for _, h := range b.hosts {
		s.incarnations[h] = new(atomic.Int64)
	}
	return s
}

// play plays the storms while the daemons are throttled.
func (s *storms) play(ctx context.Context, t *throttle) error {
	ctx, cancel := context.WithCancel(ctx)
	defer s.kept.CloseIdleConnections()
	var running sync.WaitGroup
	running.Go(keepBusy(ctx, s.config.Busy))
	running.Go(func() { t.run(ctx, s.phases()) })
	defer running.Wait()
	defer cancel()
	for i := range s.config.Storms {
		if err := s.playStorm(ctx, s.first+i*s.config.Versions); err != nil {
			return err
		}
	}
	return nil
}

// phases returns when the periods of the daemons start, in an order that the seed sets.
func (s *storms) phases() map[*host]time.Duration {
	phases := make(map[*host]time.Duration)
	for i, k := range rand.New(rand.NewPCG(s.testbed.config.Seed, 2)).Perm(len(s.hosts)) {
		phases[s.hosts[i]] = 0
		if !s.config.Aligned {
			phases[s.hosts[i]] = s.config.Period * time.Duration(k) / time.Duration(len(s.hosts))
		}
	}
	return phases
}

// playStorm publishes the versions after the given one, and asks for them.
func (s *storms) playStorm(ctx context.Context, before int) error {
	stalls := s.planStalls()
	asking, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	for i, h := range s.hosts {
		random := rand.New(rand.NewPCG(s.testbed.config.Seed, uint64(before*len(s.hosts)+i+3)))
		running.Go(func() { s.askHost(asking, h, before, random) })
	}
	running.Go(func() { s.killSome(asking, s.planKills()) })
	for _, d := range stalls {
		running.Go(func() { s.stall(asking, d) })
	}
	next := time.Now()
	for range s.config.Versions {
		if err := s.publish(); err != nil {
			return err
		}
		next = next.Add(s.config.Gap)
		sleepUntil(ctx, next)
	}
	sleepUntil(ctx, time.Now().Add(stormAskTime))
	return ctx.Err()
}

// publish publishes the next version. The first one has none of the added routes, and all routes
// and keys that the others drop.
func (s *storms) publish() error {
	b := s.testbed
	b.mu.Lock()
	b.version++
	v := int(b.version)
	b.mu.Unlock()
	keys := []string{key}
	for w := v + 1; w <= s.last; w++ {
		if w%keyInterval == 0 {
			keys = append(keys, takenKey(w))
		}
	}
	config := b.buildConfig(names.Version(v), keys)
	add := func(name string) {
		config.Routes = append(config.Routes, b.route(name, routing.Idempotent, plainService, 2*time.Second))
	}
	for i := range s.config.Routes {
		add(fmt.Sprintf("filler-%d", i))
	}
	for w := s.first + 1; w <= s.last; w++ {
		if w <= v {
			add(addedRoute(w))
		} else {
			add(droppedRoute(w))
		}
	}
	if err := b.store.PutConfig(config); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.acknowledged[v] = time.Now()
	return nil
}

func addedRoute(v int) string   { return fmt.Sprintf("added-%d", v) }
func droppedRoute(v int) string { return fmt.Sprintf("dropped-%d", v) }
func takenKey(v int) string     { return fmt.Sprintf("taken-key-%d", v) }

// outage is a planned stop or kill of a daemon.
type outage struct {
	host  *host
	after time.Duration
	lasts time.Duration
}

// stormTime is the time from the first version of a storm until the last one has to be in force.
func (s *storms) stormTime() time.Duration {
	return time.Duration(s.config.Versions)*s.config.Gap + changeBound
}

// planKills chooses the daemons that are killed in a storm, in the order of the kills.
func (s *storms) planKills() []outage {
	var kills []outage
	for range s.config.Kills {
		kills = append(kills, outage{host: s.randomHost(), after: time.Duration(s.random.Int64N(int64(s.stormTime())))})
	}
	slices.SortFunc(kills, func(a, b outage) int { return int(a.after - b.after) })
	return kills
}

// planStalls chooses the daemons that are stalled in a storm: any, a reader of the store, or a
// relay.
func (s *storms) planStalls() []outage {
	if s.config.Stalls == 0 {
		return nil
	}
	groups := [][]*host{s.hosts, s.readers(), relays(s.hosts)}
	var stalls []outage
	for i := range s.config.Stalls {
		group := groups[i%len(groups)]
		if len(group) == 0 {
			group = s.hosts
		}
		stalls = append(stalls, outage{
			host: group[s.random.IntN(len(group))], after: time.Duration(s.random.Int64N(int64(s.stormTime()))),
			lasts: minStall + time.Duration(s.random.Int64N(int64(maxStall-minStall))),
		})
	}
	return stalls
}

// killSome kills daemons and starts them again.
func (s *storms) killSome(ctx context.Context, kills []outage) {
	began := time.Now()
	for _, k := range kills {
		sleepUntil(ctx, began.Add(k.after))
		if ctx.Err() != nil {
			return
		}
		from := time.Now()
		s.incarnations[k.host].Add(1)
		k.host.kill()
		s.restart(k.host)
		s.excuse(k.host, from)
		s.recordFault("%s killed", k.host.settings.Name)
	}
}

// stall stops a daemon for a time.
func (s *storms) stall(ctx context.Context, o outage) {
	sleepUntil(ctx, time.Now().Add(o.after))
	if ctx.Err() != nil {
		return
	}
	from, end := time.Now(), o.host.hold()
	sleepUntil(ctx, from.Add(o.lasts))
	end()
	if o.lasts > time.Duration((1-s.config.Share)*float64(s.config.Period)) {
		s.excuse(o.host, from)
	}
	s.recordFault("%s stalled for %s", o.host.settings.Name, time.Since(from))
}

// excuse excludes a daemon from a moment until settleTime from now.
func (s *storms) excuse(h *host, from time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.excuses = append(s.excuses, excuse{host: h.settings.Name, from: from, until: time.Now().Add(settleTime)})
}

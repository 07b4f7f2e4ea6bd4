package distribution

import (
	"slices"
	"time"

	"carobspoke.example/core/names"
)

// MeasureConfig holds the parameters of Measure.
type MeasureConfig struct {
	Members     int
	DataCentres int
	// Changes is the number of versions that are published, one each
	// ChangeInterval.
	Changes        int
	ChangeInterval time.Duration
	// Restart makes all daemons start at once with no version in force while
	// the service holds one. Otherwise they have that version in force.
	Restart bool
	Seed    uint64
	// Latency is the one-way latency between any two hosts.
	Latency time.Duration
	// Tick is the time between two ticks of a daemon, and WatchCheckInterval
	// the maximum delay until a watch returns a new root.
	Tick               time.Duration
	WatchCheckInterval time.Duration
	// A daemon that installs a version announces it to Fanout random peers in
	// each of Rounds rounds, one each RoundInterval.
	Fanout        int
	Rounds        int
	RoundInterval time.Duration
	// Sizes in bytes: of the root's value, of all pages, of one change sent
	// between peers, and of a query to a peer or its answer.
	RootBytes     int
	AllPagesBytes int
	ChangeBytes   int
	QueryBytes    int
	// Pages is the number of pages of a version.
	Pages int
}

// DefaultMeasureConfig returns the parameters for a manifest of 3,600 customers
// and 6,200 engines with 22,000 changes a day. Its sizes are those that the tests
// of package pages print.
func DefaultMeasureConfig(members int) MeasureConfig {
	const day = 24 * time.Hour
	return MeasureConfig{
		Members: members, DataCentres: 9, Changes: 200, ChangeInterval: day / 22000, Seed: 1,
		Latency: 5 * time.Millisecond, Tick: 200 * time.Millisecond, WatchCheckInterval: 50 * time.Millisecond,
		Fanout: 3, Rounds: 12, RoundInterval: time.Second,
		RootBytes: 8300, AllPagesBytes: 2100000, ChangeBytes: 1000, QueryBytes: 200, Pages: 81,
	}
}

// Measurement is the result of Measure. Announcements are sent as part of the
// gossip and are not counted here.
type Measurement struct {
	Members  int
	Versions int
	// CallsMean is the mean rate of calls of the whole fleet to the service, in
	// calls a second, and CallsPeak the highest number within one second.
	CallsMean float64
	CallsPeak int
	// BytesMean and BytesMax are the bytes a second sent and received by the
	// mean daemon and by the busiest one, over the whole run.
	BytesMean float64
	BytesMax  float64
	// MessagesMean is the messages a second of the mean daemon.
	MessagesMean float64
	// BehindHalf, BehindP99 and BehindLast are the time from the publication
	// of a version until it or a higher one was in force, at half of the
	// daemons, at 99 of 100, and at the last.
	BehindHalf, BehindP99, BehindLast time.Duration
	// Virtual is the virtual time that the run took.
	Virtual time.Duration
}

// Measure runs the machines of a whole fleet in virtual time and measures calls,
// bytes and delays. It is deterministic.
func Measure(config MeasureConfig) Measurement {
	s := newSimulator(config)
	run := &recorder{simulator: s, publishedAt: map[names.Version]time.Time{}}
	s.onAction = run.observe
	run.publish(1)
	for _, d := range s.daemons {
		s.startDaemon(d)
	}
	if !config.Restart {
		s.installEverywhere(simulatedVersion(1))
		run.reset()
	}
	for v := range config.Changes {
		s.runFor(config.ChangeInterval)
		run.publish(names.Version(v) + 2)
	}
	s.runFor(max(config.ChangeInterval, 20*time.Second))
	return run.result()
}

// installEverywhere puts a version in force at all daemons.
func (s *simulator) installEverywhere(h VersionID) {
	for _, d := range s.daemons {
		s.forceInstall(d, h)
	}
}

// forceInstall puts a version in force at a daemon and ends its start phase.
func (s *simulator) forceInstall(d *daemon, h VersionID) {
	if m, ok := d.machine.(*Machine); ok {
		m.inForce = h
		m.boot.reset()
	}
	d.installs = append(d.installs, h.Version)
	s.step(d, Tick{})
}

// recorder collects the measurements of a run.
type recorder struct {
	simulator   *simulator
	publishedAt map[names.Version]time.Time
	delays      []time.Duration
	since       time.Time
}

func (r *recorder) publish(v names.Version) {
	r.simulator.published = simulatedVersion(v)
	r.publishedAt[v] = r.simulator.now
}

// reset drops the calls and delays recorded so far.
func (r *recorder) reset() {
	s := r.simulator
	s.callsPerSecond, s.totalCalls = map[int64]int{}, 0
	r.delays = nil
	r.since = s.now
}

// observe records the delays of an installation: those of the installed version
// and, unless it is the daemon's first, of the versions skipped before it.
func (r *recorder) observe(d *daemon, a Action) {
	install, ok := a.(Install)
	if !ok {
		return
	}
	current := names.Version(0)
	if n := len(d.installs); n > 0 {
		current = d.installs[n-1]
	}
	for v := current + 1; v <= install.VersionID.Version; v++ {
		if at, known := r.publishedAt[v]; known && (current > 0 || v == install.VersionID.Version) {
			r.delays = append(r.delays, r.simulator.now.Sub(at))
		}
	}
}

func (r *recorder) result() Measurement {
	s := r.simulator
	seconds := s.now.Sub(s.start).Seconds()
	m := Measurement{
		Members: len(s.daemons), Versions: len(r.publishedAt),
		CallsMean: float64(s.totalCalls) / seconds, Virtual: s.now.Sub(s.start),
	}
	for _, n := range s.callsPerSecond {
		m.CallsPeak = max(m.CallsPeak, n)
	}
	for _, d := range s.daemons {
		rate := float64(d.bytesIn+d.bytesOut) / seconds
		m.BytesMean += rate / float64(len(s.daemons))
		m.BytesMax = max(m.BytesMax, rate)
		m.MessagesMean += float64(d.messages) / seconds / float64(len(s.daemons))
	}
	slices.Sort(r.delays)
	if n := len(r.delays); n > 0 {
		m.BehindHalf = r.delays[n/2]
		m.BehindP99 = r.delays[n*99/100]
		m.BehindLast = r.delays[n-1]
	}
	return m
}

package distribution

import (
	"slices"
	"time"

	"carobspoke.example/core/names"
)

// MeasureConfig says what Measure runs.
type MeasureConfig struct {
	Members     int
	DataCentres int
	// Changes is the number of versions that are published, Every apart.
	Changes int
	Every   time.Duration
	// Restart makes all daemons start at once with empty memories, at a
	// service that holds a version; otherwise they have it in force.
	Restart bool
	Seed    uint64
	// Latency is one way between any two.
	Latency time.Duration
	// Tick is the time between two ticks of a daemon, and WatchGrain how
	// late a watch may end.
	Tick       time.Duration
	WatchGrain time.Duration
	// Announcements: each daemon that installs a version tells Fanout random
	// peers, in Rounds rounds a Period apart.
	Fanout int
	Rounds int
	Period time.Duration
	// Sizes in bytes: of the root's value, of all pages, of one change
	// between peers, and of a question to a peer or its answer.
	RootBytes   int
	WholeBytes  int
	ChangeBytes int
	AskBytes    int
	// Pages is the number of pages of a version.
	Pages int
}

// DefaultMeasureConfig returns the sizes of a manifest of 3,600 customers and
// 6,200 engines, as the tests of package pages print them, with 22,000 changes
// a day.
func DefaultMeasureConfig(members int) MeasureConfig {
	const day = 24 * time.Hour
	return MeasureConfig{
		Members: members, DataCentres: 9, Changes: 200, Every: day / 22000, Seed: 1,
		Latency: 5 * time.Millisecond, Tick: 200 * time.Millisecond, WatchGrain: 50 * time.Millisecond,
		Fanout: 3, Rounds: 12, Period: time.Second,
		RootBytes: 8300, WholeBytes: 2100000, ChangeBytes: 1000, AskBytes: 200, Pages: 81,
	}
}

// Measurement is what Measure found. Announcements are part of the gossip and
// not counted here.
type Measurement struct {
	Members  int
	Versions int
	// CallsMean and CallsPeak are calls a second of the whole fleet at the
	// service; the peak is that of the worst second.
	CallsMean float64
	CallsPeak int
	// BytesMean and BytesMax are bytes a second in and out of a daemon, of
	// the mean daemon and of the busiest one, over the whole run.
	BytesMean float64
	BytesMax  float64
	// MessagesMean is messages a second of the mean daemon.
	MessagesMean float64
	// Behind is how long after publication a version, or a higher one, was
	// in force at half of the daemons, at 99 of 100, and at the last.
	BehindHalf, BehindP99, BehindLast time.Duration
	// Virtual is the span of virtual time.
	Virtual time.Duration
}

// Measure runs the machines of a whole fleet in virtual time and counts calls,
// bytes and delays. Equal configurations give equal results.
func Measure(config MeasureConfig) Measurement {
	d := newDriver(config)
	run := &measuring{driver: d, publishedAt: map[names.Version]time.Time{}}
	d.onAction = run.observe
	run.publish(1)
	for _, x := range d.daemons {
		d.boot(x)
	}
	if !config.Restart {
		d.settleAll(held(1))
		run.reset()
	}
	for v := range config.Changes {
		d.runFor(config.Every)
		run.publish(names.Version(v) + 2)
	}
	d.runFor(max(config.Every, 20*time.Second))
	return run.result()
}

// settleAll puts a version in force everywhere.
func (d *driver) settleAll(h Held) {
	for _, x := range d.daemons {
		d.settle(x, h)
	}
}

// settle puts a version in force at a daemon, as if it had run for long.
func (d *driver) settle(x *daemon, h Held) {
	if m, ok := x.machine.(*Machine); ok {
		m.inForce = h
		m.boot.end()
	}
	x.history = append(x.history, h.Version)
	d.step(x, Tick{})
}

type measuring struct {
	driver      *driver
	publishedAt map[names.Version]time.Time
	delays      []time.Duration
	from        time.Time
}

func (r *measuring) publish(v names.Version) {
	r.driver.published = held(v)
	r.publishedAt[v] = r.driver.now
}

// reset forgets what was counted until now.
func (r *measuring) reset() {
	d := r.driver
	d.calls, d.total = map[int64]int{}, 0
	r.delays = nil
	r.from = d.now
}

func (r *measuring) observe(x *daemon, a Action) {
	install, ok := a.(Install)
	if !ok {
		return
	}
	have := names.Version(0)
	if n := len(x.history); n > 0 {
		have = x.history[n-1]
	}
	for v := have + 1; v <= install.Held.Version; v++ {
		if at, known := r.publishedAt[v]; known && (have > 0 || v == install.Held.Version) {
			r.delays = append(r.delays, r.driver.now.Sub(at))
		}
	}
}

func (r *measuring) result() Measurement {
	d := r.driver
	seconds := d.now.Sub(d.start).Seconds()
	m := Measurement{
		Members: len(d.daemons), Versions: len(r.publishedAt),
		CallsMean: float64(d.total) / seconds, Virtual: d.now.Sub(d.start),
	}
	for _, n := range d.calls {
		m.CallsPeak = max(m.CallsPeak, n)
	}
	for _, x := range d.daemons {
		rate := float64(x.bytesIn+x.bytesOut) / seconds
		m.BytesMean += rate / float64(len(d.daemons))
		m.BytesMax = max(m.BytesMax, rate)
		m.MessagesMean += float64(x.messages) / seconds / float64(len(d.daemons))
	}
	slices.Sort(r.delays)
	if n := len(r.delays); n > 0 {
		m.BehindHalf = r.delays[n/2]
		m.BehindP99 = r.delays[n*99/100]
		m.BehindLast = r.delays[n-1]
	}
	return m
}

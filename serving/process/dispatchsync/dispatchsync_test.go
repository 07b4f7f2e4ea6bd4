package dispatchsync

import (
	"context"
	"math"
	"net"
	"net/netip"
	"reflect"
	"slices"
	"sync"
	"testing"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/homes"
	"carobspoke.example/core/process/inflight"
	"carobspoke.example/core/process/ratelimits"
	"carobspoke.example/core/process/replicas"
	"carobspoke.example/core/process/suspects"
	"carobspoke.example/core/request/placement"
	"carobspoke.example/core/verdict"
	"carobspoke.example/serving/process/boottime"
	"carobspoke.example/serving/process/published"
	"go.uber.org/zap"
)

// sink records the events in a table, keeps the last heartbeat and places each request
// on the same target.
type sink struct {
	mu    sync.Mutex
	table *inflight.Table

	heartbeat published.Heartbeat
	idle      time.Duration
	outcomes  []Outcome
	ends      []suspects.Accusation
	leaving   replicas.Incarnation
	// leavingFrom is the daemon that sent leaving.
	leavingFrom names.Host
	// limited is the target of the last limit, which limitFrom sent.
	limited   replicas.Incarnation
	limit     ratelimits.Statement
	limitFrom names.Host
	used      []replicas.Incarnation
	asks      []Ask
	answer    Answer
	// silent makes Place block, so that the daemon does not answer.
	silent chan struct{}
}

// set changes the sink while its exchange runs.
func (s *sink) set(change func(*sink)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

func (s *sink) Begin(d inflight.Dispatch, idle time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Begin(d, time.Now())
	s.idle = idle
}

func (s *sink) FirstEvent(k inflight.Key) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.FirstEvent(k, time.Now())
}

func (s *sink) End(k inflight.Key) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.End(k, time.Now())
}

func (s *sink) RecordOutcome(_ names.Target, o Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outcomes = append(s.outcomes, o)
}

func (s *sink) RecordLeaving(i replicas.Incarnation, from names.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving, s.leavingFrom = i, from
}

func (s *sink) RecordLimit(i replicas.Incarnation, limit ratelimits.Statement, from names.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limited, s.limit, s.limitFrom = i, limit, from
}

func (s *sink) RecordUse(i replicas.Incarnation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.used = append(s.used, i)
}

func (s *sink) RecordEnd(a *suspects.Accusation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ends = append(s.ends, *a)
}

func (s *sink) Place(_ inflight.Key, a *Ask) Answer {
	s.mu.Lock()
	silent := s.silent
	s.mu.Unlock()
	if silent != nil {
		<-silent
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asks = append(s.asks, *a)
	return s.answer
}

func (s *sink) ObserveHeartbeat(_ names.Host, h published.Heartbeat) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heartbeat = h
}

func (s *sink) at(id names.Target) inflight.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Load(id, time.Now())
}

// end is one daemon's end of the exchange.
type end struct {
	host     names.Host
	exchange *Exchange
	sink     *sink
}

// pair starts two exchanges at different addresses with the same port.
func pair(t *testing.T) (a, b end) {
	t.Helper()
	for range 20 {
		first, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		port := first.LocalAddr().(*net.UDPAddr).Port
		second, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 2), Port: port})
		if err != nil {
			_ = first.Close()
			continue
		}
		return start(t, "127.0.0.1:7001", first, port), start(t, "127.0.0.2:7001", second, port)
	}
	t.Fatal("no port is free at both addresses")
	return
}

func start(t *testing.T, self names.Host, conn *net.UDPConn, port int) end {
	t.Helper()
	to := &sink{table: inflight.New()}
	s := New(Config{Self: self, Incarnation: 7, Conn: conn, Port: uint16(port), Sink: to, Log: zap.NewNop()})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return end{host: self, exchange: s, sink: to}
}

// knowClockOf has this end know the clock of another one, which is the same.
func (e end) knowClockOf(other end) {
	now := boottime.Now()
	e.exchange.ObserveClock(inflight.Key{Host: other.host, Incarnation: 7}, now, now)
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for until := time.Now().Add(5 * time.Second); !holds(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("condition not met within 5 s: %s", what)
		}
	}
}

func TestHomesReceiveProgress(t *testing.T) {
	from, home := pair(t)
	to := []names.Host{home.host}
	d := &inflight.Dispatch{
		Key: inflight.Key{Host: from.host, Incarnation: 7, Number: 3}, MaxDuration: time.Minute,
		Parts: []inflight.Part{
			{Target: "x", Prefill: 40 * time.Second, Tokens: 9, Decodes: true, Size: 100, GapTarget: 200 * time.Millisecond},
			{Target: "y", Prefill: 30 * time.Second},
		},
	}
	from.exchange.Begin(to, d, -1)
	eventually(t, "the dispatch", func() bool { return home.sink.at("y").Requests == 1 })
	load := home.sink.at("x")
	home.sink.set(func(s *sink) {
		if load.Answers != 1 || load.Tokens != 9 || load.SizeByGapClass[0] != 100 || load.Backlog < 39*time.Second || s.idle >= 0 {
			t.Errorf("load %+v, idle for %s", load, s.idle)
		}
	})
	from.exchange.Begin(to, d, 250*time.Millisecond)
	eventually(t, "the repetition", func() bool {
		home.sink.mu.Lock()
		defer home.sink.mu.Unlock()
		return home.sink.idle == 250*time.Millisecond
	})
	from.exchange.FirstEvent(to, 3)
	eventually(t, "the first event", func() bool { return home.sink.at("x").Backlog == 0 })
	heartbeat := published.Heartbeat{Position: replicas.Position{Era: 2, Revision: 77}, ConfirmedAt: time.Now().Add(-90 * time.Millisecond), Settled: true, ConfigVersion: 5, Lost: true}
	home.knowClockOf(from)
	from.exchange.SendHeartbeat(to, heartbeat)
	eventually(t, "the heartbeat", func() bool {
		home.sink.mu.Lock()
		defer home.sink.mu.Unlock()
		got := home.sink.heartbeat
		late := got.ConfirmedAt.Sub(heartbeat.ConfirmedAt)
		got.ConfirmedAt, got.MustRead = heartbeat.ConfirmedAt, false
		return got == heartbeat && late <= 0 && late > -50*time.Millisecond
	})
	accusation := suspects.Accusation{End: 1 << 63, Service: 1 << 31, Requests: 7, Suspects: []suspects.Suspect{
		{Item: 1 << 63, Customer: 1 << 31, SoundAll: 1 << 20, SoundWith: 3, Requests: 7}, {Item: 2, Frequency: suspects.Rare, SoundRate: 0.5},
	}}
	from.exchange.RecordEnd(to, &accusation)
	eventually(t, "the end of a target", func() bool {
		home.sink.mu.Lock()
		defer home.sink.mu.Unlock()
		return len(home.sink.ends) == 1 && reflect.DeepEqual(home.sink.ends[0], accusation)
	})
	from.exchange.RecordOutcome(to, "x", Unreachable)
	leaving := replicas.Incarnation{ID: "z", Started: 1_790_000_000_123}
	from.exchange.RecordLeaving(to, leaving)
	from.exchange.End(to, 3)
	eventually(t, "the end", func() bool { return home.sink.at("x") == inflight.Load{} })
	home.sink.set(func(s *sink) {
		if !slices.Equal(s.outcomes, []Outcome{Unreachable}) {
			t.Errorf("outcomes %v", s.outcomes)
		}
		if s.leaving != leaving || s.leavingFrom != from.host {
			t.Errorf("leaving %+v as of %s", s.leaving, s.leavingFrom)
		}
	})
}

// Guards against a limit that reaches the homes with another rate, of another start or with
// another age: a late statement must not replace a later one.
func TestHomesReceiveLimits(t *testing.T) {
	from, home := pair(t)
	to := []names.Host{home.host}
	i := replicas.Incarnation{ID: "z", Started: 1_790_000_000_123}
	now := time.Now()
	from.exchange.RecordLimit(to, i, ratelimits.Statement{Rate: 2.5, SentAt: now.Add(-time.Minute), ReadAt: now.Add(-30 * time.Second)})
	from.exchange.RecordUse(to, i)
	eventually(t, "the use", func() bool {
		home.sink.mu.Lock()
		defer home.sink.mu.Unlock()
		return slices.Equal(home.sink.used, []replicas.Incarnation{i})
	})
	home.sink.set(func(s *sink) {
		if s.limited != i || s.limit.Rate != 2.5 || s.limitFrom != from.host {
			t.Errorf("%+v has the limit %+v as of %s", s.limited, s.limit, s.limitFrom)
		}
		wantNear(t, s.limit.SentAt, now.Add(-time.Minute))
		wantNear(t, s.limit.ReadAt, now.Add(-30*time.Second))
	})
}

// wantNear checks a time that was sent as an age.
func wantNear(t *testing.T, got, want time.Time) {
	t.Helper()
	if got.Sub(want).Abs() > time.Second {
		t.Errorf("%s, want %s", got, want)
	}
}

// A home is asked by a daemon that knows limits, and answers with one.
func TestQuestionsAndAnswersNameLimits(t *testing.T) {
	from, home := pair(t)
	i := replicas.Incarnation{ID: "z", Started: 1_790_000_000_123}
	now := time.Now()
	home.sink.set(func(s *sink) {
		s.answer = Answer{LimitsKnown: true, Decision: placement.Decision{
			Target: "z", Parts: []inflight.Part{{Target: "z"}}, Limit: 2.5, LimitAge: 40 * time.Millisecond,
		}}
	})
	ask := &Ask{Limits: []ratelimits.Claim{{Incarnation: i, Rate: 2.5, ReadAt: now.Add(-30 * time.Second)}, {Incarnation: replicas.Incarnation{ID: "y"}, ReadAt: now}}}
	answer, err := from.exchange.Ask(t.Context(), home.host, 9, ask)
	if err != nil || answer.Decision.Limit != 2.5 || answer.Decision.LimitAge != 40*time.Millisecond || !answer.LimitsKnown {
		t.Fatalf("answer %+v, %v", answer, err)
	}
	home.sink.set(func(s *sink) {
		claims := s.asks[0].Limits
		if len(claims) != 2 || claims[0].Incarnation != i || claims[0].Rate != 2.5 || claims[1].ID != "y" || claims[1].Rate != 0 {
			t.Fatalf("claims %+v", claims)
		}
		wantNear(t, claims[0].ReadAt, now.Add(-30*time.Second))
	})
}

// Guards against rates from the network that are no rates.
func TestInvalidRatesAreNoLimits(t *testing.T) {
	for _, rate := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, 0} {
		if got := decodeRate(float32(rate)); got != 0 {
			t.Errorf("%g is taken for %g", rate, got)
		}
	}
}

// A home places a prompt with helpers. Question and answer must arrive unchanged, with
// all that the daemon needs to send the prompt.
func TestHomeAnswers(t *testing.T) {
	from, home := pair(t)
	want := Answer{Pressure: 0.5, Homes: []names.Host{"10.0.0.1:7000"}, Decision: placement.Decision{
		Target: "x", Helpers: []placement.Helper{{Target: "y", ReservedTokens: 300_000}, {Target: "z"}},
		Parts: []inflight.Part{
			{Target: "x", Prefill: 2 * time.Second, Tokens: 300_000, Decodes: true, Size: 600_000, GapTarget: time.Second},
			{Target: "y", Prefill: 2 * time.Second, Tokens: 300_000},
			{Target: "z", Prefill: 2 * time.Second},
		},
		Load: inflight.Load{Backlog: 3 * time.Millisecond, Requests: 2, Answers: 1}, FirstEvent: 2100 * time.Millisecond, Completion: 4 * time.Second, Priority: 6,
		ColdLeave: true,
	}}
	home.sink.set(func(s *sink) { s.answer = want })
	ask := &Ask{
		Group: homes.Group{Service: "draft", Index: 1, Groups: 3},
		Request: placement.Request{
			PromptTokens: 600_000, AnswerTokens: 700, LatencyTarget: 4 * time.Second, GapTarget: time.Second, TimeLeft: 14500 * time.Millisecond,
			TimeToShutdown: 9 * time.Second, AnswerStarted: true, FirstEventTimeout: 16 * time.Second, Rank: -1, Exclude: []names.Target{"u"},
			Regions: []names.Region{"r"}, Customer: "c", AnswerHint: 500, Fingerprint: 1 << 63, Retried: true,
		},
		Avoid: []names.Target{"v"}, Redirected: true, Evacuated: []names.DataCentre{"b"},
		Cold: []ColdTarget{{Incarnation: replicas.Incarnation{ID: "x", Started: 4}, Left: 2 * time.Second}},
	}
	answer, err := from.exchange.Ask(t.Context(), home.host, 9, ask)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(answer, want) {
		t.Fatalf("answer %+v, want %+v", answer, want)
	}
	home.sink.set(func(s *sink) {
		if !reflect.DeepEqual(s.asks, []Ask{*ask}) {
			t.Errorf("home was asked %+v, want %+v", s.asks, *ask)
		}
		s.answer = Answer{Decision: placement.Decision{Refusal: verdict.New(verdict.NotRun, verdict.Overloaded, "busy").WithRetryAfter(700 * time.Millisecond)}}
	})
	answer, err = from.exchange.Ask(t.Context(), home.host, 10, ask)
	if err != nil {
		t.Fatal(err)
	}
	refusal := answer.Decision.Refusal
	if refusal == nil || refusal.Verdict != verdict.NotRun || refusal.Reason != verdict.Overloaded || refusal.RetryAfter != 700*time.Millisecond {
		t.Fatalf("refusal %+v", refusal)
	}
}

// The home is paused and answers late. Guards against waiting for it, and against
// taking its answer for that to a later question.
func TestLateAnswerIsDropped(t *testing.T) {
	from, home := pair(t)
	silent := make(chan struct{})
	home.sink.set(func(s *sink) {
		s.silent = silent
		s.answer.Decision = placement.Decision{Target: "late", Parts: []inflight.Part{{Target: "late"}}}
	})
	began := time.Now()
	if _, err := from.exchange.Ask(t.Context(), home.host, 1, &Ask{}); err == nil {
		t.Fatal("a paused home answered")
	}
	if took := time.Since(began); took > 10*AskTimeout {
		t.Fatalf("gave up after %s", took)
	}
	close(silent)
	eventually(t, "the late question", func() bool {
		home.sink.mu.Lock()
		defer home.sink.mu.Unlock()
		return len(home.sink.asks) == 1
	})
	home.sink.set(func(s *sink) {
		s.answer.Decision = placement.Decision{Target: "new", Parts: []inflight.Part{{Target: "new"}}}
	})
	answer, err := from.exchange.Ask(t.Context(), home.host, 2, &Ask{})
	if err != nil || answer.Decision.Target != "new" {
		t.Fatalf("answer %+v, %v", answer, err)
	}
}

// Begins more dispatches at once than fit into a datagram. All must arrive.
func TestBurstIsSplitIntoDatagrams(t *testing.T) {
	from, home := pair(t)
	const burst = 60
	for i := range uint64(burst) {
		parts := make([]inflight.Part, 9)
		for p := range parts {
			parts[p] = inflight.Part{Target: "target-0123456789", Prefill: time.Second, Tokens: 400_000}
		}
		d := &inflight.Dispatch{Key: inflight.Key{Number: i + 1}, MaxDuration: time.Minute, Parts: parts}
		from.exchange.Begin([]names.Host{home.host}, d, -1)
	}
	eventually(t, "all of the burst", func() bool { return home.sink.at("target-0123456789").Requests == burst*9 })
}

func TestInvalidDatagramsAreDropped(t *testing.T) {
	from, home := pair(t)
	to := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.2"), from.exchange.config.Port)
	for _, packet := range []string{"", "\xff\xff\xff", "hello"} {
		if _, err := from.exchange.config.Conn.WriteToUDPAddrPort([]byte(packet), to); err != nil {
			t.Fatal(err)
		}
	}
	d := &inflight.Dispatch{Key: inflight.Key{Number: 1}, MaxDuration: time.Minute, Parts: []inflight.Part{{Target: "x"}}}
	from.exchange.Begin([]names.Host{home.host}, d, -1)
	eventually(t, "the dispatch after the invalid datagrams", func() bool { return home.sink.at("x").Requests == 1 })
}

// A heartbeat waits in the socket while its receiver reads nothing. Guards against taking its
// confirmation for as recent as the moment at which it is read.
func TestHeartbeatThatWasHeldUpIsAsOldAsItsWait(t *testing.T) {
	from, to := pair(t)
	to.knowClockOf(from)
	const confirmed, held = 100 * time.Millisecond, 300 * time.Millisecond
	send := func(at uint64) time.Duration {
		from.exchange.SendHeartbeat([]names.Host{to.host}, published.Heartbeat{Position: replicas.Position{Revision: at}, ConfirmedAt: time.Now().Add(-confirmed)})
		var got published.Heartbeat
		eventually(t, "the heartbeat", func() bool {
			to.sink.mu.Lock()
			defer to.sink.mu.Unlock()
			got = to.sink.heartbeat
			return got.Position.Revision == at
		})
		return time.Since(got.ConfirmedAt)
	}
	if got := send(1); got > confirmed+held/2 {
		t.Fatalf("confirmed %s ago, %s when it was sent", got, confirmed)
	}
	blocked, release := make(chan struct{}), make(chan struct{})
	go func() {
		to.sink.set(func(*sink) { // blocks the receiver
			close(blocked)
			<-release
		})
	}()
	<-blocked
	from.exchange.SendHeartbeat([]names.Host{to.host}, published.Heartbeat{Position: replicas.Position{Revision: 2}, ConfirmedAt: time.Now().Add(-confirmed)})
	time.AfterFunc(held, func() { close(release) })
	if got := send(3); got < confirmed+held/2 {
		t.Fatalf("confirmed %s ago, after a wait of %s", got, held)
	}
}

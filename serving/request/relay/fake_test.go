package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/inflight"
	"carobspoke.example/core/process/replicas"
	"carobspoke.example/core/process/suspects"
	"carobspoke.example/core/request/placement"
	"carobspoke.example/core/request/retry"
	"carobspoke.example/core/verdict"
	"carobspoke.example/core/version/routing"
	"carobspoke.example/serving/connection/upstream"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// fakeCodec uses plain header names.
type fakeCodec struct{}

func (fakeCodec) ParseRequest(r *http.Request) (RequestInfo, error) {
	f := RequestInfo{ID: r.Header.Get("Id"), Credential: r.Header.Get("Key")}
	if text := r.Header.Get("Left"); text != "" {
		left, err := time.ParseDuration(text)
		if err != nil {
			return f, err
		}
		f.Timeout = left
	}
	return f, nil
}

func (fakeCodec) OutgoingHeader(r *http.Request, a *Attempt) http.Header {
	h := http.Header{}
	h.Set("Id", r.Header.Get("Id"))
	h.Set("Target", string(a.Target))
	h.Set("Customer", string(a.Customer))
	h.Set("Left", strconv.FormatInt(a.TimeLeft.Milliseconds(), 10))
	if a.ResumeAfter != "" {
		h.Set("After", a.ResumeAfter)
	}
	return h
}

func (fakeCodec) MatchesRequest(response *http.Response, f *RequestInfo, _ bool) bool {
	return response.Header.Get("Id") == f.ID
}

func (fakeCodec) ParseReply(response *http.Response) Reply {
	return Reply{
		FaultAddress: response.Header.Get("At"),
		NotRun:       response.Header.Get("Not-Run") != "", WrongTarget: response.StatusCode == http.StatusMisdirectedRequest,
		Sealed: response.Header.Get("Seal") != "",
		Statement: Statement{
			Leaving: response.Header.Get("Leaving") != "", RetryAfter: time.Duration(len(response.Header.Get("Ask"))) * time.Second,
			Limit: fakeLimit(response.Header.Get("Limit")),
		},
	}
}

func fakeLimit(text string) Limit {
	if text == "" {
		return Limit{}
	}
	rate, err := strconv.ParseFloat(text, 64)
	return Limit{Named: err == nil, Rate: rate, Invalid: err != nil}
}

func (fakeCodec) Refuse(h http.Header, _ *RequestInfo, err *verdict.Error) int {
	h.Set("Reason", string(err.Reason))
	h.Set("Verdict", err.Verdict.String())
	if err.RetryAfter > 0 {
		h.Set("Come-Back", err.RetryAfter.String())
	}
	return http.StatusServiceUnavailable
}

// fakeBoard places requests on the first target that is not excluded.
type fakeBoard struct {
	mu              sync.Mutex
	targets         []fakeTarget
	refusal         *verdict.Error
	predicted       time.Duration
	placements      int
	endedPlacements int
	failed          []names.Target
	losses          []Loss
	completed       int
	soundSentAt     time.Time
	// suspectWhenConnected makes requests suspect once their connection is open.
	suspectWhenConnected bool
	// suspectFrom is the number of placements from which requests are refused as
	// suspects, negative if never. noRetry makes each loss forbid a retry.
	suspectFrom  int
	noRetry      bool
	unresponsive bool
	// draining refuses requests whose answer has not started, except for the
	// first placement.
	draining bool
	helpers  []placement.Helper
	// takenOut holds the targets that take no requests, though they are placed there
	// as often as maxStale says.
	takenOut []names.Target
	maxStale int
	// statements holds what targets have stated, in the order of their answers.
	statements []string
	// unlimited holds the targets whose answers named no limit.
	unlimited []names.Target
	roomAfter time.Duration
}

type fakeTarget struct {
	id      names.Target
	address string
}

func (b *fakeBoard) Place(_ context.Context, r *placement.Request, _ *routing.Service) (*Placement, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.refusal != nil {
		return nil, b.refusal
	}
	if b.draining && b.placements > 0 && !r.AnswerStarted {
		return nil, verdict.New(verdict.NotRun, verdict.DaemonDraining, "stopping")
	}
	for _, t := range b.targets {
		excluded := false
		for _, e := range r.Exclude {
			excluded = excluded || e == t.id
		}
		if slices.Contains(b.takenOut, t.id) {
			excluded = excluded || b.maxStale <= 0
			b.maxStale--
		}
		if !excluded {
			b.placements++
			decision := placement.Decision{Target: t.id, FirstEvent: b.predicted, Helpers: b.helpers}
			return &Placement{Decision: decision, Incarnation: replicas.Incarnation{ID: t.id}, Address: t.address, Helpers: make([]string, len(b.helpers))}, nil
		}
	}
	return nil, verdict.New(verdict.NotRun, verdict.NoTarget, "none")
}

func (b *fakeBoard) FirstEvent(inflight.Key) {}

func (b *fakeBoard) RecordActivity(inflight.Key, names.Target) {}

func (b *fakeBoard) Unresponsive(names.Target) bool { return b.unresponsive }

func (b *fakeBoard) End(inflight.Key, names.Target) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.endedPlacements++
}

func (b *fakeBoard) RecordRequestCount(names.Target, int) {}

func (b *fakeBoard) Succeeded(inflight.Key, names.Target) {}

func (b *fakeBoard) Failed(_ inflight.Key, id names.Target, _ verdict.Reason) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failed = append(b.failed, id)
}

func (b *fakeBoard) Unreachable(k inflight.Key, id names.Target) {
	b.Failed(k, id, verdict.TargetUnreachable)
}

func (b *fakeBoard) MaySend(p *Placement) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.suspectWhenConnected {
		b.suspectFrom = 0
	}
	for _, t := range b.takenOut {
		if t == p.Decision.Target {
			return verdict.New(verdict.NotRun, verdict.TargetLeaving, "leaving")
		}
	}
	return nil
}

func (b *fakeBoard) RoomAfter(names.Service) time.Duration { return b.roomAfter }

func (b *fakeBoard) RecordStatement(p *Placement, s Statement, _ string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	text := fmt.Sprintf("%s{%v %v %v}", p.Decision.Target, s.Leaving, s.RetryAfter, s.RetryAfterInvalid)
	if s.Limit != (Limit{}) {
		text += fmt.Sprintf(" limit %v", s.Limit)
	}
	b.statements = append(b.statements, text)
}

func (b *fakeBoard) RecordNoLimit(p *Placement, _ string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.unlimited = append(b.unlimited, p.Decision.Target)
}

func (b *fakeBoard) Refusal(*suspects.Request) *verdict.Error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.suspectFrom < 0 || b.placements < b.suspectFrom {
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.CrashSuspect, "suspect").WithRetryAfter(time.Minute)
}

func (b *fakeBoard) Sound(_ *suspects.Request, sentAt time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.completed++
	b.soundSentAt = sentAt
}

func (b *fakeBoard) completions() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.completed
}

func (b *fakeBoard) ConnectionLost(_ context.Context, l *Loss) (ended, mayRetry bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.losses = append(b.losses, *l)
	return false, !b.noRetry
}

// fakeBudget decides on retries of all services under one budget.
type fakeBudget struct{ budget *retry.Budget }

func (f fakeBudget) RecordFirstAttempt(names.Service) {}

func (f fakeBudget) Decide(_ names.Service, p retry.Policy, a retry.Attempt) retry.Decision {
	return p.Decide(a, f.budget, time.Now(), rand.New(rand.NewPCG(1, 1)))
}

type fakeObserver struct{ timings chan *Timing }

func (fakeObserver) Admitted(*routing.Route) {}
func (fakeObserver) Refused(*verdict.Error)  {}
func (fakeObserver) Retried(verdict.Reason)  {}
func (o fakeObserver) Answered(t *Timing)    { o.timings <- t }

// fakeReserver grants reservations that fit into the free memory.
type fakeReserver struct {
	mu       sync.Mutex
	free     map[names.Target]int
	released int
}

func (f *fakeReserver) Reserve(_ context.Context, _ string, id names.Target, tokens int) (string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.free[id] < tokens {
		return "", errors.New("no room")
	}
	f.free[id] -= tokens
	return "r-" + string(id), nil
}

func (f *fakeReserver) Release(string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.released++
}

// fixture is a relay with fake targets.
type fixture struct {
	t              *testing.T
	relay          *Relay
	board          *fakeBoard
	server         *httptest.Server
	routes         []routing.Route
	recent         bool
	timeToShutdown time.Duration
	budget         *retry.Budget
	timings        chan *Timing
	log            *zap.Logger
}

func newFixture(t *testing.T, targets ...*fakeServer) *fixture {
	t.Helper()
	f := &fixture{t: t, board: &fakeBoard{suspectFrom: -1, predicted: 10 * time.Millisecond}, recent: true, budget: retry.NewBudget(0), timings: make(chan *Timing, 100), log: zap.NewNop()}
	for i, s := range targets {
		f.board.targets = append(f.board.targets, fakeTarget{id: names.Target(rune('a' + i)), address: s.listener.Addr().String()})
	}
	route := routing.Route{
		Hostname: "host.example", Services: []routing.WeightedService{{Service: "s", Weight: 1}}, Timeout: 2 * time.Second,
		LatencyTarget: 100 * time.Millisecond, GapTarget: 100 * time.Millisecond, MaxAttempts: 2,
	}
	add := func(name, prefix string, kind routing.Kind, resumable bool) {
		r := route
		r.Name, r.Prefix, r.Kind, r.Resumable = name, prefix, kind, resumable
		f.routes = append(f.routes, r)
	}
	add("read", "/read/", routing.Idempotent, false)
	add("order", "/order/", routing.NonIdempotent, false)
	add("stream", "/stream/", routing.Streaming, true)
	add("once", "/once/", routing.Streaming, false)
	f.build()
	return f
}

func (f *fixture) build() {
	table, err := routing.NewTable(&routing.Config{
		Version: 1, Routes: f.routes, Services: []routing.Service{{Name: "s"}},
		Customers: []routing.Customer{{Name: "customer", Keys: []string{"key"}}},
		Limits:    routing.Limits{BodyBytes: 1 << 10, HeaderBytes: 4 << 10},
	})
	if err != nil {
		f.t.Fatal(err)
	}
	f.relay = New(Deps{
		Codec: fakeCodec{}, Board: f.board, Suspects: f.board, Budget: fakeBudget{budget: f.budget},
		Pool: upstream.NewPool(), Reserver: &fakeReserver{}, Observer: fakeObserver{timings: f.timings},
		TargetListRevision: func() uint64 { return 1 }, TargetListAge: func() time.Duration { return 0 },
		Configuration:  func() Configuration { return Configuration{Table: table, Recent: f.recent} },
		AwaitTable:     func(context.Context) bool { return false },
		TimeToShutdown: func() (time.Duration, bool) { return f.timeToShutdown, f.timeToShutdown > 0 },
		RetryAfter:     func() time.Duration { return time.Second },
		Random:         func() float64 { return 0 }, Log: f.log,
	})
	f.server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { f.relay.ServeHTTP(w, r) }))
	f.server.Config.ConnContext = ConnContext
	f.server.Start()
	f.t.Cleanup(f.server.Close)
}

// answerHead is the status and header of an answer.
type answerHead struct {
	StatusCode int
	Header     http.Header
}

// call sends a request. Its error is that of the exchange, which includes
// reading the body.
func (f *fixture) call(path string, change func(*http.Request)) (head *answerHead, body string, err error) {
	f.t.Helper()
	r, err := http.NewRequestWithContext(f.t.Context(), http.MethodPost, f.server.URL+path, nil)
	if err != nil {
		f.t.Fatal(err)
	}
	r.Host = "host.example"
	r.Header.Set("Id", "r1")
	r.Header.Set("Key", "key")
	if change != nil {
		change(r)
	}
	response, err := f.server.Client().Do(r)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = response.Body.Close() }()
	read, err := io.ReadAll(response.Body)
	return &answerHead{StatusCode: response.StatusCode, Header: response.Header}, string(read), err
}

// fakeServer is a target whose responder writes answers to the raw connection.
type fakeServer struct {
	listener net.Listener
	mu       sync.Mutex
	headers  []http.Header
}

// responder answers the n-th request, counted from one. The connection is
// closed when it returns.
type responder func(conn net.Conn, r *http.Request, n int)

func newFakeServer(t *testing.T, respond responder) *fakeServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &fakeServer{listener: listener}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.handle(conn, respond)
		}
	}()
	return s
}

func (s *fakeServer) handle(conn net.Conn, respond responder) {
	defer func() { _ = conn.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	s.mu.Lock()
	s.headers = append(s.headers, r.Header)
	n := len(s.headers)
	s.mu.Unlock()
	respond(conn, r, n)
}

func (s *fakeServer) receivedHeaders() []http.Header {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.headers
}

func writeAnswer(conn net.Conn, r *http.Request, status int, extra, body string) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d X\r\nId: %s\r\n%sContent-Length: %d\r\nConnection: close\r\n\r\n%s",
		status, r.Header.Get("Id"), extra, len(body), body)
}

func answersOK(body string) responder {
	return func(conn net.Conn, r *http.Request, _ int) { writeAnswer(conn, r, http.StatusOK, "Seal: s\r\n", body) }
}

func closesWithoutAnswer(net.Conn, *http.Request, int) {}

// streamsEvents sends the events of a range. It then ends the stream if
// complete is true, and otherwise breaks it off in the middle of the next
// event.
func streamsEvents(from, to int, complete bool) responder {
	return func(conn net.Conn, r *http.Request, _ int) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s%d\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"), from)
		for i := from; i <= to; i++ {
			writeChunk(conn, fmt.Sprintf("id: %d\ndata: e%d\n\n", i, i))
		}
		if complete {
			_, _ = io.WriteString(conn, "0\r\n\r\n")
			return
		}
		writeChunk(conn, fmt.Sprintf("id: %d\nda", to+1))
	}
}

func writeChunk(conn net.Conn, text string) {
	_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text)
}

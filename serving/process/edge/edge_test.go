package edge

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/homes"
	"carobspoke.example/core/process/replicas"
	"carobspoke.example/core/request/retry"
	"carobspoke.example/core/verdict"
	"carobspoke.example/core/version/routing"
	"carobspoke.example/serving/connection/upstream"
	"carobspoke.example/serving/process/published"
	"carobspoke.example/serving/process/targetstate"
	"carobspoke.example/serving/request/relay"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// source is a store with one configuration and targets that never change.
type source struct {
	target string   // address
	others []string // addresses of further targets
	down   bool     // reads fail
	// opensAt is when reads begin to succeed.
	opensAt time.Time
}

func (s *source) List(context.Context) (published.Batch, error) {
	if s.down || time.Now().Before(s.opensAt) {
		return published.Batch{}, errors.New("down")
	}
	records := []published.Record{{Key: "config", Revision: 4, Value: []byte("{}")}, {Key: "target/t", Revision: 5, Value: []byte(s.target)}}
	for i, address := range s.others {
		records = append(records, published.Record{Key: fmt.Sprint("target/t-", i), Revision: 5, Value: []byte(address)})
	}
	return published.Batch{Position: replicas.Position{Revision: 5}, Complete: true, Records: records}, nil
}

func (s *source) Watch(ctx context.Context, _ uint64, wait time.Duration) (published.Batch, error) {
	if s.down {
		return published.Batch{}, errors.New("down")
	}
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
	return published.Batch{Position: replicas.Position{Revision: 5}}, nil
}

type decoder struct{}

func (decoder) TargetOf(key string) (names.Target, bool) {
	id, ok := strings.CutPrefix(key, "target/")
	return names.Target(id), ok
}

func (decoder) EvacuationOf(key string) (names.DataCentre, bool) {
	dataCentre, ok := strings.CutPrefix(key, "evacuate/")
	return names.DataCentre(dataCentre), ok
}

func (d decoder) Decode(r *published.Record) (*routing.Config, *replicas.Target, error) {
	if id, ok := d.TargetOf(r.Key); ok {
		return nil, &replicas.Target{ID: id, Service: "s", Address: string(r.Value), Slots: 4, Revision: r.Revision}, nil
	}
	return &routing.Config{
		Version:  1,
		Services: []routing.Service{{Name: "s"}},
		Routes: []routing.Route{{
			Name: "r", Hostname: "h.example", Prefix: "/", Kind: routing.Idempotent, Anonymous: true, MaxAttempts: 1,
			Services: []routing.WeightedService{{Service: "s", Weight: 1}}, Timeout: 5 * time.Second, LatencyTarget: time.Second,
		}, {
			Name: "stream", Hostname: "h.example", Prefix: "/stream/", Kind: routing.Streaming, Anonymous: true, MaxAttempts: 1,
			Services: []routing.WeightedService{{Service: "s", Weight: 1}}, Timeout: 5 * time.Second, LatencyTarget: time.Second,
		}},
		Limits: routing.Limits{BodyBytes: 1000, IdleTimeout: 10 * time.Second},
	}, nil, nil
}

type codec struct{}

func (codec) ParseRequest(r *http.Request) (relay.RequestInfo, error) {
	return relay.RequestInfo{ID: r.Header.Get("Id"), Parts: r.Header["Part"]}, nil
}

func (codec) OutgoingHeader(r *http.Request, _ *relay.Attempt) http.Header {
	return http.Header{"Part": r.Header["Part"]}
}

func (codec) MatchesRequest(*http.Response, *relay.RequestInfo, bool) bool { return true }

func (codec) ParseReply(*http.Response) relay.Reply { return relay.Reply{Sealed: true} }

func (codec) Refuse(h http.Header, _ *relay.RequestInfo, err *verdict.Error) int {
	h.Set("Reason", string(err.Reason))
	return http.StatusServiceUnavailable
}

var ports struct {
	sync.Mutex
	next uint16
}

// freePorts returns n consecutive ports that were free on loopback, for TCP and UDP.
func freePorts(t *testing.T, n int) []uint16 {
	t.Helper()
	ports.Lock()
	defer ports.Unlock()
	var list []uint16
	for len(list) < n {
		if ports.next == 0 {
			ports.next = uint16(20_000 + rand.IntN(8_000))
		}
		ports.next++
		tcp, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", ports.next))
		if err != nil {
			list = nil // the ports must be consecutive
			continue
		}
		udp, err := net.ListenPacket("udp", fmt.Sprintf("127.0.0.1:%d", ports.next))
		_ = tcp.Close()
		if err != nil {
			list = nil
			continue
		}
		_ = udp.Close()
		list = append(list, ports.next)
	}
	return list
}

// fleet starts n daemons on addresses 127.0.0.1, 127.0.0.2 and so on.
func fleet(t *testing.T, n int, sourceOf func(i int) *source) []*Daemon {
	t.Helper()
	p := freePorts(t, 5)
	address := func(i, port int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i + 1)}), p[port])
	}
	var list []*Daemon
	for i := range n {
		d, err := New(Options{
			NewOrders: func(upstream.Dialer) targetstate.OrderClient { return nil }, // no test sends orders
			Settings: &Settings{
				Name: fmt.Sprint("host-", i), DataCentre: "dc", Regions: map[names.DataCentre]names.Region{"dc": "region"},
				CallerAddress: address(i, 0), ReadyAddress: address(i, 1), MetricsAddress: address(i, 2), PeerAddress: address(i, 3), SharePort: p[4],
				ReadyPath: "/ready", MetricsPath: "/metrics", Seeds: []netip.AddrPort{address(0, 3)}, StoreAddress: address(i, 0),
				GracePeriod: 6 * time.Second, RetryRatio: 0.2, RetrySlack: 100, RetryWindow: 10 * time.Second,
			},
			Codec: codec{}, Source: sourceOf(i), Decoder: decoder{}, Log: zap.NewNop(),
			DroppedLines: func() int64 { return 0 },
		})
		if err != nil {
			t.Fatal(err)
		}
		d.Start()
		t.Cleanup(d.Close)
		list = append(list, d)
	}
	return list
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for until := time.Now().Add(15 * time.Second); !holds(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("condition not met within 15 s: %s", what)
		}
	}
}

// slowTarget starts a target that answers no request before release is called.
func slowTarget(t *testing.T) (address string, release func()) {
	t.Helper()
	gate := make(chan struct{})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		<-gate
		_, _ = io.WriteString(w, "done")
	})}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String(), sync.OnceFunc(func() { close(gate) })
}

func get(t *testing.T, url string) (int, string) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Host = "h.example"
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(body)
}

func url(address netip.AddrPort, path string) string { return "http://" + address.String() + path }

// Daemons start one after the other. Guards against a stale list of members, with
// which daemons report their dispatches to different homes: the homes must know the
// dispatches of all, and the other daemons only their own.
func TestHomesKnowAllDispatches(t *testing.T) {
	address, release := slowTarget(t)
	daemons := fleet(t, 5, func(int) *source { return &source{target: address} })
	defer release()
	for _, d := range daemons {
		eventually(t, "ready", func() bool {
			status, _ := get(t, url(d.Settings.ReadyAddress, "/ready"))
			return status == http.StatusOK
		})
		eventually(t, "four peers", func() bool { return d.peerCount() == 4 })
	}
	for _, d := range daemons { // until then they ask the seeds
		eventually(t, "joined", func() bool { return time.Since(d.started) > homes.JoinTime })
	}
	var calls sync.WaitGroup
	for _, d := range daemons {
		calls.Go(func() {
			if status, body := get(t, url(d.Settings.CallerAddress, "/x")); status != http.StatusOK || body != "done" {
				t.Errorf("status %d, %q", status, body)
			}
		})
	}
	selected := daemons[0].homesOf(homes.Group{Service: "s", Groups: 1}).Listeners
	if len(selected) < homes.Count || len(selected) == len(daemons) {
		t.Fatalf("homes %v", selected)
	}
	for _, d := range daemons {
		want := 1
		if slices.Contains(selected, d.self) {
			want = len(daemons)
		}
		eventually(t, fmt.Sprint("dispatches: ", want), func() bool { return d.board.DispatchCount() == want })
	}
	time.Sleep(2 * targetstate.RefreshInterval) // they must not expire while they last
	for _, d := range daemons {
		if got := d.board.DispatchCount(); got < 1 || slices.Contains(selected, d.self) && got != len(daemons) {
			t.Fatalf("%s knows %d dispatches", d.self, got)
		}
	}
	release()
	calls.Wait()
	for _, d := range daemons {
		eventually(t, "no dispatches", func() bool { return d.board.DispatchCount() == 0 })
	}
}

// Both homes are paused. Guards against requests that wait for them: the daemon must
// place its requests by itself.
func TestRequestsAreServedWithoutHomes(t *testing.T) {
	address, release := slowTarget(t)
	release()
	daemons := fleet(t, 5, func(int) *source { return &source{target: address} })
	for _, d := range daemons {
		eventually(t, "four peers", func() bool { return d.peerCount() == 4 && d.follower.View() != nil })
	}
	selected := daemons[0].homesOf(homes.Group{Service: "s", Groups: 1}).Listeners
	for _, d := range daemons {
		if slices.Contains(selected, d.self) {
			_ = d.shareConn.Close() // it answers nothing, and its peers do not notice
		}
	}
	for _, d := range daemons {
		if slices.Contains(selected, d.self) {
			continue
		}
		for range 3 {
			began := time.Now()
			if status, body := get(t, url(d.Settings.CallerAddress, "/x")); status != http.StatusOK || body != "done" {
				t.Fatalf("status %d, %q", status, body)
			}
			if took := time.Since(began); took > time.Second {
				t.Fatalf("answered after %s", took)
			}
		}
	}
}

// A daemon that has never reached the store must become ready with the records of
// its peers.
func TestDaemonWithoutStoreReadsFromPeers(t *testing.T) {
	address, release := slowTarget(t)
	release()
	daemons := fleet(t, 3, func(i int) *source { return &source{target: address, down: i == 2} })
	eventually(t, "ready", func() bool {
		status, _ := get(t, url(daemons[2].Settings.ReadyAddress, "/ready"))
		return status == http.StatusOK
	})
	if status, body := get(t, url(daemons[2].Settings.CallerAddress, "/x")); status != http.StatusOK {
		t.Fatalf("status %d %q", status, body)
	}
	_, text := get(t, url(daemons[2].Settings.MetricsAddress, "/metrics"))
	for _, line := range []string{"carobspoke_config_version 1", "carobspoke_targets 1", "carobspoke_answered_idempotent 1", "carobspoke_refused_overloaded 0"} {
		if !strings.Contains(text, line+"\n") {
			t.Errorf("metrics do not contain %q", line)
		}
	}
}

// A caller reaches a daemon that has just started, and the store answers a moment later.
// Guards against sending away a caller that can be served within the time of a retry.
func TestRequestWaitsForFirstConfiguration(t *testing.T) {
	address, release := slowTarget(t)
	release()
	s := &source{target: address, opensAt: time.Now().Add(bootTime / 3)}
	d := fleet(t, 1, func(int) *source { return s })[0]
	if status, body := get(t, url(d.Settings.CallerAddress, "/x")); status != http.StatusOK || body != "done" {
		t.Fatalf("status %d %q", status, body)
	}
}

// No configuration arrives. The caller must be sent away once it is no longer expected.
func TestRequestIsRefusedWithoutConfiguration(t *testing.T) {
	d := fleet(t, 1, func(int) *source { return &source{down: true} })[0]
	if status, _ := get(t, url(d.Settings.CallerAddress, "/x")); status != http.StatusServiceUnavailable {
		t.Fatalf("status %d", status)
	}
	if age := time.Since(d.started); age > 2*bootTime {
		t.Fatalf("refused by a daemon of age %s", age)
	}
	began := time.Now()
	if status, _ := get(t, url(d.Settings.CallerAddress, "/x")); status != http.StatusServiceUnavailable || time.Since(began) > bootTime/2 {
		t.Fatalf("status %d after %s", status, time.Since(began))
	}
}

func TestDaemonWithoutConfigurationIsNotReady(t *testing.T) {
	daemons := fleet(t, 1, func(int) *source { return &source{down: true} })
	if status, _ := get(t, url(daemons[0].Settings.ReadyAddress, "/ready")); status != http.StatusServiceUnavailable {
		t.Fatalf("readiness status %d", status)
	}
	if status, _ := get(t, url(daemons[0].Settings.CallerAddress, "/x")); status != http.StatusServiceUnavailable {
		t.Fatalf("status %d", status)
	}
}

// One request is in flight when the drain starts, another arrives while the load
// balancer may still send requests. Both must be answered.
func TestDrainAnswersAllRequests(t *testing.T) {
	address, release := slowTarget(t)
	d := fleet(t, 1, func(int) *source { return &source{target: address} })[0]
	eventually(t, "ready", func() bool {
		status, _ := get(t, url(d.Settings.ReadyAddress, "/ready"))
		return status == http.StatusOK
	})
	answers := make(chan string, 2)
	call := func() {
		status, body := get(t, url(d.Settings.CallerAddress, "/x"))
		answers <- fmt.Sprint(status, " ", body)
	}
	go call()
	eventually(t, "one in flight", func() bool { return d.board.DispatchCount() == 1 })
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		d.Drain()
	}()
	eventually(t, "not ready", func() bool {
		status, _ := get(t, url(d.Settings.ReadyAddress, "/ready"))
		return status == http.StatusServiceUnavailable
	})
	go call()
	eventually(t, "two in flight", func() bool { return d.board.DispatchCount() == 2 })
	time.Sleep(balancerDelay)
	release()
	for range 2 {
		if got := <-answers; got != "200 done" {
			t.Errorf("answer %q", got)
		}
	}
	<-drained
}

func TestBudgetsStayWithinFleetBudget(t *testing.T) {
	const hosts, fresh = 9, 50
	settings := &Settings{RetryRatio: 0.2, RetrySlack: 90, RetryWindow: 10 * time.Second}
	taken := 0
	for range hosts {
		b := newBudgets(settings, func() int { return hosts }, rand.New(rand.NewPCG(1, 1)))
		b.started = time.Now().Add(-time.Hour)
		for range fresh {
			b.RecordFirstAttempt("s")
		}
		failure := verdict.New(verdict.NotRun, verdict.TargetRefused, "full")
		for {
			a := retry.Attempt{Count: 1, Failure: failure, Deadline: time.Now().Add(time.Minute)}
			if !b.Decide("s", retry.Policy{MaxAttempts: 2}, a).Retry() {
				break
			}
			taken++
		}
	}
	if allowed := hosts*fresh/5 + 90; taken > allowed || taken < hosts {
		t.Fatalf("%d retries, %d are allowed", taken, allowed)
	}
}

// After a restart of a large fleet no daemon knows all peers yet. Guards against each of
// them using the slack of those that it knows: all together must stay within the slack,
// whatever part of the fleet each of them knows.
func TestSlackAfterStartStaysWithinFleetBudget(t *testing.T) {
	const hosts, slack = 295, 660
	failure := verdict.New(verdict.NotRun, verdict.TargetRefused, "full")
	for _, known := range []int{1, 10, 100, hosts} {
		taken := 0
		for range hosts {
			b := newBudgets(&Settings{RetryRatio: 0.2, RetrySlack: slack, RetryWindow: 10 * time.Second}, func() int { return known }, rand.New(rand.NewPCG(1, 1)))
			a := retry.Attempt{Count: 1, Failure: failure, Deadline: time.Now().Add(time.Minute)}
			if b.Decide("s", retry.Policy{MaxAttempts: 2}, a).Retry() {
				t.Fatal("a daemon retries as soon as it has started")
			}
			b.started = time.Now().Add(-2 * firstRetryTime)
			for b.Decide("s", retry.Policy{MaxAttempts: 2}, a).Retry() {
				taken++
			}
		}
		if taken > slack {
			t.Errorf("%d retries by daemons that know %d of %d, %d are allowed", taken, known, hosts, slack)
		}
	}
}

// A fleet is so large that a share of the slack is less than a retry.
func TestNoFirstRetryWithoutSlack(t *testing.T) {
	b := newBudgets(&Settings{RetryRatio: 0.2, RetrySlack: 230, RetryWindow: 10 * time.Second}, func() int { return 100 }, rand.New(rand.NewPCG(1, 1)))
	b.started = time.Now().Add(-2 * firstRetryTime)
	a := retry.Attempt{Count: 1, Failure: verdict.New(verdict.NotRun, verdict.TargetRefused, "full"), Deadline: time.Now().Add(time.Minute)}
	if b.Decide("s", retry.Policy{MaxAttempts: 2}, a).Retry() {
		t.Fatal("a daemon that knows 100 peers and may know a third takes a retry of 230")
	}
}

// Callers retry once. Guards against a retry time within which a starting daemon has no
// configuration yet, and against one far beyond that.
func TestRetryAfterCoversStart(t *testing.T) {
	spread := make(map[time.Duration]bool)
	for age := time.Duration(0); age < bootTime; age += 10 * time.Millisecond {
		after := retryAfter(age)
		if ready := age + after; ready < bootTime+minBootMargin || ready > bootTime+maxBootMargin {
			t.Fatalf("a daemon of age %s sends %s", age, after)
		}
		spread[(age + after).Round(time.Millisecond)] = true
	}
	if len(spread) < 20 {
		t.Fatalf("only %d different times", len(spread))
	}
	if after := retryAfter(bootTime); after < minOutageRetryAfter || after > maxOutageRetryAfter {
		t.Fatalf("%s after the start", after)
	}
}

func TestInvalidSettings(t *testing.T) {
	good := Settings{
		DataCentre: "dc", SharePort: 1, GracePeriod: time.Second, RetryWindow: time.Second,
		CallerAddress: netip.MustParseAddrPort("127.0.0.1:1"), ReadyAddress: netip.MustParseAddrPort("127.0.0.1:2"),
		PeerAddress: netip.MustParseAddrPort("127.0.0.1:3"), StoreAddress: netip.MustParseAddrPort("127.0.0.1:4"),
	}
	if err := good.Check(); err != nil {
		t.Fatal(err)
	}
	cases := map[string]func(*Settings){
		"callers":     func(s *Settings) { s.CallerAddress = netip.AddrPort{} },
		"data centre": func(s *Settings) { s.DataCentre = "" },
		"two ports":   func(s *Settings) { s.SharePort = 0 },
		"grace":       func(s *Settings) { s.GracePeriod = 0 },
		"budget":      func(s *Settings) { s.RetryRatio = -1 },
	}
	for want, invalidate := range cases {
		s := good
		invalidate(&s)
		if err := s.Check(); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("want an error with %q, got %v", want, err)
		}
	}
}

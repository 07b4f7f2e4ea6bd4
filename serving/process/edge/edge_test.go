package edge

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/replicas"
	"carobspoke.example/core/request/retry"
	"carobspoke.example/core/verdict"
	"carobspoke.example/core/version/routing"
	"carobspoke.example/serving/process/published"
	"carobspoke.example/serving/request/relay"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// source publishes one configuration and one target, and then nothing.
type source struct {
	target string
	down   bool
}

func (s *source) List(context.Context) (published.Batch, error) {
	if s.down {
		return published.Batch{}, errors.New("down")
	}
	return published.Batch{Revision: 5, Complete: true, Records: []published.Record{
		{Key: "config", Revision: 4, Value: []byte("{}")}, {Key: "target/t", Revision: 5, Value: []byte(s.target)},
	}}, nil
}

func (s *source) Watch(ctx context.Context, _ uint64, wait time.Duration) (published.Batch, error) {
	if s.down {
		return published.Batch{}, errors.New("down")
	}
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
	return published.Batch{Revision: 5}, nil
}

type decoder struct{}

func (decoder) TargetOf(key string) (names.Target, bool) {
	id, ok := strings.CutPrefix(key, "target/")
	return names.Target(id), ok
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
		}},
		Limits: routing.Limits{BodyBytes: 1000, IdleTimeout: 10 * time.Second},
	}, nil, nil
}

type codec struct{}

func (codec) Facts(r *http.Request) (relay.Facts, error) {
	return relay.Facts{ID: r.Header.Get("Id")}, nil
}

func (codec) Outgoing(*http.Request, *relay.Attempt) http.Header { return http.Header{} }

func (codec) Ours(*http.Response, *relay.Facts) bool { return true }

func (codec) Reply(*http.Response) relay.Reply { return relay.Reply{Whole: true} }

func (codec) Refuse(h http.Header, _ *relay.Facts, err *verdict.Error) int {
	h.Set("Reason", string(err.Reason))
	return http.StatusServiceUnavailable
}

var ports struct {
	sync.Mutex
	next uint16
}

// freePorts returns n ports on loopback that were free just now.
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
			list = nil // the ports must follow each other
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

// fleet starts daemons on addresses 127.0.0.1, 127.0.0.2 and so on.
func fleet(t *testing.T, n int, sourceOf func(i int) *source) []*Daemon {
	t.Helper()
	p := freePorts(t, 5)
	address := func(i, port int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i + 1)}), p[port])
	}
	var list []*Daemon
	for i := range n {
		d, err := New(Options{
			Settings: &Settings{
				Name: fmt.Sprint("host-", i), DataCentre: "dc", Regions: map[names.DataCentre]names.Region{"dc": "region"},
				Callers: address(i, 0), Ready: address(i, 1), Metrics: address(i, 2), Peer: address(i, 3), SharePort: p[4],
				ReadyPath: "/ready", MetricsPath: "/metrics", Seeds: []netip.AddrPort{address(0, 3)}, Store: address(i, 0),
				Grace: 6 * time.Second, RetryRatio: 0.2, RetrySlack: 100, RetryWindow: 10 * time.Second,
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
			t.Fatalf("not within 15 s: %s", what)
		}
	}
}

// slowTarget answers when it is let go.
func slowTarget(t *testing.T) (address string, letGo func()) {
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

// TestEveryDaemonKnowsTheDispatchesOfAll starts daemons one after the other;
// one whose list of peers lags tells the newest nothing.
func TestEveryDaemonKnowsTheDispatchesOfAll(t *testing.T) {
	address, letGo := slowTarget(t)
	daemons := fleet(t, 4, func(int) *source { return &source{target: address} })
	defer letGo()
	for _, d := range daemons {
		eventually(t, "ready", func() bool { status, _ := get(t, url(d.Settings.Ready, "/ready")); return status == http.StatusOK })
		eventually(t, "three peers", func() bool { return len(d.peerAddresses()) == 3 })
	}
	var calls sync.WaitGroup
	for _, d := range daemons {
		calls.Go(func() {
			if status, body := get(t, url(d.Settings.Callers, "/x")); status != http.StatusOK || body != "done" {
				t.Errorf("status %d, %q", status, body)
			}
		})
	}
	for _, d := range daemons {
		eventually(t, "four dispatches", func() bool { return d.board.Size() == 4 })
	}
	letGo()
	calls.Wait()
	for _, d := range daemons {
		eventually(t, "no dispatches", func() bool { return d.board.Size() == 0 })
	}
}

// TestADaemonWhoseStoreIsAwayLearnsFromPeers is ready without ever having read
// the store.
func TestADaemonWhoseStoreIsAwayLearnsFromPeers(t *testing.T) {
	address, letGo := slowTarget(t)
	letGo()
	daemons := fleet(t, 3, func(i int) *source { return &source{target: address, down: i == 2} })
	eventually(t, "ready", func() bool {
		status, _ := get(t, url(daemons[2].Settings.Ready, "/ready"))
		return status == http.StatusOK
	})
	if status, body := get(t, url(daemons[2].Settings.Callers, "/x")); status != http.StatusOK {
		t.Fatalf("status %d %q", status, body)
	}
	_, text := get(t, url(daemons[2].Settings.Metrics, "/metrics"))
	for _, line := range []string{"carobspoke_config_version 1", "carobspoke_targets 1", "carobspoke_answered_idempotent 1", "carobspoke_refused_overloaded 0"} {
		if !strings.Contains(text, line+"\n") {
			t.Errorf("metrics lack %q", line)
		}
	}
}

func TestADaemonThatKnowsNothingIsNotReady(t *testing.T) {
	daemons := fleet(t, 1, func(int) *source { return &source{down: true} })
	if status, _ := get(t, url(daemons[0].Settings.Ready, "/ready")); status != http.StatusServiceUnavailable {
		t.Fatalf("ready: %d", status)
	}
	if status, _ := get(t, url(daemons[0].Settings.Callers, "/x")); status != http.StatusServiceUnavailable {
		t.Fatalf("status %d", status)
	}
}

// TestAPlannedStopCutsNothing keeps a request in flight over the stop, and
// sends another while the balancer still may.
func TestAPlannedStopCutsNothing(t *testing.T) {
	address, letGo := slowTarget(t)
	d := fleet(t, 1, func(int) *source { return &source{target: address} })[0]
	eventually(t, "ready", func() bool { status, _ := get(t, url(d.Settings.Ready, "/ready")); return status == http.StatusOK })
	answers := make(chan string, 2)
	call := func() {
		status, body := get(t, url(d.Settings.Callers, "/x"))
		answers <- fmt.Sprint(status, " ", body)
	}
	go call()
	eventually(t, "one in flight", func() bool { return d.board.Size() == 1 })
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		d.Drain()
	}()
	eventually(t, "not ready", func() bool {
		status, _ := get(t, url(d.Settings.Ready, "/ready"))
		return status == http.StatusServiceUnavailable
	})
	go call()
	eventually(t, "two in flight", func() bool { return d.board.Size() == 2 })
	time.Sleep(turnAway)
	letGo()
	for range 2 {
		if got := <-answers; got != "200 done" {
			t.Errorf("answer %q", got)
		}
	}
	<-drained
}

func TestBudgetsAreAShareOfTheFleets(t *testing.T) {
	const hosts, fresh = 9, 50
	settings := &Settings{RetryRatio: 0.2, RetrySlack: 90, RetryWindow: 10 * time.Second}
	taken := 0
	for range hosts {
		b := newBudgets(settings, func() int { return hosts }, rand.New(rand.NewPCG(1, 1)))
		b.started = time.Now().Add(-time.Hour)
		for range fresh {
			b.Fresh("s")
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
		t.Fatalf("%d repeats, %d are allowed", taken, allowed)
	}
}

// TestARestartTakesNoSlack restarts all daemons of a large fleet, each of which
// knows no peer yet.
func TestARestartTakesNoSlack(t *testing.T) {
	b := newBudgets(&Settings{RetryRatio: 0.2, RetrySlack: 230, RetryWindow: 10 * time.Second}, func() int { return 1 }, rand.New(rand.NewPCG(1, 1)))
	failure := verdict.New(verdict.NotRun, verdict.TargetRefused, "full")
	a := retry.Attempt{Count: 1, Failure: failure, Deadline: time.Now().Add(time.Minute)}
	if b.Decide("s", retry.Policy{MaxAttempts: 2}, a).Retry() {
		t.Fatal("a daemon that has just started repeats without fresh requests")
	}
}

func TestSettingsThatCannotWork(t *testing.T) {
	good := Settings{
		DataCentre: "dc", SharePort: 1, Grace: time.Second, RetryWindow: time.Second,
		Callers: netip.MustParseAddrPort("127.0.0.1:1"), Ready: netip.MustParseAddrPort("127.0.0.1:2"),
		Peer: netip.MustParseAddrPort("127.0.0.1:3"), Store: netip.MustParseAddrPort("127.0.0.1:4"),
	}
	if err := good.Check(); err != nil {
		t.Fatal(err)
	}
	cases := map[string]func(*Settings){
		"callers":     func(s *Settings) { s.Callers = netip.AddrPort{} },
		"data centre": func(s *Settings) { s.DataCentre = "" },
		"two ports":   func(s *Settings) { s.SharePort = 0 },
		"grace":       func(s *Settings) { s.Grace = 0 },
		"budget":      func(s *Settings) { s.RetryRatio = -1 },
	}
	for want, spoil := range cases {
		s := good
		spoil(&s)
		if err := s.Check(); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("want an error with %q, got %v", want, err)
		}
	}
}

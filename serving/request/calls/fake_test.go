package calls

import (
	"context"
	"io"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/request/retry"
	"carobspoke.example/core/request/ticket"
	"carobspoke.example/core/target"
	"carobspoke.example/core/verdict"
	"carobspoke.example/serving/connection/targetapi"
	gencalls "carobspoke.example/serving/gen/calls"
	"carobspoke.example/serving/peerpb"
	"carobspoke.example/serving/request/retries"
)

// world is a fleet of servers that reach each other, before one service.
type world struct {
	servers map[names.Host]*Server
	// cut hosts are not reached by others.
	cut map[names.Host]bool
	// live is what the servers take for the members.
	live []names.Host

	mu      sync.Mutex
	actions []string
	// fail is what the service answers after it acted, or before if the
	// verdict is NotRun.
	fail *verdict.Error
	// hold is what the service waits for before it acts, if it is set.
	hold chan struct{}
	// lost is how many answers of peers are still to be lost.
	lost int
	// pause is how long Pick takes.
	pause time.Duration
}

func newWorld(t *testing.T, hosts ...names.Host) *world {
	t.Helper()
	w := &world{servers: map[names.Host]*Server{}, cut: map[names.Host]bool{}, live: hosts}
	for i, host := range hosts {
		w.boot(t, host, names.Incarnation(i+1))
	}
	return w
}

func (w *world) boot(t *testing.T, host names.Host, incarnation names.Incarnation) {
	t.Helper()
	ring, err := ticket.NewKeyring([]byte(strings.Repeat("k", ticket.SecretBytes)))
	if err != nil {
		t.Fatal(err)
	}
	random := rand.New(rand.NewPCG(1, uint64(incarnation)))
	server := New(Deps{
		Self:         Self{Host: host, Incarnation: incarnation, Started: time.Now()},
		Limits:       DefaultLimits(),
		Clock:        time.Now,
		Random:       rand.NewChaCha8([32]byte{byte(incarnation)}),
		Ring:         func() *ticket.Keyring { return ring },
		Authenticate: authenticate,
		Directory:    w,
		Picker:       w,
		Peers:        forward{w},
		Retries:      retries.New(retry.Default(), time.Now, random, func(retry.Outcome, verdict.Reason) {}),
		Choose:       func(_ names.Digest, members []names.Host) names.Host { return members[0] },
		Count:        func(verdict.Reason) {},
		RequestID:    func() string { return "r" },
	})
	w.servers[host] = server
	server.Observe(w.live, len(w.live))
}

func authenticate(authorization string) (names.Customer, error) {
	if authorization == "" {
		return "", verdict.New(verdict.NotRun, verdict.Unauthenticated, "no key")
	}
	return names.Customer(authorization), nil
}

// Service implements Directory.
func (w *world) Service(customer names.Customer, service names.Service) (Service, error) {
	if customer == "stranger" {
		return Service{}, verdict.New(verdict.NotRun, verdict.NotAllowed, "not allowed")
	}
	return Service{Idempotent: service == "status"}, nil
}

// Pick implements Picker.
func (w *world) Pick(names.Service, []names.Target) (names.Target, targetapi.Service, error) {
	time.Sleep(w.pause)
	return "s1", w, nil
}

// Call implements targetapi.Service.
func (w *world) Call(_ context.Context, c target.Call) (target.Reply, error) {
	w.mu.Lock()
	hold, fail := w.hold, w.fail
	w.mu.Unlock()
	if hold != nil {
		<-hold
	}
	if fail != nil && fail.Verdict == verdict.NotRun {
		return target.Reply{}, fail
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.actions = append(w.actions, string(c.Body))
	if fail != nil {
		return target.Reply{}, fail
	}
	return target.Reply{Status: 200, Body: []byte("done " + strconv.Itoa(len(w.actions)))}, nil
}

func (w *world) acted() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.actions)
}

// forward reaches a server directly.
type forward struct{ *world }

// Call implements Peers.
func (f forward) Call(ctx context.Context, host names.Host, in *peerpb.CallRequest) (*peerpb.CallReply, error) {
	if f.cut[host] {
		return nil, verdict.New(verdict.NotRun, verdict.PeerUnreachable, "refused")
	}
	reply, err := f.servers[host].Forwarded(ctx, in)
	if f.lost > 0 {
		f.lost--
		return nil, verdict.New(verdict.MayHaveRun, verdict.PeerUnreachable, "reset")
	}
	return reply, err
}

// Gone implements Peers.
func (f forward) Gone(host names.Host, incarnation names.Incarnation) bool {
	return f.servers[host].deps.Self.Incarnation > incarnation
}

// sent is a caller's send.
type sent struct {
	customer, service, ticket, key, body string
}

func (w *world) send(ctx context.Context, host names.Host, s sent) (string, bool, error) {
	payload := &gencalls.CallPayload{Authorization: &s.customer, Service: s.service}
	if s.ticket != "" {
		payload.Ticket = &s.ticket
	}
	if s.key != "" {
		payload.Key = &s.key
	}
	result, body, err := w.servers[host].Call(ctx, payload, io.NopCloser(strings.NewReader(s.body)))
	if err != nil {
		return "", false, err
	}
	text, err := io.ReadAll(body)
	return string(text), result.Replayed, err
}

func (w *world) mint(t *testing.T, host names.Host) string {
	t.Helper()
	customer := "a"
	result, err := w.servers[host].Ticket(t.Context(), &gencalls.TicketPayload{Authorization: &customer, Service: "file"})
	if err != nil {
		t.Fatal(err)
	}
	return result.Ticket
}

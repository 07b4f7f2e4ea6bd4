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

// testFleet is a fleet of servers that can call each other, and the only replica
// of each service.
type testFleet struct {
	servers map[names.Host]*Server
	// unreachable holds the hosts that other hosts cannot call.
	unreachable map[names.Host]bool
	// members is what the servers observe as live members.
	members []names.Host

	mu sync.Mutex
	// actions holds the bodies of the calls that the service ran.
	actions []string
	// serviceFailure is the service's answer, unless it is nil. The service acts
	// before it fails, except if the verdict is NotRun.
	serviceFailure *verdict.Error
	// unblock, unless nil, blocks the service before it acts until it is closed.
	unblock chan struct{}
	// repliesToDrop is the number of replies of peers still to be dropped.
	repliesToDrop int
	// pickDelay is how long Pick takes.
	pickDelay time.Duration
}

func newTestFleet(t *testing.T, hosts ...names.Host) *testFleet {
	t.Helper()
	fleet := &testFleet{servers: map[names.Host]*Server{}, unreachable: map[names.Host]bool{}, members: hosts}
	for i, host := range hosts {
		fleet.start(t, host, names.Incarnation(i+1))
	}
	return fleet
}

func (fleet *testFleet) start(t *testing.T, host names.Host, incarnation names.Incarnation) {
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
		Keyring:      func() *ticket.Keyring { return ring },
		Authenticate: authenticate,
		Directory:    fleet,
		Picker:       fleet,
		Peers:        fakePeers{fleet},
		Retries:      retries.New(retry.Default(), time.Now, random, func(retry.Outcome, verdict.Reason) {}),
		ChooseHome:   func(_ names.Digest, members []names.Host) names.Host { return members[0] },
		CountFailure: func(verdict.Reason) {},
		NewRequestID: func() string { return "r" },
	})
	fleet.servers[host] = server
	server.SetMembers(fleet.members, len(fleet.members))
}

func authenticate(authorization string) (names.Customer, error) {
	if authorization == "" {
		return "", verdict.New(verdict.NotRun, verdict.Unauthenticated, "no key")
	}
	return names.Customer(authorization), nil
}

// Service implements Directory.
func (fleet *testFleet) Service(customer names.Customer, service names.Service) (Service, error) {
	if customer == "stranger" {
		return Service{}, verdict.New(verdict.NotRun, verdict.NotAllowed, "not allowed")
	}
	return Service{Idempotent: service == "status"}, nil
}

// Pick implements Picker.
func (fleet *testFleet) Pick(names.Service, []names.Target) (names.Target, targetapi.Service, error) {
	time.Sleep(fleet.pickDelay)
	return "s1", fleet, nil
}

// Call implements targetapi.Service.
func (fleet *testFleet) Call(_ context.Context, c target.Call) (target.Reply, error) {
	fleet.mu.Lock()
	unblock, failure := fleet.unblock, fleet.serviceFailure
	fleet.mu.Unlock()
	if unblock != nil {
		<-unblock
	}
	if failure != nil && failure.Verdict == verdict.NotRun {
		return target.Reply{}, failure
	}
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	fleet.actions = append(fleet.actions, string(c.Body))
	if failure != nil {
		return target.Reply{}, failure
	}
	return target.Reply{Status: 200, Body: []byte("done " + strconv.Itoa(len(fleet.actions)))}, nil
}

func (fleet *testFleet) actionCount() int {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	return len(fleet.actions)
}

// fakePeers calls the servers of a fleet directly.
type fakePeers struct{ *testFleet }

// Call implements Peers.
func (f fakePeers) Call(ctx context.Context, host names.Host, in *peerpb.CallRequest) (*peerpb.CallReply, error) {
	if f.unreachable[host] {
		return nil, verdict.New(verdict.NotRun, verdict.PeerUnreachable, "refused")
	}
	reply, err := f.servers[host].RunForwarded(ctx, in)
	if f.repliesToDrop > 0 {
		f.repliesToDrop--
		return nil, verdict.New(verdict.MayHaveRun, verdict.PeerUnreachable, "reset")
	}
	return reply, err
}

// Superseded implements Peers.
func (f fakePeers) Superseded(host names.Host, incarnation names.Incarnation) bool {
	return f.servers[host].deps.Self.Incarnation > incarnation
}

// sendArgs is one send of a call by a caller.
type sendArgs struct {
	customer, service, ticket, key, body string
}

func (fleet *testFleet) send(ctx context.Context, host names.Host, args sendArgs) (string, bool, error) {
	payload := &gencalls.CallPayload{Authorization: &args.customer, Service: args.service}
	if args.ticket != "" {
		payload.Ticket = &args.ticket
	}
	if args.key != "" {
		payload.Key = &args.key
	}
	result, body, err := fleet.servers[host].Call(ctx, payload, io.NopCloser(strings.NewReader(args.body)))
	if err != nil {
		return "", false, err
	}
	text, err := io.ReadAll(body)
	return string(text), result.Replayed, err
}

func (fleet *testFleet) mint(t *testing.T, host names.Host) string {
	t.Helper()
	customer := "a"
	result, err := fleet.servers[host].Ticket(t.Context(), &gencalls.TicketPayload{Authorization: &customer, Service: "file"})
	if err != nil {
		t.Fatal(err)
	}
	return result.Ticket
}

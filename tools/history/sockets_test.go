package history

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
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
	"carobspoke.example/serving/connection/peers"
	"carobspoke.example/serving/connection/targetapi"
	gencalls "carobspoke.example/serving/gen/calls"
	"carobspoke.example/serving/peerpb"
	"carobspoke.example/serving/process/budget"
	"carobspoke.example/serving/request/calls"
	"carobspoke.example/serving/request/retries"
)

// faultyService is a plain service over HTTP that sometimes refuses a call, closes
// the connection before or after it executes the call, or answers with a 502 after
// the execution.
type faultyService struct {
	recorder   *Recorder
	mu         sync.Mutex
	random     *rand.Rand
	executions int
}

func (s *faultyService) randomInt(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.IntN(n)
}

// ServeHTTP implements http.Handler.
func (s *faultyService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var call target.Call
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		panic(http.ErrAbortHandler)
	}
	fault := s.randomInt(10)
	switch fault {
	case 0:
		panic(http.ErrAbortHandler) // closes the connection
	case 1:
		w.Header().Set(targetapi.NotRunHeader, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	answer := s.execute(string(call.Body))
	switch fault {
	case 2, 3:
		panic(http.ErrAbortHandler)
	case 4:
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	reply := target.Reply{ID: call.ID, Attempt: call.Attempt, Status: http.StatusOK, Body: []byte(answer)}
	_ = json.NewEncoder(w).Encode(reply) // after an error the client receives a cut answer
}

func (s *faultyService) execute(call string) string {
	s.mu.Lock()
	s.executions++
	answer := strconv.Itoa(s.executions)
	s.mu.Unlock()
	s.recorder.RecordInstant(0, CallInput{Call: call, IsExecution: true}, CallOutput{Answer: answer})
	return answer
}

// flakyProxy forwards TCP connections until closeConns closes them all.
type flakyProxy struct {
	listener net.Listener
	mu       sync.Mutex
	conns    map[net.Conn]bool
}

func newFlakyProxy(t *testing.T, to string) *flakyProxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := &flakyProxy{listener: listener, conns: map[net.Conn]bool{}}
	t.Cleanup(func() { _ = listener.Close(); c.closeConns() })
	go func() {
		for {
			in, err := listener.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", to)
			if err != nil {
				_ = in.Close()
				continue
			}
			c.mu.Lock()
			c.conns[in], c.conns[out] = true, true
			c.mu.Unlock()
			go func() { _, _ = io.Copy(in, out); _ = in.Close() }()
			go func() { _, _ = io.Copy(out, in); _ = out.Close() }()
		}
	}()
	return c
}

func (c *flakyProxy) closeConns() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.conns {
		_ = conn.Close()
		delete(c.conns, conn)
	}
}

// socketFleet is a set of daemons that forward calls over real gRPC and call the
// service over real HTTP.
type socketFleet struct {
	recorder *Recorder
	service  string
	servers  []*calls.Server
	proxies  []*flakyProxy
}

func newSocketFleet(t *testing.T, daemons int) *socketFleet {
	t.Helper()
	f := &socketFleet{recorder: &Recorder{}}
	service := httptest.NewServer(&faultyService{recorder: f.recorder, random: rand.New(rand.NewPCG(1, 1))})
	service.Config.ErrorLog = nil
	t.Cleanup(service.Close)
	f.service = strings.TrimPrefix(service.URL, "http://")
	ring, err := ticket.NewKeyring([]byte(strings.Repeat("k", ticket.SecretBytes)))
	if err != nil {
		t.Fatal(err)
	}
	for i := range daemons {
		f.add(t, i, ring)
	}
	return f
}

func (f *socketFleet) add(t *testing.T, i int, ring *ticket.Keyring) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	proxy := newFlakyProxy(t, listener.Addr().String())
	pool := peers.NewPool(nil, budget.RPCMeter{Meter: &budget.Meter{}}, nil)
	t.Cleanup(pool.Close)
	transport := targetapi.NewTransport()
	t.Cleanup(transport.CloseIdleConnections)
	server := calls.New(calls.Deps{
		Self:         calls.Self{Host: names.Host(proxy.listener.Addr().String()), Incarnation: 1, Started: time.Now()},
		Limits:       calls.DefaultLimits(),
		Clock:        time.Now,
		Random:       &lockedReader{source: rand.NewChaCha8([32]byte{byte(i)})},
		Keyring:      func() *ticket.Keyring { return ring },
		Authenticate: func(a string) (names.Customer, error) { return names.Customer(a), nil },
		Directory:    anyServiceDirectory{},
		Picker:       &singlePicker{service: targetapi.NewClient(f.service, transport)},
		Peers:        &calls.GRPCPeers{Conn: pool.Conn, NewestIncarnation: func(names.Host) names.Incarnation { return 1 }},
		Retries:      retries.New(retry.Default(), time.Now, rand.New(rand.NewPCG(1, uint64(i))), func(retry.Outcome, verdict.Reason) {}),
		ChooseHome:   rendezvous,
		CountFailure: func(verdict.Reason) {},
		NewRequestID: func() string { return "r" },
	})
	grpcServer := peers.NewServer(nil, nil)
	peerpb.RegisterForwardingServer(grpcServer, &forwarding{server: server})
	go grpcServer.Serve(listener) //nolint:errcheck // it returns when the test stops the server
	t.Cleanup(grpcServer.Stop)
	f.servers = append(f.servers, server)
	f.proxies = append(f.proxies, proxy)
}

type forwarding struct {
	peerpb.UnimplementedForwardingServer
	server *calls.Server
}

// Call implements peerpb.ForwardingServer.
func (f *forwarding) Call(ctx context.Context, in *peerpb.CallRequest) (*peerpb.CallReply, error) {
	return f.server.RunForwarded(ctx, in)
}

// anyServiceDirectory is a directory in which every service exists.
type anyServiceDirectory struct{}

// Service implements calls.Directory.
func (anyServiceDirectory) Service(names.Customer, names.Service) (calls.Service, error) {
	return calls.Service{}, nil
}

// singlePicker always picks the same replica.
type singlePicker struct{ service targetapi.Service }

// Pick implements calls.Picker.
func (p *singlePicker) Pick(names.Service, []names.Target) (names.Target, targetapi.Service, error) {
	return "s", p.service, nil
}

// TestAtMostOnceOverSockets sends calls through daemons whose connections to each
// other are closed (those to one daemon every 7 ms) and whose service closes
// connections before and after it executes a call. The timing of sockets is not seeded: at-most-once execution
// must hold in every run.
func TestAtMostOnceOverSockets(t *testing.T) {
	const callers, callsEach = 8, 25
	f := newSocketFleet(t, 3)
	stop := make(chan struct{})
	go func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(7 * time.Millisecond):
				f.proxies[i%len(f.proxies)].closeConns()
			}
		}
	}()
	var wait sync.WaitGroup
	for client := range callers {
		wait.Go(func() {
			for n := range callsEach {
				f.call(t, client, fmt.Sprintf("call-%d-%d", client, n))
			}
		})
	}
	wait.Wait()
	close(stop)
	var seen tally
	if !seen.add(t, f.recorder.Operations()) {
		logViolations(t, f.recorder.Operations())
		t.Error("a call violated at-most-once execution")
	}
	t.Logf("%+v", seen)
	if seen.executions < callers*callsEach/2 {
		t.Error("fewer than half of the calls were executed")
	}
}

// call sends a call through each daemon in turn, up to four times, until a send
// after the first is answered.
func (f *socketFleet) call(t *testing.T, client int, call string) {
	customer, timeout := "a", int64(3000)
	minted, err := f.servers[client%len(f.servers)].Ticket(t.Context(), &gencalls.TicketPayload{Authorization: &customer, Service: "file"})
	if err != nil {
		t.Error(err)
		return
	}
	for i := range 4 {
		end := f.recorder.Begin(client+1, CallInput{Call: call})
		payload := &gencalls.CallPayload{Authorization: &customer, Service: "file", TimeoutMs: &timeout, Ticket: &minted.Ticket}
		_, body, err := f.servers[(client+i+1)%len(f.servers)].Call(t.Context(), payload, io.NopCloser(strings.NewReader(call)))
		if err != nil {
			end(CallOutput{Failed: true, Verdict: verdict.From(err).Verdict})
			continue
		}
		answer, err := io.ReadAll(body)
		if err != nil {
			t.Error(err)
		}
		end(CallOutput{Answer: string(answer)})
		if i > 0 {
			return // a call answered at its first send is sent once more
		}
	}
}

// TestNaiveCallerOverSockets sends the same kind of calls directly to the service
// with a plain client that resends after errors. Some calls must be executed twice,
// which shows that the faults of the service are detected.
func TestNaiveCallerOverSockets(t *testing.T) {
	f := newSocketFleet(t, 0)
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for n := range 100 {
		call := fmt.Sprintf("call-%d", n)
		encoded, err := json.Marshal(target.Call{ID: call, Attempt: 1, Body: []byte(call)})
		if err != nil {
			t.Fatal(err)
		}
		for range 3 {
			request, err := http.NewRequest(http.MethodPost, "http://"+f.service+"/v1/calls", bytes.NewReader(encoded))
			if err != nil {
				t.Fatal(err)
			}
			request.Header.Set("Idempotency-Key", call)
			response, err := client.Do(request)
			if err != nil {
				continue
			}
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				break
			}
		}
	}
	var seen tally
	seen.add(t, f.recorder.Operations())
	t.Logf("%+v", seen)
	if seen.violations == 0 {
		t.Error("no call violated at-most-once execution: the service has too few faults")
	}
}

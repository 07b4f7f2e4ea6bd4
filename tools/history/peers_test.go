package history

import (
	"context"
	"io"
	"slices"
	"strings"
	"sync"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/target"
	"carobspoke.example/core/verdict"
	gencalls "carobspoke.example/serving/gen/calls"
	"carobspoke.example/serving/peerpb"
	"github.com/cespare/xxhash/v2"
)

// maxTransitDelay is the longest time that a message takes between two hosts.
const maxTransitDelay = 20 * time.Millisecond

// result is the return value of a function that runs in a daemon.
type result[T any] struct {
	value T
	err   error
}

// runIn runs f in a daemon. It returns an error if the daemon dies or ctx ends
// before f returns; f itself continues when ctx ends.
func runIn[T any](ctx context.Context, d *daemon, f func() (T, error)) (T, error) {
	done := make(chan result[T], 1)
	go func() {
		d.waitWhilePaused(sendName(ctx))
		value, err := f()
		d.waitWhilePaused(sendName(ctx))
		done <- result[T]{value, err}
	}()
	var none T
	select {
	case r := <-done:
		return r.value, r.err
	case <-d.dead:
		return none, verdict.New(verdict.MayHaveRun, verdict.PeerFailed, "reset")
	case <-ctx.Done():
		return none, verdict.New(verdict.MayHaveRun, verdict.DeadlineExceeded, "timeout")
	}
}

// peerLink is the connections of a daemon to its peers.
type peerLink struct{ *daemon }

// Call implements calls.Peers.
func (l peerLink) Call(ctx context.Context, host names.Host, in *peerpb.CallRequest) (*peerpb.CallReply, error) {
	return runOnPeer(ctx, l.daemon, host, func(d *daemon) (*peerpb.CallReply, error) {
		return d.server.RunForwarded(ctx, in)
	})
}

// Superseded implements calls.Peers.
func (l peerLink) Superseded(host names.Host, incarnation names.Incarnation) bool {
	d := l.fleet.daemon(host)
	return d != nil && d.incarnation > incarnation
}

// runOnPeer runs f in the daemon of another host. A partition drops the request or
// the answer, so that the sender waits until ctx ends; a host without a daemon
// refuses the connection.
func runOnPeer[T any](ctx context.Context, from *daemon, host names.Host, f func(*daemon) (T, error)) (T, error) {
	fleet, name := from.fleet, sendName(ctx)
	var none T
	lost := verdict.New(verdict.MayHaveRun, verdict.DeadlineExceeded, "timeout")
	fleet.delay(maxTransitDelay, "there", from.incarnation, host, name)
	if fleet.isPartitioned(from.host, host) {
		<-ctx.Done()
		return none, lost
	}
	peer := fleet.daemon(host)
	if peer == nil {
		return none, verdict.New(verdict.NotRun, verdict.PeerUnreachable, "refused")
	}
	value, err := runIn(ctx, peer, func() (T, error) { return f(peer) })
	fleet.delay(maxTransitDelay, "back", from.incarnation, host, name)
	if fleet.isPartitioned(host, from.host) {
		<-ctx.Done()
		return none, lost
	}
	from.waitWhilePaused(name)
	return value, err
}

// callServer sends a call to the real serving code of a daemon.
func callServer(ctx context.Context, d *daemon, ticket, key, call string) (string, error) {
	customer, timeout := "a", int64(8000)
	payload := &gencalls.CallPayload{Authorization: &customer, Service: "file", TimeoutMs: &timeout}
	if ticket != "" {
		payload.Ticket = &ticket
	}
	if key != "" {
		payload.Key = &key
	}
	_, body, err := d.server.Call(ctx, payload, io.NopCloser(strings.NewReader(call)))
	if err != nil {
		return "", err
	}
	text, err := io.ReadAll(body)
	return string(text), err
}

// naiveServer is a simple implementation for comparison, of a kind that many
// systems use: a key's home is chosen by its hash and caches answers, and failed
// calls are resent.
type naiveServer struct {
	mu      sync.Mutex
	answers map[string]string
}

// callNaively sends a call through a daemon to the key's home, and after an error
// to the next host in the key's order.
func callNaively(ctx context.Context, d *daemon, call string) (string, error) {
	var last error
	for _, host := range d.fleet.hostOrder(call) {
		answer, err := runOnPeer(ctx, d, host, func(home *daemon) (string, error) {
			return home.naive.run(ctx, home, call)
		})
		if err == nil {
			return answer, nil
		}
		last = err
	}
	return "", last
}

// run returns the cached answer of a call, or calls the service up to three times.
func (n *naiveServer) run(ctx context.Context, d *daemon, call string) (string, error) {
	n.mu.Lock()
	answer, ok := n.answers[call]
	n.mu.Unlock()
	if ok {
		return answer, nil
	}
	var last error
	for attempt := range uint32(3) {
		reply, err := d.Call(ctx, target.Call{ID: call, Attempt: attempt, Body: []byte(call)})
		if err == nil {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.answers[call] = string(reply.Body)
			return string(reply.Body), nil
		}
		last = err
	}
	return "", last
}

// hostOrder returns the live hosts by descending rendezvous score of a key, the
// key's home first.
func (f *fleet) hostOrder(key string) []names.Host {
	var live []names.Host
	for _, host := range hosts {
		if f.daemon(host) != nil {
			live = append(live, host)
		}
	}
	slices.SortFunc(live, func(a, b names.Host) int {
		if score(key, a) > score(key, b) {
			return -1
		}
		return 1
	})
	return live
}

// rendezvous returns the home of a key: the member with the highest score.
func rendezvous(key names.Digest, members []names.Host) names.Host {
	return slices.MaxFunc(members, func(a, b names.Host) int {
		if score(string(key), a) < score(string(key), b) {
			return -1
		}
		return 1
	})
}

func score(key string, host names.Host) uint64 {
	return xxhash.Sum64String(key + "/" + string(host))
}

// lockedReader is a reader of random bytes that is safe for concurrent use.
type lockedReader struct {
	mu     sync.Mutex
	source io.Reader
}

// Read implements io.Reader.
func (r *lockedReader) Read(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.source.Read(p)
}

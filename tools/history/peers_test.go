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

// transit is the longest time of a message between two hosts.
const transit = 20 * time.Millisecond

// result is what a daemon answers with.
type result[T any] struct {
	value T
	err   error
}

// enter runs f in a daemon. It fails when the daemon dies or ctx ends first,
// which does not end f.
func enter[T any](ctx context.Context, d *daemon, f func() (T, error)) (T, error) {
	done := make(chan result[T], 1)
	go func() {
		d.halt(nameOf(ctx))
		value, err := f()
		d.halt(nameOf(ctx))
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

// link is a daemon's connections to the others.
type link struct{ *daemon }

// Call implements calls.Peers.
func (l link) Call(ctx context.Context, host names.Host, in *peerpb.CallRequest) (*peerpb.CallReply, error) {
	return across(ctx, l.daemon, host, func(d *daemon) (*peerpb.CallReply, error) {
		return d.server.RunForwarded(ctx, in)
	})
}

// Superseded implements calls.Peers.
func (l link) Superseded(host names.Host, incarnation names.Incarnation) bool {
	d := l.fleet.daemon(host)
	return d != nil && d.number > incarnation
}

// across runs f in another daemon. A cut connection loses the request, or the
// answer, without a word; a host without a daemon refuses.
func across[T any](ctx context.Context, from *daemon, host names.Host, f func(*daemon) (T, error)) (T, error) {
	fleet, what := from.fleet, nameOf(ctx)
	var none T
	lost := verdict.New(verdict.MayHaveRun, verdict.DeadlineExceeded, "timeout")
	fleet.delay(transit, "there", from.number, host, what)
	if fleet.isCut(from.host, host) {
		<-ctx.Done()
		return none, lost
	}
	peer := fleet.daemon(host)
	if peer == nil {
		return none, verdict.New(verdict.NotRun, verdict.PeerUnreachable, "refused")
	}
	value, err := enter(ctx, peer, func() (T, error) { return f(peer) })
	fleet.delay(transit, "back", from.number, host, what)
	if fleet.isCut(host, from.host) {
		<-ctx.Done()
		return none, lost
	}
	from.halt(what)
	return value, err
}

// ours sends a call to a daemon's real serving code.
func ours(ctx context.Context, d *daemon, ticket, key, call string) (string, error) {
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

// naive is the memory of a daemon that serves calls as many systems do: a key
// has a home by its hash, which remembers answers; errors are resent.
type naive struct {
	mu      sync.Mutex
	answers map[string]string
}

// naively sends a call through a daemon to the key's home, and on an error to
// the next in the order of the key.
func naively(ctx context.Context, d *daemon, call string) (string, error) {
	var last error
	for _, host := range d.fleet.order(call) {
		answer, err := across(ctx, d, host, func(home *daemon) (string, error) {
			return home.naive.run(ctx, home, call)
		})
		if err == nil {
			return answer, nil
		}
		last = err
	}
	return "", last
}

func (n *naive) run(ctx context.Context, d *daemon, call string) (string, error) {
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

// order returns the live hosts, a key's home first.
func (f *fleet) order(key string) []names.Host {
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

// rendezvous is the choice of a key's home.
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

// lockedReader is a source of random bytes for several goroutines.
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

package joint

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/version/manifest"
	"carobspoke.example/serving/platform"
	"carobspoke.example/serving/process/daemon"
	"carobspoke.example/tools/dev"
	"carobspoke.example/tools/history"
	"carobspoke.example/tools/standin/engine"
	"carobspoke.example/tools/standin/fleet"
	"go.uber.org/zap"
)

const (
	speedup = 50
	// patience bounds every wait for something that must come.
	patience = 40 * time.Second
	poll     = 20 * time.Millisecond
)

// bench is daemons before stand-ins, with a network between them.
type bench struct {
	*dev.Environment
	net *Net

	mu sync.Mutex
	// away holds the hosts that do not reach the platform.
	away  map[names.Host]bool
	seeds []names.Host
}

func start(t *testing.T, daemons int) *bench {
	t.Helper()
	return startWith(t, daemons, nil, nil)
}

// startWith starts a bench with other engines or another manifest.
func startWith(t *testing.T, daemons int, engines func(int, *engine.Config), adjust func(*manifest.Manifest)) *bench {
	t.Helper()
	b := &bench{net: NewNet(), away: map[names.Host]bool{}}
	d, err := dev.Start(t.Context(), dev.Config{
		Fleet:          fleet.Config{Size: fleet.Dev, Speedup: speedup, AdjustEngine: engines},
		Daemons:        daemons,
		AdjustManifest: adjust,
		Log:            zap.NewNop(),
		AdjustOptions:  b.attach,
	})
	if err != nil {
		t.Fatal(err)
	}
	b.Environment = d
	t.Cleanup(d.Close)
	return b
}

func (b *bench) attach(o *daemon.Options) {
	b.mu.Lock()
	o.Settings.Peer.Seeds = b.seeds
	b.mu.Unlock()
	b.net.Attach(o)
	client := platform.NewClient(o.Settings.Platform.Address, http.DefaultTransport)
	o.Platform = &reach{Platform: client, bench: b, host: o.Settings.Host}
}

// setSeeds gives daemons that are added later their first peers.
func (b *bench) setSeeds(hosts []names.Host) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.seeds = hosts
}

// reach is the platform as one host reaches it.
type reach struct {
	platform.Platform
	bench *bench
	host  names.Host
}

func (r *reach) allowed() error {
	r.bench.mu.Lock()
	defer r.bench.mu.Unlock()
	if r.bench.away[r.host] {
		return platform.ErrUnavailable
	}
	return nil
}

func (r *reach) Get(ctx context.Context, key string) (platform.Value, error) {
	if err := r.allowed(); err != nil {
		return platform.Value{}, err
	}
	return r.Platform.Get(ctx, key)
}

func (r *reach) Watch(ctx context.Context, key string, after platform.Revision) (platform.Value, error) {
	value, err := r.Platform.Watch(ctx, key, after)
	if away := r.allowed(); away != nil {
		return platform.Value{}, away
	}
	return value, err
}

func (r *reach) Hosts(ctx context.Context) ([]platform.HostEntry, error) {
	if err := r.allowed(); err != nil {
		return nil, err
	}
	return r.Platform.Hosts(ctx)
}

// setAway switches whether hosts reach the platform.
func (b *bench) setAway(hosts []names.Host, away bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, host := range hosts {
		b.away[host] = away
	}
}

// publishNext publishes the manifest with the next version.
func (b *bench) publishNext(t *testing.T) names.Version {
	t.Helper()
	m := b.Manifest()
	m.Version++
	if err := b.Publish(m); err != nil {
		t.Fatal(err)
	}
	return m.Version
}

func hostsOf(daemons []*daemon.Daemon) []names.Host {
	hosts := make([]names.Host, 0, len(daemons))
	for _, d := range daemons {
		hosts = append(hosts, d.Host())
	}
	return hosts
}

// sides parts the daemons in two halves and returns them.
func (b *bench) sides() (one, other []*daemon.Daemon) {
	all := b.Daemons()
	one, other = all[:len(all)/2], all[len(all)/2:]
	b.net.Part(hostsOf(one), hostsOf(other))
	return one, other
}

func version(d *daemon.Daemon) names.Version { return d.Versions().Current().Version() }

// within waits until something holds and returns how long it took.
func within(t *testing.T, what string, holds func() bool) time.Duration {
	t.Helper()
	began := time.Now()
	for !holds() {
		if time.Since(began) > patience {
			t.Fatalf("not after %s: %s", patience, what)
		}
		time.Sleep(poll)
	}
	return time.Since(began)
}

// all reports whether something holds of each daemon.
func all(daemons []*daemon.Daemon, holds func(*daemon.Daemon) bool) bool {
	for _, d := range daemons {
		if !holds(d) {
			return false
		}
	}
	return true
}

// see reports whether each daemon sees so many members.
func (b *bench) see(members int) bool {
	return all(b.Daemons(), func(d *daemon.Daemon) bool { return d.LiveMemberCount() == members })
}

// watchVersions records the versions of daemons until the result is called.
func watchVersions(daemons []*daemon.Daemon, recorder *history.Recorder) (stop func()) {
	over := make(chan struct{})
	var running sync.WaitGroup
	running.Go(func() {
		for {
			for i, d := range daemons {
				recorder.RecordInstant(i, history.VersionInput{Observer: string(d.Host())}, version(d))
			}
			select {
			case <-over:
				return
			case <-time.After(poll):
			}
		}
	})
	return func() {
		close(over)
		running.Wait()
	}
}

type reply struct {
	status int
	header http.Header
	body   []byte
}

// post sends a request to a daemon as customer-a. A broken connection is a
// reply with status 0.
func post(ctx context.Context, address, path, body string, header map[string]string) reply {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return reply{body: []byte(err.Error())}
	}
	request.GetBody = nil // so that the client resends nothing by itself
	request.Header.Set("Authorization", "Bearer "+fleet.APIKey("customer-a"))
	for name, value := range header {
		request.Header.Set(name, value)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return reply{body: []byte(err.Error())}
	}
	defer response.Body.Close() //nolint:errcheck // it is read whole
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return reply{body: []byte(err.Error())}
	}
	return reply{status: response.StatusCode, header: response.Header, body: text}
}

const (
	completions = "/v1/completions"
	prompt      = `{"model":"draft","prompt":"x","max_tokens":3}`
)

// answers fails the test if a daemon does not answer a prompt.
func answers(t *testing.T, daemons []*daemon.Daemon) {
	t.Helper()
	for _, d := range daemons {
		got := post(t.Context(), d.CallerAddress(), completions, prompt, nil)
		if got.status != http.StatusOK {
			t.Fatalf("%s: %d %s", d.Host(), got.status, got.body)
		}
	}
}

// TestPartitionedSideKeepsItsVersion publishes while only one side of a
// partition reaches the platform.
func TestPartitionedSideKeepsItsVersion(t *testing.T) {
	t.Parallel()
	b := start(t, 6)
	recorder := &history.Recorder{}
	stop := watchVersions(b.Daemons(), recorder)
	old := b.Manifest().Version
	one, other := b.sides()
	b.setAway(hostsOf(other), true)
	next := b.publishNext(t)
	reached := within(t, "the side that reaches the platform has the new version", func() bool {
		return all(one, func(d *daemon.Daemon) bool { return version(d) == next })
	})
	parted := within(t, "each side sees itself alone", func() bool { return b.see(len(one)) })
	if !all(other, func(d *daemon.Daemon) bool { return version(d) == old }) {
		t.Fatal("the version passed through the partition")
	}
	answers(t, b.Daemons())
	b.net.Mend()
	healed := within(t, "all have the new version", func() bool {
		return all(b.Daemons(), func(d *daemon.Daemon) bool { return version(d) == next })
	})
	joined := within(t, "all see each other", func() bool { return b.see(len(b.Daemons())) })
	stop()
	if !history.Check(history.VersionModel(), recorder.Operations()) {
		t.Error("a daemon went back to an older version")
	}
	t.Logf("new version after %s, parted after %s more; healed: version after %s, members after %s more", reached, parted, healed, joined)
}

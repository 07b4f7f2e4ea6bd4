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
	fleetSpeedup = 50
	// waitTimeout bounds each wait for an expected condition.
	waitTimeout  = 40 * time.Second
	pollInterval = 20 * time.Millisecond
)

// cluster is a set of daemons in front of stand-in targets, connected by a
// FaultNetwork.
type cluster struct {
	*dev.Environment
	net *FaultNetwork

	mu sync.Mutex
	// platformUnreachable holds the hosts that cannot reach the platform.
	platformUnreachable map[names.Host]bool
	seeds               []names.Host
}

func start(t *testing.T, daemons int) *cluster {
	t.Helper()
	return startWith(t, daemons, nil, nil)
}

// startWith starts a cluster with adjusted engines, an adjusted manifest or
// both; nil leaves the defaults.
func startWith(t *testing.T, daemons int, engines func(int, *engine.Config), adjust func(*manifest.Manifest)) *cluster {
	t.Helper()
	b := &cluster{net: NewFaultNetwork(), platformUnreachable: map[names.Host]bool{}}
	d, err := dev.Start(t.Context(), dev.Config{
		Fleet:          fleet.Config{Size: fleet.Dev, Speedup: fleetSpeedup, AdjustEngine: engines},
		Daemons:        daemons,
		AdjustManifest: adjust,
		Log:            zap.NewNop(),
		AdjustOptions:  b.configure,
	})
	if err != nil {
		t.Fatal(err)
	}
	b.Environment = d
	t.Cleanup(d.Close)
	return b
}

func (b *cluster) configure(o *daemon.Options) {
	b.mu.Lock()
	o.Settings.Peer.Seeds = b.seeds
	b.mu.Unlock()
	b.net.Attach(o)
	client := platform.NewClient(o.Settings.Platform.Address, http.DefaultTransport)
	o.Platform = &platformAccess{Platform: client, cluster: b, host: o.Settings.Host}
}

// setSeeds sets the seed peers of daemons that are added later.
func (b *cluster) setSeeds(hosts []names.Host) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.seeds = hosts
}

// platformAccess is the platform as seen by one host.
type platformAccess struct {
	platform.Platform
	cluster *cluster
	host    names.Host
}

func (r *platformAccess) checkReachable() error {
	r.cluster.mu.Lock()
	defer r.cluster.mu.Unlock()
	if r.cluster.platformUnreachable[r.host] {
		return platform.ErrUnavailable
	}
	return nil
}

func (r *platformAccess) Get(ctx context.Context, key string) (platform.Value, error) {
	if err := r.checkReachable(); err != nil {
		return platform.Value{}, err
	}
	return r.Platform.Get(ctx, key)
}

func (r *platformAccess) Watch(ctx context.Context, key string, after platform.Revision) (platform.Value, error) {
	value, err := r.Platform.Watch(ctx, key, after)
	if unreachable := r.checkReachable(); unreachable != nil {
		return platform.Value{}, unreachable
	}
	return value, err
}

func (r *platformAccess) Hosts(ctx context.Context) ([]platform.HostEntry, error) {
	if err := r.checkReachable(); err != nil {
		return nil, err
	}
	return r.Platform.Hosts(ctx)
}

// setPlatformUnreachable sets whether the platform is unreachable for hosts.
func (b *cluster) setPlatformUnreachable(hosts []names.Host, unreachable bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, host := range hosts {
		b.platformUnreachable[host] = unreachable
	}
}

// publishNext publishes the manifest under the next version and returns that
// version.
func (b *cluster) publishNext(t *testing.T) names.Version {
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

// partition cuts the daemons into two halves and returns them.
func (b *cluster) partition() (one, other []*daemon.Daemon) {
	all := b.Daemons()
	one, other = all[:len(all)/2], all[len(all)/2:]
	b.net.Partition(hostsOf(one), hostsOf(other))
	return one, other
}

func version(d *daemon.Daemon) names.Version { return d.Versions().Current().Version() }

// waitFor polls until a condition holds and returns how long it took. It fails
// the test after waitTimeout.
func waitFor(t *testing.T, description string, condition func() bool) time.Duration {
	t.Helper()
	began := time.Now()
	for !condition() {
		if time.Since(began) > waitTimeout {
			t.Fatalf("timed out after %s: %s", waitTimeout, description)
		}
		time.Sleep(pollInterval)
	}
	return time.Since(began)
}

// all reports whether a condition holds for every daemon.
func all(daemons []*daemon.Daemon, condition func(*daemon.Daemon) bool) bool {
	for _, d := range daemons {
		if !condition(d) {
			return false
		}
	}
	return true
}

// seesMembers reports whether every daemon counts the given number of live
// members.
func (b *cluster) seesMembers(members int) bool {
	return all(b.Daemons(), func(d *daemon.Daemon) bool { return d.LiveMemberCount() == members })
}

// watchVersions records the versions in force on the daemons until stop is
// called.
func watchVersions(daemons []*daemon.Daemon, recorder *history.Recorder) (stop func()) {
	stopped := make(chan struct{})
	var running sync.WaitGroup
	running.Go(func() {
		for {
			for i, d := range daemons {
				recorder.RecordInstant(i, history.VersionInput{Observer: string(d.Host())}, version(d))
			}
			select {
			case <-stopped:
				return
			case <-time.After(pollInterval):
			}
		}
	})
	return func() {
		close(stopped)
		running.Wait()
	}
}

type reply struct {
	status int
	header http.Header
	body   []byte
}

// post sends a request to a daemon as customer-a. A broken connection yields a
// reply with status 0.
func post(ctx context.Context, address, path, body string, header map[string]string) reply {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return reply{body: []byte(err.Error())}
	}
	request.GetBody = nil // prevents the client from retrying by itself
	request.Header.Set("Authorization", "Bearer "+fleet.APIKey("customer-a"))
	for name, value := range header {
		request.Header.Set(name, value)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return reply{body: []byte(err.Error())}
	}
	defer response.Body.Close() //nolint:errcheck // the body is read completely
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return reply{body: []byte(err.Error())}
	}
	return reply{status: response.StatusCode, header: response.Header, body: text}
}

const (
	completionsPath = "/v1/completions"
	promptBody      = `{"model":"draft","prompt":"x","max_tokens":3}`
)

// requireAnswers fails the test if a daemon does not answer a prompt.
func requireAnswers(t *testing.T, daemons []*daemon.Daemon) {
	t.Helper()
	for _, d := range daemons {
		got := post(t.Context(), d.CallerAddress(), completionsPath, promptBody, nil)
		if got.status != http.StatusOK {
			t.Fatalf("%s: %d %s", d.Host(), got.status, got.body)
		}
	}
}

// TestPartitionedSideKeepsItsVersion publishes a manifest while only one side of
// a partition reaches the platform. The other side must stay on the old version
// until the partition heals, and no daemon may go back to an older one.
func TestPartitionedSideKeepsItsVersion(t *testing.T) {
	t.Parallel()
	b := start(t, 6)
	recorder := &history.Recorder{}
	stop := watchVersions(b.Daemons(), recorder)
	old := b.Manifest().Version
	one, other := b.partition()
	b.setPlatformUnreachable(hostsOf(other), true)
	next := b.publishNext(t)
	updated := waitFor(t, "the new version is in force on the side that reaches the platform", func() bool {
		return all(one, func(d *daemon.Daemon) bool { return version(d) == next })
	})
	partitioned := waitFor(t, "each side sees only its own members", func() bool { return b.seesMembers(len(one)) })
	if !all(other, func(d *daemon.Daemon) bool { return version(d) == old }) {
		t.Fatal("the new version crossed the partition")
	}
	requireAnswers(t, b.Daemons())
	b.net.Heal()
	healed := waitFor(t, "the new version is in force on all daemons", func() bool {
		return all(b.Daemons(), func(d *daemon.Daemon) bool { return version(d) == next })
	})
	joined := waitFor(t, "all daemons see each other", func() bool { return b.seesMembers(len(b.Daemons())) })
	stop()
	if !history.Check(history.VersionModel(), recorder.Operations()) {
		t.Error("a daemon reverted to an older version")
	}
	t.Logf("new version after %s, sides separated after %s more; after healing: version after %s, members after %s more", updated, partitioned, healed, joined)
}

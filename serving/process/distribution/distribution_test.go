package distribution

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"carobspoke.example/core/names"
	core "carobspoke.example/core/process/distribution"
	"carobspoke.example/core/target"
	"carobspoke.example/core/version/manifest"
	"carobspoke.example/core/version/pages"
	"carobspoke.example/serving/peerpb"
	"carobspoke.example/serving/platform"
	"carobspoke.example/serving/version"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/goleak"
	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/test/bufconn"
)

var (
	testKey   = ed25519.NewKeyFromSeed(bytes.Repeat([]byte{7}, ed25519.SeedSize))
	publicKey = []ed25519.PublicKey{testKey.Public().(ed25519.PublicKey)}
)

func sampleManifest(v names.Version) *manifest.Manifest {
	m := &manifest.Manifest{Schema: manifest.Schema, Version: v}
	m.Fleet = manifest.Fleet{ExpectedDaemons: 5, DataCentres: []manifest.DataCentreRegion{{Name: "a", Region: "r"}}}
	m.Models = []manifest.Model{{Name: "draft", Versions: []manifest.ModelVersion{{Name: "v1"}}}}
	for i := range 400 {
		m.Targets = append(m.Targets, manifest.Target{
			Name: names.Target(fmt.Sprintf("engine-%03d", i)), Address: fmt.Sprintf("10.0.%d.%d:80", i/200, i%200),
			DataCentre: "a", MemoryBlocks: int(v), BlockTokens: 16, Want: target.State{Model: "draft", Version: "v1"}, //nolint:gosec // small
		})
		if i != 7 {
			m.Targets[i].MemoryBlocks = 100
		}
	}
	return m
}

func packManifest(t *testing.T, v names.Version) *pages.PackedManifest {
	p, err := pages.Pack(sampleManifest(v), testKey)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// fakePlatform is an in-memory configuration service.
type fakePlatform struct {
	mutex   sync.Mutex
	values  map[string]platform.Value
	changed chan struct{}
	calls   int
}

func newPlatform() *fakePlatform {
	return &fakePlatform{values: map[string]platform.Value{}, changed: make(chan struct{})}
}

func (f *fakePlatform) publish(t *testing.T, previous, next *pages.PackedManifest) {
	values, err := pages.ValuesToPublish(previous, next)
	if err != nil {
		t.Fatal(err)
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, v := range values {
		revision := f.values[v.Key].Revision + 1
		f.values[v.Key] = platform.Value{Key: v.Key, Revision: revision, Data: v.Data}
	}
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *fakePlatform) Get(_ context.Context, key string) (platform.Value, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.calls++
	if v, found := f.values[key]; found {
		return v, nil
	}
	return platform.Value{}, platform.ErrNotFound
}

func (f *fakePlatform) Watch(ctx context.Context, key string, after platform.Revision) (platform.Value, error) {
	f.mutex.Lock()
	f.calls++
	f.mutex.Unlock()
	for {
		f.mutex.Lock()
		v, changed := f.values[key], f.changed
		f.mutex.Unlock()
		if v.Revision > after {
			return v, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return platform.Value{}, platform.ErrUnavailable
		}
	}
}

func (f *fakePlatform) Hosts(context.Context) ([]platform.HostEntry, error) { return nil, nil }

// fleet connects daemons over in-memory listeners.
type fleet struct {
	mutex     sync.Mutex
	daemons   map[names.Host]*runningDaemon
	listeners map[names.Host]*bufconn.Listener
	fence     uint64
}

// runningDaemon is a Distributor with its server. It implements Peers.
type runningDaemon struct {
	host   names.Host
	fleet  *fleet
	d      *Distributor
	holder *version.Holder
	stop   func()
	// late counts the versions that were in force before the status showed them.
	late  atomic.Int32
	mutex sync.Mutex
	conns map[names.Host]*grpc.ClientConn
}

func newFleet() *fleet {
	return &fleet{daemons: map[names.Host]*runningDaemon{}, listeners: map[names.Host]*bufconn.Listener{}}
}

func (f *fleet) start(t *testing.T, host names.Host, p platform.Platform) *runningDaemon {
	r := &runningDaemon{host: host, fleet: f, holder: &version.Holder{}, conns: map[names.Host]*grpc.ClientConn{}}
	d, err := New(Config{
		Self: core.Member{Host: host, DataCentre: "a"}, Platform: p, Peers: r, Keys: publicKey,
		FetchReport: func(context.Context, string) (target.Report, error) { return target.Report{Fence: f.fence}, nil },
		Holder:      r.holder,
		Logger:      zap.NewNop(),
		Registry:    metrics.NewRegistry(),
	})
	if err != nil {
		t.Fatal(err)
	}
	r.d = d
	stopServer := f.serve(host, d.Register)
	f.mutex.Lock()
	f.daemons[host] = r
	f.mutex.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	var ran sync.WaitGroup
	ran.Go(func() { d.Run(ctx) }) //nolint:errcheck // ends with ctx
	r.stop = func() {
		cancel()
		ran.Wait()
		stopServer()
		r.closeConns()
		f.mutex.Lock()
		delete(f.daemons, host)
		f.mutex.Unlock()
	}
	return r
}

func (f *fleet) serve(host names.Host, register func(grpc.ServiceRegistrar)) (stop func()) {
	listener := bufconn.Listen(1 << 20)
	server := grpc.NewServer()
	register(server)
	go server.Serve(listener) //nolint:errcheck // ends with Stop
	f.mutex.Lock()
	f.listeners[host] = listener
	f.mutex.Unlock()
	return server.Stop
}

func (r *runningDaemon) Live() []core.Member {
	r.fleet.mutex.Lock()
	defer r.fleet.mutex.Unlock()
	var live []core.Member
	for i := range 9 {
		host := names.Host(fmt.Sprintf("h%d", i))
		if r.fleet.listeners[host] != nil && host != r.host {
			live = append(live, core.Member{Host: host, DataCentre: "a"})
		}
	}
	return live
}

func (r *runningDaemon) ListedHosts() int { return 0 }

func (r *runningDaemon) Dial(host names.Host) (*grpc.ClientConn, error) {
	r.fleet.mutex.Lock()
	listener := r.fleet.listeners[host]
	r.fleet.mutex.Unlock()
	if listener == nil {
		return nil, errors.New("unknown peer")
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if conn := r.conns[host]; conn != nil {
		return conn, nil
	}
	dial := func(context.Context, string) (net.Conn, error) { return listener.Dial() }
	conn, err := grpc.NewClient("passthrough:"+string(host), grpc.WithContextDialer(dial),
		grpc.WithTransportCredentials(insecure.NewCredentials()))
	r.conns[host] = conn
	return conn, err
}

func (r *runningDaemon) closeConns() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, conn := range r.conns {
		conn.Close() //nolint:errcheck // the test is over
	}
}

func (r *runningDaemon) Announce(held core.VersionID) {
	if s := r.d.Status(); s.InForce != held || s.Counters.Installed == 0 {
		r.late.Add(1)
	}
	r.fleet.mutex.Lock()
	defer r.fleet.mutex.Unlock()
	for host, other := range r.fleet.daemons {
		if host != r.host {
			other.d.HandleAnnouncement(r.host, held)
		}
	}
}

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// waitFor polls done for about 20 s and fails the test if it stays false.
func waitFor(t *testing.T, what string, done func() bool) {
	t.Helper()
	for range 1000 {
		if done() {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatal("timed out waiting for: " + what)
}

func allAtVersion(v names.Version, daemons ...*runningDaemon) func() bool {
	return func() bool {
		for _, r := range daemons {
			if r.holder.Current().Version() != v {
				return false
			}
		}
		return true
	}
}

// Guards against a daemon that restarts, reads an old version from a stale
// replica of the configuration service and puts it in force, although its peers
// have a newer one.
func TestVersionsReachAllDaemonsAndSurviveStaleService(t *testing.T) {
	service, stale, f := newPlatform(), newPlatform(), newFleet()
	first := packManifest(t, 1)
	service.publish(t, nil, first)
	stale.publish(t, nil, first)
	daemons := make([]*runningDaemon, 0, 5)
	for i := range 5 {
		daemons = append(daemons, f.start(t, names.Host(fmt.Sprintf("h%d", i)), service))
	}
	waitFor(t, "version 1", allAtVersion(1, daemons...))
	previous := first
	for v := names.Version(2); v <= 6; v++ {
		next := packManifest(t, v)
		service.publish(t, previous, next)
		waitFor(t, fmt.Sprintf("version %d", v), allAtVersion(v, daemons...))
		previous = next
	}
	if got := daemons[3].holder.Current().Manifest.Targets[7].MemoryBlocks; got != 6 {
		t.Fatalf("content in force is that of version %d, want 6", got)
	}
	// A daemon restarts and reaches only a stale replica of the service.
	daemons[4].stop()
	daemons[4] = f.start(t, "h4", stale)
	waitFor(t, "version 6 after a restart", allAtVersion(6, daemons[4]))
	if n := daemons[4].d.Status().Counters.Installed; n != 1 {
		t.Fatalf("%d versions installed after the restart, want only version 6", n)
	}
	for _, r := range daemons {
		r.stop()
		if late := r.late.Load(); late > 0 {
			t.Errorf("%s: the status lagged behind %d versions in force", r.host, late)
		}
	}
}

// Guards against a fleet that restarts as a whole and puts an old version in
// force although engines have already accepted orders of a newer one.
func TestFencingTokensBlockOlderVersionAfterRestart(t *testing.T) {
	service, f := newPlatform(), newFleet()
	f.fence = 9
	old, next := packManifest(t, 5), packManifest(t, 10)
	service.publish(t, nil, old)
	r := f.start(t, "h0", service)
	defer func() { r.stop() }()
	waitFor(t, "a refusal of a version below the fencing tokens", func() bool { return r.d.Status().Counters.BelowFence > 0 })
	if r.holder.Current() != nil {
		t.Fatal("a version below the engines' fencing tokens is in force")
	}
	service.publish(t, old, next)
	waitFor(t, "version 10", allAtVersion(10, r))
}

// corruptPeer serves the root of a version, but wrong bytes for its pages.
type corruptPeer struct {
	peerpb.UnimplementedManifestsServer
	packed *pages.PackedManifest
}

func (l *corruptPeer) Held(context.Context, *peerpb.HeldRequest) (*peerpb.HeldReply, error) {
	return &peerpb.HeldReply{Version: uint64(l.packed.Root.Version), Digest: string(l.packed.Root.Digest)}, nil
}

func (l *corruptPeer) Root(context.Context, *peerpb.RootRequest) (*peerpb.RootReply, error) {
	return &peerpb.RootReply{Signed: l.packed.Root.Signed}, nil
}

func (l *corruptPeer) Pages(request *peerpb.PagesRequest, stream grpc.ServerStreamingServer[peerpb.PageReply]) error {
	for _, digest := range request.GetDigests() {
		if err := stream.Send(&peerpb.PageReply{Digest: digest, Data: []byte("other")}); err != nil {
			return err
		}
	}
	return nil
}

// Checks that wrong pages from a peer are detected by their digests and that the
// version is then fetched from the service.
func TestCorruptPeerIsDetectedAndServiceIsUsed(t *testing.T) {
	service, f := newPlatform(), newFleet()
	next := packManifest(t, 2)
	service.publish(t, nil, next)
	stop := f.serve("h1", func(registrar grpc.ServiceRegistrar) {
		peerpb.RegisterManifestsServer(registrar, &corruptPeer{packed: next})
	})
	defer stop()
	r := f.start(t, "h0", service)
	defer func() { r.stop() }()
	waitFor(t, "a page with a wrong digest", func() bool { return r.d.Status().Counters.PeerLied > 0 })
	waitFor(t, "version 2", allAtVersion(2, r))
}

func TestForgedManifestIsRefused(t *testing.T) {
	service, f := newPlatform(), newFleet()
	first := packManifest(t, 1)
	service.publish(t, nil, first)
	r := f.start(t, "h0", service)
	waitFor(t, "version 1", allAtVersion(1, r))
	unknownKey := ed25519.NewKeyFromSeed(bytes.Repeat([]byte{8}, ed25519.SeedSize))
	forged, err := pages.Pack(sampleManifest(2), unknownKey)
	if err != nil {
		t.Fatal(err)
	}
	service.publish(t, nil, forged)
	waitFor(t, "a refusal of the forged root", func() bool { return r.d.Status().Counters.BadRoot > 0 })
	if v := r.holder.Current().Version(); v != 1 {
		t.Fatalf("version %d in force, want 1", v)
	}
	service.publish(t, first, packManifest(t, 3))
	waitFor(t, "version 3", allAtVersion(3, r))
	r.stop()
}

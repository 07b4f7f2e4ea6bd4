// Package soak runs the real daemons as processes of their own against the
// emulator of the platform, injects faults from outside them, and checks the
// promises from what callers and targets see.
//
// Faults come in series that overlap, drawn from a seed. The processes' own
// timing is not drawn from it, so that a seed repeats the faults but not every
// interleaving.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/replicas"
	"carobspoke.example/core/version/routing"
	"carobspoke.example/platform"
	"carobspoke.example/serving/process/edge"
	"carobspoke.example/tools/emulator"
	"github.com/pkg/errors"
)

// Config is what one run is made of.
type Config struct {
	Seed uint64
	// For is how long faults are injected.
	For time.Duration
	// Daemons, Engines and Services are how many of each run.
	Daemons  int
	Engines  int
	Services int
	Callers  int
	// Planned leaves out all but planned work: stops, configurations and
	// targets that leave. Then no request may be cut.
	Planned bool
	// Program is the path of carobspoked, Folder takes settings and logs.
	Program string
	Folder  string
}

// Default is a run of the usual size.
func Default() Config {
	return Config{For: 10 * time.Second, Daemons: 5, Engines: 4, Services: 3, Callers: 12}
}

// Names and times of what is published.
const (
	hostname      = "soak.example"
	engineService = "engines"
	plainService  = "plain"
	customer      = "customer"
	key           = "soak-key"
	grace         = 6 * time.Second
	// drainBound is when a leaving target may get no new requests any more: two
	// seconds, and one for a machine that is busy with other tests.
	drainBound = 3 * time.Second
)

// world is everything that runs.
type world struct {
	config  Config
	random  *rand.Rand // of the faults' goroutine alone
	checker *emulator.Checker
	store   *emulator.Store
	server  *http.Server
	// claim keeps the run's network from other runs.
	claim net.Listener
	hosts []*host

	mu      sync.Mutex
	targets []*target
	version names.Version
	nextID  int
	started time.Time
	events  []string
}

// target is a target behind its proxy.
type target struct {
	*emulator.Target
	proxy *emulator.Proxy
	// listed is the entry as published, with the proxy's address.
	listed replicas.Target
}

// host is a daemon with its own link to the store.
type host struct {
	process
	settings *edge.Settings
	store    *emulator.Proxy
}

func newWorld(c Config) (*world, error) {
	w := &world{
		config: c, random: rand.New(rand.NewPCG(c.Seed, 1)), checker: emulator.NewChecker(drainBound), store: emulator.NewStore(),
		started: time.Now(),
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "soak")
	}
	w.server = &http.Server{Handler: w.store, ReadHeaderTimeout: time.Second}
	go func() { _ = w.server.Serve(listener) }() // it ends with close
	for range c.Engines {
		if err := w.addTarget(engineService); err != nil {
			return w, err
		}
	}
	for range c.Services {
		if err := w.addTarget(plainService); err != nil {
			return w, err
		}
	}
	if err := w.publishConfig(); err != nil {
		return w, err
	}
	return w, w.startHosts(listener.Addr().String())
}

// note records a fault for the report.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.events = append(w.events, fmt.Sprintf("%6.2f ", time.Since(w.started).Seconds())+fmt.Sprintf(format, args...))
}

func (w *world) addTarget(service names.Service) error {
	w.mu.Lock()
	w.nextID++
	id := names.Target(fmt.Sprintf("t-%d", w.nextID))
	w.mu.Unlock()
	started, err := emulator.StartTarget(replicas.Target{ID: id, Service: service, Address: "127.0.0.1:0", DataCentre: "dc", Slots: 8}, w.checker)
	if err != nil {
		return err
	}
	proxy, err := emulator.StartProxy("127.0.0.1:0", started.Address)
	if err != nil {
		return err
	}
	t := &target{Target: started, proxy: proxy, listed: started.Target}
	t.listed.Address = proxy.Address()
	w.mu.Lock()
	w.targets = append(w.targets, t)
	w.mu.Unlock()
	return w.store.PutTarget(&t.listed)
}

// publishConfig publishes the next version, which adds a route of its own.
func (w *world) publishConfig() error {
	w.mu.Lock()
	w.version++
	version := w.version
	w.mu.Unlock()
	route := func(name string, kind routing.Kind, service names.Service, timeout time.Duration) routing.Route {
		return routing.Route{
			Name: name, Hostname: hostname, Prefix: "/" + name + "/", Kind: kind, Timeout: timeout, LatencyTarget: 300 * time.Millisecond,
			GapTarget: 200 * time.Millisecond, MaxAttempts: 2, Resumable: kind == routing.Streaming,
			Services: []routing.WeightedService{{Service: service, Weight: 1}},
		}
	}
	config := &routing.Config{
		Version: version,
		Routes: []routing.Route{
			route("stream", routing.Streaming, engineService, 5*time.Second),
			route("read", routing.Idempotent, plainService, 2*time.Second),
			route("order", routing.NonIdempotent, plainService, 2*time.Second),
			route(fmt.Sprintf("version-%d", version), routing.Idempotent, plainService, 2*time.Second),
		},
		Services: []routing.Service{{Name: plainService, MaxConnections: 100}, {Name: engineService, MaxConnections: 100, Engine: &routing.Engine{
			Slots: 8, MemoryTokens: 450_000, StepsPerPass: 10, StepTime: time.Millisecond, PrefillRate: 256_000, ChunkTokens: 2048, MeanPromptTokens: 5000, MeanAnswerTokens: 150,
		}}},
		Customers: []routing.Customer{{Name: customer, Keys: []string{key}}},
		Limits:    routing.Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	}
	return w.store.PutConfig(config)
}

// firstHost is the last byte of the first daemon's address.
const firstHost = 10

func (w *world) startHosts(store string) error {
	network, ports, claim, err := freeAddresses()
	if err != nil {
		return err
	}
	w.claim = claim
	address := func(i, port int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, network, byte(firstHost + i)}), ports[port])
	}
	for i := range w.config.Daemons {
		proxy, err := emulator.StartProxy("127.0.0.1:0", store)
		if err != nil {
			return err
		}
		h := &host{store: proxy, settings: &edge.Settings{
			Name: fmt.Sprintf("host-%d", i), DataCentre: "dc", Regions: map[names.DataCentre]names.Region{"dc": "region"},
			Callers: address(i, 0), Ready: address(i, 1), Peer: address(i, 2), SharePort: ports[3],
			Seeds: []netip.AddrPort{address(0, 2), address(1, 2)}, Store: netip.MustParseAddrPort(proxy.Address()),
			Grace: grace, RetryRatio: 0.2, RetrySlack: 100, RetryWindow: 10 * time.Second,
		}}
		h.process = process{program: w.config.Program, settings: filepath.Join(w.config.Folder, h.settings.Name+".json"), log: filepath.Join(w.config.Folder, h.settings.Name+".log")}
		text, err := platform.EncodeSettings(h.settings)
		if err != nil {
			return err
		}
		if err := os.WriteFile(h.process.settings, text, 0o600); err != nil {
			return errors.Wrap(err, "soak")
		}
		w.hosts = append(w.hosts, h)
		if err := h.start(); err != nil {
			return err
		}
	}
	return nil
}

// claimPort is listened on by the run that has a network. No daemon uses it.
const claimPort = platform.MetricsPort - 1

// freeAddresses returns the third byte of a loopback network and four ports that
// were free there just now. The last two ports follow each other. Each run has a
// network of its own, since the port of metrics is the same for all; it is the
// run's until the claim is closed.
func freeAddresses() (network byte, ports [4]uint16, claim net.Listener, err error) {
	const tries, lowest, span = 100, 20_000, 10_000
	for range tries {
		network = byte(1 + rand.IntN(250))
		at := uint16(lowest + rand.IntN(span))
		ports = [4]uint16{at, at + 1, at + 2, at + 3}
		claim, err = claimNetwork(network)
		if err != nil {
			continue // another run has it
		}
		if free(network, append(ports[:], platform.MetricsPort)) {
			return network, ports, claim, nil
		}
		_ = claim.Close() // it was only a look
	}
	return 0, ports, nil, errors.New("soak: no free addresses")
}

func claimNetwork(network byte) (net.Listener, error) {
	return net.Listen("tcp", fmt.Sprintf("127.0.%d.1:%d", network, claimPort))
}

func free(network byte, ports []uint16) bool {
	for _, port := range ports {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.%d.%d:%d", network, firstHost, port))
		if err != nil {
			return false
		}
		_ = listener.Close() // it was only a look
	}
	return true
}

// close ends all that was started.
func (w *world) close() {
	for _, h := range w.hosts {
		h.kill()
		h.store.Close()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, t := range w.targets {
		t.Crash()
		t.proxy.Close()
	}
	_ = w.server.Close() // nobody uses it any more
	if w.claim != nil {
		_ = w.claim.Close() // the daemons have ended
	}
}

// waitReady waits until all daemons take requests.
func (w *world) waitReady(ctx context.Context) error {
	const limit = 20 * time.Second
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for _, h := range w.hosts {
		for !h.ready(ctx) {
			select {
			case <-ctx.Done():
				return errors.Errorf("soak: %s is not ready", h.settings.Name)
			case <-time.After(20 * time.Millisecond):
			}
		}
	}
	return nil
}

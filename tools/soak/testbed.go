// Package soak runs the real daemons as separate processes against the emulator of
// the platform, injects faults from outside, and checks the daemons' guarantees
// against what callers and targets observe.
//
// The faults and their times are chosen at random from a seed, and overlap. The
// timing of the processes does not depend on the seed, so that a seed repeats the
// faults but not every interleaving.
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
	"sync/atomic"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/replicas"
	"carobspoke.example/core/version/routing"
	"carobspoke.example/platform"
	"carobspoke.example/serving/process/edge"
	"carobspoke.example/tools/emulator"
	"github.com/pkg/errors"
)

// Config configures one run.
type Config struct {
	Seed uint64
	// FaultTime is how long faults are injected.
	FaultTime time.Duration
	// Daemons, Engines, Services and Callers are the numbers of each. Services
	// counts replicas of the plain service.
	Daemons  int
	Engines  int
	Services int
	Callers  int
	// DataCentres is the number of data centres of the daemons, one if zero.
	DataCentres int
	// PlannedOnly limits the faults to planned work: stops of daemons, new
	// configurations and replaced targets. Then no request may be cut.
	PlannedOnly bool
	// RestoreStore adds restorations of the store from a copy to the faults.
	RestoreStore bool
	// Unframed adds targets that answer with neither a length nor chunks and break
	// some of the answers off.
	Unframed bool
	// Parts adds prompts with a part that crashes targets. FaultTime is then at
	// least minPartsTime.
	Parts bool
	// Turning lets requests with the part complete before it begins to crash targets.
	Turning bool
	// CrashingInterval is the time between two requests with the part.
	CrashingInterval time.Duration
	// Outages is how often all engines end at once by another cause. FaultTime is then at least
	// faultTimeOf.
	Outages int
	// Leaving adds targets that state in their answers that they leave, or for how
	// long they want no requests.
	Leaving bool
	// Limits adds targets that name in their answers how many requests a second they
	// take.
	Limits bool
	// Evacuate adds evacuations of data centres, Cold targets that bear few requests after
	// their start, and Regions kinds of requests that may reach one region alone. The
	// targets are then spread over zonedDataCentres data centres.
	Evacuate, Cold, Regions bool
	// Program is the path of carobspoked. If Beside is not empty, it is the path of
	// another build, which every second daemon runs. Folder receives settings and logs.
	Program string
	Beside  string
	Folder  string
}

// DefaultConfig returns the configuration of a run of the usual size.
func DefaultConfig() Config {
	return Config{FaultTime: 10 * time.Second, Daemons: 5, Engines: 4, Services: 3, Callers: 12, CrashingInterval: defaultCrashingInterval}
}

// mayNotCut reports whether no fault of the run excuses a request without a
// complete answer.
func (c *Config) mayNotCut() bool { return c.PlannedOnly && !c.Unframed && !c.Parts && c.Outages == 0 }

// Names in the published entries and configurations, and times of the run.
const (
	hostname      = "soak.example"
	engineService = "engines"
	plainService  = "plain"
	customer      = "customer"
	key           = "soak-key"
	grace         = 6 * time.Second
	// drainBound is how long after it was published as draining a target may
	// receive new requests: two seconds, and one more for a machine that is busy
	// with other tests.
	drainBound = 3 * time.Second
)

// testbed holds the daemons, targets and store of one run.
type testbed struct {
	config  Config
	random  *rand.Rand // used only by the goroutine that runs inject
	checker *emulator.Checker
	store   *emulator.Store
	server  *http.Server
	// claim prevents other runs from using the run's loopback network.
	claim net.Listener
	hosts []*host

	// outages are the times at which all engines ended.
	outages outages
	// active is done when all faults have ended.
	active sync.WaitGroup
	// noneCold makes targets that start warm at once. It is set when no more faults begin:
	// daemons that overload cold targets would crash them without end.
	noneCold atomic.Bool

	mu      sync.Mutex
	targets []*target
	version names.Version
	// keys are those of the customer if keysChanged is true, otherwise it has one.
	keys        []string
	keysChanged bool
	nextID      int
	started     time.Time
	faults      []string
}

// target is a target behind its proxy.
type target struct {
	*emulator.Target
	proxy *emulator.Proxy
	// entry is the published entry, with the proxy's address.
	entry replicas.Target
}

// host is a daemon and its proxy to the store.
type host struct {
	process
	settings *edge.Settings
	store    *emulator.Proxy
}

func newTestbed(c Config) (*testbed, error) {
	b := &testbed{
		config: c, random: rand.New(rand.NewPCG(c.Seed, 1)), checker: emulator.NewChecker(drainBound), store: emulator.NewStore(),
		started: time.Now(),
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "soak")
	}
	b.server = &http.Server{Handler: b.store, ReadHeaderTimeout: time.Second}
	go func() { _ = b.server.Serve(listener) }() // returns after close
	for range c.Engines {
		if err := b.addTarget(engineService); err != nil {
			return b, err
		}
	}
	for range c.Services {
		if err := b.addTarget(plainService); err != nil {
			return b, err
		}
	}
	if err := b.publishConfig(); err != nil {
		return b, err
	}
	return b, b.startHosts(listener.Addr().String())
}

// recordFault records a fault for the report, with its time.
func (b *testbed) recordFault(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = append(b.faults, fmt.Sprintf("%6.2f ", time.Since(b.started).Seconds())+fmt.Sprintf(format, args...))
}

// anyPort is an address at which the system chooses the port.
const anyPort = "127.0.0.1:0"

// addTarget starts a target behind a proxy and publishes its entry.
func (b *testbed) addTarget(service names.Service) error { return b.addTargetAt(service, anyPort) }

// addTargetAt is addTarget with the address at which the proxy listens.
func (b *testbed) addTargetAt(service names.Service, address string) error {
	return b.addTargetIn(b.leastPopulated(service), service, address)
}

// addTargetIn is addTargetAt with the data centre of the target.
func (b *testbed) addTargetIn(dc names.DataCentre, service names.Service, address string) error {
	if service == engineService {
		b.outages.await()
	}
	b.mu.Lock()
	b.nextID++
	id := names.Target(fmt.Sprintf("t-%d", b.nextID))
	b.mu.Unlock()
	started, err := emulator.StartTarget(replicas.Target{ID: id, Service: service, Address: anyPort, DataCentre: dc, Slots: 8}, b.checker)
	if err != nil {
		return err
	}
	proxy, err := emulator.StartProxy(address, started.Address)
	if err != nil {
		started.Crash()
		return err
	}
	t := &target{Target: started, proxy: proxy, entry: started.Target}
	t.entry.Address = proxy.Address()
	b.surround(t)
	t.BeginCold(coldTime, 0)
	t.entry.ColdLeft = t.ColdLeft()
	b.mu.Lock()
	b.targets = append(b.targets, t)
	b.mu.Unlock()
	return b.store.PutTarget(&t.entry)
}

// publishConfig publishes the next version of the configuration. Each version has
// a route that no other has.
func (b *testbed) publishConfig() error {
	b.mu.Lock()
	b.version++
	version, keys := b.version, b.keysOfCustomer()
	b.mu.Unlock()
	return b.store.PutConfig(b.buildConfig(version, keys))
}

// route returns a route to one service.
func (b *testbed) route(name string, kind routing.Kind, service names.Service, timeout time.Duration) routing.Route {
	return routing.Route{
		Name: name, Hostname: hostname, Prefix: "/" + name + "/", Kind: kind, Timeout: timeout, LatencyTarget: 300 * time.Millisecond,
		GapTarget: 200 * time.Millisecond, MaxAttempts: 2, Resumable: kind == routing.Streaming,
		Services: []routing.WeightedService{{Service: service, Weight: 1}}, Regions: b.config.allowedRegions(name),
	}
}

// buildConfig returns a version of the configuration with the customer's keys.
func (b *testbed) buildConfig(version names.Version, keys []string) *routing.Config {
	config := &routing.Config{
		Version: version,
		Routes: []routing.Route{
			b.route("stream", routing.Streaming, engineService, 5*time.Second),
			b.route("read", routing.Idempotent, plainService, 2*time.Second),
			b.route("order", routing.NonIdempotent, plainService, 2*time.Second),
			b.route(fmt.Sprintf("version-%d", version), routing.Idempotent, plainService, 2*time.Second),
		},
		Services: []routing.Service{{Name: plainService, MaxConnections: 100}, {Name: engineService, MaxConnections: 100, Engine: &routing.Engine{
			Slots: 8, MemoryTokens: 450_000, StepsPerPass: 10, StepTime: time.Millisecond, PrefillRate: 256_000, ChunkTokens: 2048, MeanPromptTokens: 5000, MeanAnswerTokens: 150,
		}}},
		Customers: []routing.Customer{{Name: customer, Keys: keys}},
		Limits:    routing.Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	}
	for i := range config.Services {
		b.config.addCold(&config.Services[i])
	}
	return config
}

// firstHostByte is the last byte of the first daemon's address.
const firstHostByte = 10

// startHosts claims a network and starts the daemons, each behind a proxy to the
// store.
func (b *testbed) startHosts(store string) error {
	network, ports, claim, err := freeAddresses()
	if err != nil {
		return err
	}
	b.claim = claim
	address := func(i, port int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, network, byte(firstHostByte + i)}), ports[port])
	}
	for i := range b.config.Daemons {
		proxy, err := emulator.StartProxy(anyPort, store)
		if err != nil {
			return err
		}
		h := &host{store: proxy, settings: &edge.Settings{
			Name: fmt.Sprintf("host-%d", i), DataCentre: b.config.dataCentre(i), Regions: b.config.regions(),
			CallerAddress: address(i, 0), ReadyAddress: address(i, 1), PeerAddress: address(i, 2), SharePort: ports[3],
			Seeds: []netip.AddrPort{address(0, 2), address(1, 2)}, StoreAddress: netip.MustParseAddrPort(proxy.Address()),
			GracePeriod: grace, RetryRatio: 0.2, RetrySlack: 100, RetryWindow: 10 * time.Second,
		}}
		if b.config.Cold {
			h.settings.ColdOverage, h.settings.ColdSlack = coldOverage, coldSlack
		}
		program := b.config.Program
		if b.config.Beside != "" && i%2 == 1 {
			program = b.config.Beside
		}
		h.process = process{program: program, settings: filepath.Join(b.config.Folder, h.settings.Name+".json"), log: filepath.Join(b.config.Folder, h.settings.Name+".log")}
		text, err := platform.EncodeSettings(h.settings)
		if err != nil {
			return err
		}
		if err := os.WriteFile(h.process.settings, text, 0o600); err != nil {
			return errors.Wrap(err, "soak")
		}
		b.hosts = append(b.hosts, h)
		if err := h.start(); err != nil {
			return err
		}
	}
	return nil
}

// claimPort is the port on which a run listens to claim its network. No daemon
// uses it.
const claimPort = platform.MetricsPort - 1

// freeAddresses returns the third byte of a loopback network and four consecutive
// ports that were free there when checked; peers need the last two to be
// consecutive. Each run needs a separate network because the port of metrics is
// the same for all daemons. No other run uses the network until the claim is
// closed.
func freeAddresses() (network byte, ports [4]uint16, claim net.Listener, err error) {
	const maxTries, lowestPort, portRange = 100, 20_000, 10_000
	for range maxTries {
		network = byte(1 + rand.IntN(250))
		port := uint16(lowestPort + rand.IntN(portRange))
		ports = [4]uint16{port, port + 1, port + 2, port + 3}
		claim, err = claimNetwork(network)
		if err != nil {
			continue // another run has claimed it
		}
		if portsFree(network, append(ports[:], platform.MetricsPort)) {
			return network, ports, claim, nil
		}
		_ = claim.Close() // the network is not used
	}
	return 0, ports, nil, errors.New("soak: no free addresses")
}

// claimNetwork listens on the claim port of a network. It fails if another run has
// claimed the network.
func claimNetwork(network byte) (net.Listener, error) {
	return net.Listen("tcp", fmt.Sprintf("127.0.%d.1:%d", network, claimPort))
}

// portsFree reports whether the first daemon could listen on all the ports.
func portsFree(network byte, ports []uint16) bool {
	for _, port := range ports {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.%d.%d:%d", network, firstHostByte, port))
		if err != nil {
			return false
		}
		_ = listener.Close() // opened only to check the port
	}
	return true
}

// close stops the daemons, the targets, the proxies and the store.
func (b *testbed) close() {
	for _, h := range b.hosts {
		h.kill()
		h.store.Close()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, t := range b.targets {
		t.Crash()
		t.proxy.Close()
	}
	_ = b.server.Close() // the daemons have exited
	if b.claim != nil {
		_ = b.claim.Close() // the daemons have exited
	}
}

// waitReady waits until all daemons accept requests.
func (b *testbed) waitReady(ctx context.Context) error {
	const limit = 20 * time.Second
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for _, h := range b.hosts {
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

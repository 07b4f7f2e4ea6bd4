package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/version/routing"
	"carobspoke.example/platform"
	"carobspoke.example/serving/process/edge"
)

// Names in the published records.
const (
	hostname   = "review.example"
	dataCentre = "bagmati-a"
	region     = "bagmati"
	customer   = "customer"
	key        = "review-key"
)

// Bounds of a small deployment.
const (
	grace       = 8 * time.Second
	memoryBytes = 284 << 20
	descriptors = 4100
	retryRatio  = 0.2
	retrySlack  = 106
	retryWindow = 10 * time.Second
)

// bed holds the processes and stand-ins of a case.
type bed struct {
	trouble bool
	folder  string
	started time.Time

	store        *rawStore
	storeAddress string
	server       *http.Server
	hosts        []*host

	mu     sync.Mutex
	record *os.File
	closed bool
	// cleanups are called at the end, the last one first.
	cleanups []func()
}

// host is a daemon.
type host struct {
	settings *edge.Settings
	file     string
	log      string
	command  *exec.Cmd
	exited   chan struct{}
}

func newBed(record string) (*bed, error) {
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	b := &bed{trouble: os.Getenv("TROUBLE") != "0", folder: folder, started: time.Now(), record: file, store: newRawStore()}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b.server = &http.Server{Handler: b.store, ReadHeaderTimeout: time.Second}
	go func() { _ = b.server.Serve(listener) }() // returns after close
	b.note("trouble: %v", b.trouble)
	b.storeAddress = listener.Addr().String()
	return b, b.addHosts(b.storeAddress, daemons, seeds)
}

// note writes a line into the record.
func (b *bed) note(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.closed {
		_, _ = fmt.Fprintf(b.record, "%8.3f %s\n", time.Since(b.started).Seconds(), fmt.Sprintf(format, args...))
	}
}

// conclude writes the result and returns the exit code.
func (b *bed) conclude(lines []string, err error) int {
	for _, line := range lines {
		b.note("BROKEN: %s", line)
	}
	switch {
	case len(lines) > 0:
		b.note("result: the rule was broken, %d times", len(lines))
		return broken
	case err != nil:
		b.note("result: could not run: %v", err)
		return failed
	default:
		b.note("result: the rule held")
		return held
	}
}

// atEnd registers a cleanup.
func (b *bed) atEnd(f func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cleanups = append(b.cleanups, f)
}

func (b *bed) close() {
	for _, h := range b.hosts {
		h.kill()
	}
	b.mu.Lock()
	cleanups := b.cleanups
	b.closed = true
	b.mu.Unlock()
	for i := len(cleanups) - 1; i >= 0; i-- {
		cleanups[i]()
	}
	_ = b.server.Close()
	_ = b.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(b.folder)
	}
}

// daemons is the number of daemons of most cases, of which the first ones are seeds.
const (
	daemons = 3
	seeds   = 2
)

// addHosts prepares daemons, which are started by start.
func (b *bed) addHosts(store string, daemons, seeds int) error {
	network, port, err := b.freeNetwork()
	if err != nil {
		return err
	}
	address := func(i, offset int) netip.AddrPort {
		const first = 10
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, network, byte(first + i)}), port+uint16(offset))
	}
	const front, ready, peer, share = 0, 1, 2, 3
	var seedList []netip.AddrPort
	for i := range seeds {
		seedList = append(seedList, address(i, peer))
	}
	for i := range daemons {
		h := &host{settings: &edge.Settings{
			Name: fmt.Sprintf("edge-%d", i), DataCentre: dataCentre, Regions: map[names.DataCentre]names.Region{dataCentre: region},
			CallerAddress: address(i, front), ReadyAddress: address(i, ready), PeerAddress: address(i, peer), SharePort: port + share,
			Seeds: seedList, StoreAddress: netip.MustParseAddrPort(store),
			GracePeriod: grace, RetryRatio: retryRatio, RetrySlack: retrySlack, RetryWindow: retryWindow,
			MemoryBytes: memoryBytes, Descriptors: descriptors,
		}}
		h.file, h.log = filepath.Join(b.folder, h.settings.Name+".json"), filepath.Join(b.folder, h.settings.Name+".log")
		if err := h.writeSettings(); err != nil {
			return err
		}
		b.hosts = append(b.hosts, h)
	}
	return nil
}

// writeSettings writes the settings file of a daemon.
func (h *host) writeSettings() error {
	text, err := platform.EncodeSettings(h.settings)
	if err != nil {
		return err
	}
	const mode = 0o600
	return os.WriteFile(h.file, text, mode)
}

// freeNetwork returns the third byte of a loopback network and the first of four ports that are
// free there.
func (b *bed) freeNetwork() (network byte, port uint16, err error) {
	const tries, lowest, ports, needed, networks, last = 100, 20_000, 10_000, 4, 250, 10
	for range tries {
		network, port = byte(1+rand.IntN(networks)), uint16(lowest+rand.IntN(ports))
		claim, err := net.Listen("tcp", fmt.Sprintf("127.0.%d.1:%d", network, platform.MetricsPort-1))
		if err != nil {
			continue // another case has claimed the network
		}
		b.atEnd(func() { _ = claim.Close() })
		free := true
		for _, p := range []uint16{port, port + 1, port + 2, port + needed - 1, platform.MetricsPort} {
			listener, err := net.Listen("tcp", fmt.Sprintf("127.0.%d.%d:%d", network, last, p))
			if err != nil {
				free = false
				continue
			}
			_ = listener.Close()
		}
		if free {
			return network, port, nil
		}
	}
	return 0, 0, errors.New("no free ports")
}

// start starts a daemon with the command of the deploy file.
func (h *host) start() error {
	log, err := os.OpenFile(h.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	h.command = exec.Command("target/carobspoked", "edge")
	h.command.Env = append(os.Environ(), platform.SettingsVariable+"="+h.file)
	h.command.Stdout, h.command.Stderr = log, log
	if err := h.command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	h.exited = exited
	command := h.command
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	return nil
}

// kill kills a daemon and waits for its end.
func (h *host) kill() {
	if h.command == nil {
		return
	}
	_ = h.command.Process.Kill()
	<-h.exited
	h.command = nil
}

// startAll starts the daemons, and waits until all are ready and know each other.
func (b *bed) startAll() error { return b.startSome(b.hosts) }

// startSome is startAll for some of the daemons.
func (b *bed) startSome(hosts []*host) error {
	for _, h := range hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	for _, h := range hosts {
		if err := h.awaitReady(); err != nil {
			return err
		}
	}
	const acquaintance = 4 * time.Second
	time.Sleep(acquaintance)
	b.note("%d daemons are ready", len(hosts))
	return nil
}

func (h *host) awaitReady() error {
	const patience, pause = 20 * time.Second, 50 * time.Millisecond
	for until := time.Now().Add(patience); time.Now().Before(until); time.Sleep(pause) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.settings.ReadyAddress.String()+platform.ReadyPath, nil)
		if err != nil {
			cancel()
			return err
		}
		response, err := http.DefaultClient.Do(request)
		cancel()
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", h.settings.Name)
}

// publish publishes a configuration with some routes and services of one customer.
func (b *bed) publish(version names.Version, routes []routing.Route, services ...routing.Service) error {
	value, err := platform.EncodeConfig(newConfig(version, routes, services))
	if err != nil {
		return err
	}
	b.store.put(platform.KeyConfig, value)
	return nil
}

// newConfig returns a configuration of one customer.
func newConfig(version names.Version, routes []routing.Route, services []routing.Service) *routing.Config {
	const headerBytes, bodyBytes = 16 << 10, 4 << 20
	return &routing.Config{
		Version: version, Routes: routes, Services: services,
		Customers: []routing.Customer{{Name: customer, Keys: []string{key}}},
		Limits:    routing.Limits{HeaderBytes: headerBytes, BodyBytes: bodyBytes, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	}
}

// list publishes the entry of a target of the plain service, complete as a target writes it.
func (b *bed) list(id, service, address string, started int64) {
	b.store.putEntry(id, entry{Service: service, Address: address, Zone: dataCentre, Version: softwareVersion, Slots: slots, State: ready, Seq: 1, Born: started})
}

// attemptID returns the ID of the n-th request.
func attemptID(n int) string { return fmt.Sprintf("%016x", n) }

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/replicas"
	"carobspoke.example/platform"
	"carobspoke.example/serving/process/edge"
	"carobspoke.example/tools/emulator"
	"github.com/pkg/errors"
)

// Bounds of the site sahayatri-kendra that the cases use.
const (
	stableTime      = 3000 * time.Millisecond
	configApplyTime = 2000 * time.Millisecond
	drainTime       = 2000 * time.Millisecond
	graceTime       = 8 * time.Second
	retryRatio      = 0.2
	retrySlack      = 106
	retryWindow     = 10 * time.Second
)

// bed holds the processes and stand-ins of one run.
type bed struct {
	trouble bool
	program string
	folder  string
	began   time.Time
	store   *emulator.Store
	daemons []*daemon
	targets []*target
	caller  *http.Client

	mu      sync.Mutex
	record  *os.File
	claim   net.Listener
	servers []*http.Server
}

func newBed(program, record string, trouble bool) (*bed, error) {
	folder, err := os.MkdirTemp("", "carobspoke-review-")
	if err != nil {
		return nil, errors.Wrap(err, "folder")
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, errors.Wrap(err, "record")
	}
	b := &bed{
		trouble: trouble, program: program, folder: folder, began: time.Now(), store: emulator.NewStore(), record: file,
		caller: &http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}},
	}
	return b, nil
}

// log writes a line to the record, with the time since the start of the run.
func (b *bed) log(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, _ = fmt.Fprintf(b.record, "%8.3f ", time.Since(b.began).Seconds())
	_, _ = fmt.Fprintf(b.record, format+"\n", args...)
}

// close ends all processes and stand-ins.
func (b *bed) close() {
	for _, d := range b.daemons {
		d.kill()
	}
	for _, t := range b.targets {
		_ = t.server.Close()
	}
	for _, s := range b.servers {
		_ = s.Close()
	}
	if b.claim != nil {
		_ = b.claim.Close()
	}
	_ = b.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(b.folder)
	}
}

// daemon is one process of the daemon under review.
type daemon struct {
	bed      *bed
	name     string
	settings *edge.Settings
	file     string

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	// calls counts the calls to the store that this daemon has made of late.
	calls int
	// silent is true while the store does not answer this daemon, and silences counts how
	// often that began.
	silent   bool
	silences int
}

// start starts the process with the command of the deploy file, unless it runs.
func (d *daemon) start() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.command != nil {
		return nil
	}
	log, err := os.OpenFile(d.file+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "log")
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(d.bed.program, "edge")
	command.Env = append(os.Environ(), platform.SettingsVariable+"="+d.file)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return errors.Wrap(err, "start")
	}
	exited := make(chan struct{})
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	d.command, d.exited = command, exited
	d.bed.log("%s started", d.name)
	return nil
}

// pid returns the ID of the process, zero if it does not run.
func (d *daemon) pid() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.command == nil {
		return 0
	}
	return d.command.Process.Pid
}

func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.command != nil {
		_ = d.command.Process.Signal(s)
	}
}

// awaitEnd waits until the process has ended, or for a time.
func (d *daemon) awaitEnd(limit time.Duration) {
	d.mu.Lock()
	exited := d.exited
	d.mu.Unlock()
	select {
	case <-exited:
	case <-time.After(limit):
	}
}

// kill kills the process and waits for its end.
func (d *daemon) kill() {
	d.signal(syscall.SIGKILL)
	d.mu.Lock()
	exited := d.exited
	d.mu.Unlock()
	if exited != nil {
		<-exited
	}
	d.mu.Lock()
	d.command = nil
	d.mu.Unlock()
}

func (d *daemon) ready() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.settings.ReadyAddress.String()+platform.ReadyPath, http.NoBody)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// takeCalls returns the number of calls to the store since the last call of it.
func (d *daemon) takeCalls() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := d.calls
	d.calls = 0
	return n
}

// startDaemons starts daemons in some data centres, each at an address of its own on a
// loopback network, and waits until all are ready.
func (b *bed) startDaemons(count, centres int) error {
	network, ports, err := b.claimNetwork(count)
	if err != nil {
		return err
	}
	address := func(i, port int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, network, byte(10 + i)}), ports[port])
	}
	var peers []netip.AddrPort
	for i := range count {
		peers = append(peers, address(i, 2))
	}
	centre := func(i int) names.DataCentre { return names.DataCentre("bagmati-" + string(rune('a'+i%centres))) }
	regions := make(map[names.DataCentre]names.Region)
	for i := range centres {
		regions[centre(i)] = "bagmati"
	}
	for i := range count {
		d := &daemon{bed: b, name: fmt.Sprintf("daemon-%d", i), file: filepath.Join(b.folder, fmt.Sprintf("node-%d.json", i))}
		store, err := b.serveStore(d)
		if err != nil {
			return err
		}
		d.settings = &edge.Settings{
			Name: d.name, DataCentre: centre(i), Regions: regions,
			CallerAddress: address(i, 0), ReadyAddress: address(i, 1), PeerAddress: address(i, 2), SharePort: ports[3],
			Seeds: peers[:min(3, count)], StoreAddress: store,
			GracePeriod: graceTime, RetryRatio: retryRatio, RetrySlack: retrySlack, RetryWindow: retryWindow,
		}
		text, err := platform.EncodeSettings(d.settings)
		if err != nil {
			return err
		}
		if err := os.WriteFile(d.file, text, 0o600); err != nil {
			return errors.Wrap(err, "settings")
		}
		b.daemons = append(b.daemons, d)
		b.log("%s: %s, peer address %s", d.name, d.settings.DataCentre, d.settings.PeerAddress)
		if err := d.start(); err != nil {
			return err
		}
	}
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		waiting := 0
		for _, d := range b.daemons {
			if !d.ready() {
				waiting++
			}
		}
		if waiting == 0 {
			break
		}
		if time.Now().After(end) {
			return errors.Errorf("%d daemons are not ready", waiting)
		}
	}
	b.log("all daemons are ready")
	return nil
}

// claimNetwork returns a free network 127.0.N.0/24 and four free consecutive ports there.
func (b *bed) claimNetwork(count int) (network byte, ports [4]uint16, err error) {
	for range 200 {
		network = byte(1 + rand.IntN(250))
		first := uint16(20_000 + rand.IntN(10_000))
		ports = [4]uint16{first, first + 1, first + 2, first + 3}
		claim, err := net.Listen("tcp", fmt.Sprintf("127.0.%d.1:%d", network, platform.MetricsPort-1))
		if err != nil {
			continue
		}
		free := true
		for i := range count {
			for _, port := range append(ports[:], platform.MetricsPort) {
				l, err := net.Listen("tcp", fmt.Sprintf("127.0.%d.%d:%d", network, 10+i, port))
				if err != nil {
					free = false
					continue
				}
				_ = l.Close()
			}
		}
		if free {
			b.claim = claim
			return network, ports, nil
		}
		_ = claim.Close()
	}
	return 0, ports, errors.New("no free network")
}

// serveStore serves the store to one daemon at an address of its own, so that the calls of
// each daemon are known.
func (b *bed) serveStore(d *daemon) (netip.AddrPort, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, errors.Wrap(err, "store")
	}
	server := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.mu.Lock()
		d.calls++
		d.mu.Unlock()
		b.serveStoreCall(d, w, r)
	})}
	go func() { _ = server.Serve(listener) }()
	b.servers = append(b.servers, server)
	return netip.MustParseAddrPort(listener.Addr().String()), nil
}

// serveStoreCall answers a call of a daemon unless the store is silent to it or becomes so
// before the answer. Nothing further comes on the connection of such a call.
func (b *bed) serveStoreCall(d *daemon, w http.ResponseWriter, r *http.Request) {
	silent, before := d.silence()
	if silent {
		<-r.Context().Done()
		return
	}
	answer := httptest.NewRecorder()
	b.store.ServeHTTP(answer, r)
	if _, after := d.silence(); after != before {
		<-r.Context().Done()
		return
	}
	for name, values := range answer.Header() {
		w.Header()[name] = values
	}
	w.WriteHeader(answer.Code)
	_, _ = w.Write(answer.Body.Bytes())
}

// silence reports whether the store is silent to the daemon, and how often that began.
func (d *daemon) silence() (silent bool, times int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.silent, d.silences
}

// setSilent sets whether the store is silent to the daemon.
func (d *daemon) setSilent(silent bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if silent {
		d.silences++
	}
	d.silent = silent
}

// arrival is a request that reached a target.
type arrival struct {
	at      time.Time
	attempt string
	key     string
	tenant  string
}

// target is a plain service that answers each request after workTime.
type target struct {
	bed    *bed
	entry  replicas.Target
	server *http.Server

	mu       sync.Mutex
	arrivals []arrival
}

// workTime is how long a request runs at a target.
const workTime = 10 * time.Millisecond

func (b *bed) startTarget(id names.Target, service names.Service) (*target, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "target")
	}
	t := &target{bed: b, entry: replicas.Target{
		ID: id, Service: service, Address: listener.Addr().String(), DataCentre: "bagmati-a", Slots: 6, Started: time.Now().UnixMilli(),
	}}
	t.server = &http.Server{Handler: t, ReadHeaderTimeout: time.Second}
	go func() { _ = t.server.Serve(listener) }()
	b.mu.Lock()
	b.targets = append(b.targets, t)
	b.mu.Unlock()
	return t, b.store.PutTarget(&t.entry)
}

// ServeHTTP implements http.Handler.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get(platform.HeaderAttempt)
	w.Header().Set(platform.HeaderAttempt, attempt)
	if r.Header.Get(platform.HeaderTarget) != string(t.entry.ID) {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	t.mu.Lock()
	t.arrivals = append(t.arrivals, arrival{at: time.Now(), attempt: attempt, tenant: r.Header.Get(platform.HeaderCustomer)})
	t.mu.Unlock()
	t.bed.log("%s runs request %s, tenant %q", t.entry.ID, attempt, r.Header.Get(platform.HeaderCustomer))
	time.Sleep(workTime)
	w.Header().Set(platform.HeaderSeal, string(t.entry.ID))
	_, _ = fmt.Fprintf(w, "answer of %s to %s", t.entry.ID, attempt)
}

// arrivalsAfter returns the requests that arrived after a time.
func (t *target) arrivalsAfter(at time.Time) []arrival {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []arrival
	for _, a := range t.arrivals {
		if a.at.After(at) {
			list = append(list, a)
		}
	}
	return list
}

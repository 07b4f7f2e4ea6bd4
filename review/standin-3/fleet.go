package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/replicas"
	"carobspoke.example/core/version/routing"
	"carobspoke.example/platform"
	"carobspoke.example/serving/process/edge"
	"github.com/pkg/errors"
)

// Settings like those of a small deployment of the users' sheets. Each daemon has a loopback
// address of its own.
const (
	grace       = 8 * time.Second
	memoryBytes = 284 << 20
	descriptors = 4100
	retryRatio  = 0.2
	retrySlack  = 106
	retryWindow = 10 * time.Second
	callerPort  = 8227
	readyPort   = 8220
	peerPort    = 7340
	seeds       = 3
	slots       = 16
	connections = 274
	zone        = "zone-a"
	region      = "region-a"
	hostname    = "desk.example"
	// applyTime is config_apply_ms of the sheets, and stableTime is stable_ms and a margin: machines
	// that have run for so long are in touch.
	applyTime  = 2 * time.Second
	stableTime = 3500 * time.Millisecond
	// tenant holds key, which all clients send.
	tenant, key = "stall-keepers", "key-of-stall-keepers"
)

// recorder writes what was sent, answered and run, with the time since the start.
type recorder struct {
	mu    sync.Mutex
	file  io.Writer
	began time.Time
}

func (r *recorder) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...)) // a record that cannot be written shows by its absence
}

// fleet is the platform's store, the replicas, and the daemons.
type fleet struct {
	record  *recorder
	dir     string
	store   *store
	storeAt netip.AddrPort
	network [2]byte
	daemons []*daemon
	closers []func()
	version names.Version
}

func newFleet(record *recorder) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, errors.WithStack(err)
	}
	const lowest, blocks, subnets = 64, 128, 250
	f := &fleet{
		record: record, dir: dir, store: newStore(),
		network: [2]byte{byte(lowest + rand.IntN(blocks)), byte(1 + rand.IntN(subnets))},
	}
	address, err := f.listen(f.store)
	if err != nil {
		return nil, err
	}
	f.storeAt, err = netip.ParseAddrPort(address)
	return f, errors.WithStack(err)
}

// listen serves HTTP at a free port until the fleet is closed.
func (f *fleet) listen(handler http.Handler) (address string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.WithStack(err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }() // until it is closed
	f.closers = append(f.closers, func() { _ = server.Close() })
	return listener.Addr().String(), nil
}

// close ends all that the fleet has started.
func (f *fleet) close() {
	for _, d := range f.daemons {
		_ = d.command.Process.Kill()
		<-d.ended
	}
	for _, c := range f.closers {
		c()
	}
	_ = os.RemoveAll(f.dir)
}

// limits are those of the pages' example.
func limits() routing.Limits {
	return routing.Limits{HeaderBytes: 16384, BodyBytes: 4194304, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
}

// publish writes a configuration with a higher version. The store acknowledges it at once.
func (f *fleet) publish(c *routing.Config) error {
	const step = 3
	f.version += step
	c.Version = f.version
	c.Customers = []routing.Customer{{Name: tenant, Keys: []string{key}}}
	var prefixes []string
	for i := range c.Routes {
		prefixes = append(prefixes, fmt.Sprintf("%s to %s", c.Routes[i].Prefix, c.Routes[i].Services[0].Service))
	}
	err := f.store.putConfig(c)
	f.record.add("configuration %d acknowledged: %s", c.Version, strings.Join(prefixes, ", "))
	return err
}

// daemon is a process of the deploy file's run line.
type daemon struct {
	name    string
	address netip.Addr
	command *exec.Cmd
	ended   chan struct{}
}

func (d *daemon) callers() string { return netip.AddrPortFrom(d.address, callerPort).String() }

// startDaemons starts daemons and waits until all are ready and in touch.
func (f *fleet) startDaemons(count int) error {
	const firstHost = 10
	address := func(i int) netip.Addr {
		return netip.AddrFrom4([4]byte{127, f.network[0], f.network[1], byte(firstHost + i)})
	}
	var list []netip.AddrPort
	for i := range min(count, seeds) {
		list = append(list, netip.AddrPortFrom(address(i), peerPort))
	}
	for i := range count {
		if err := f.startDaemon(fmt.Sprintf("edge-%d", i+1), address(i), list); err != nil {
			return err
		}
	}
	for _, d := range f.daemons {
		if err := d.awaitReady(); err != nil {
			return err
		}
	}
	f.record.add("%d daemons are ready", count)
	time.Sleep(stableTime)
	f.record.add("they are in touch")
	return nil
}

func (f *fleet) startDaemon(name string, at netip.Addr, seeds []netip.AddrPort) error {
	text, err := platform.EncodeSettings(&edge.Settings{
		Name: name, DataCentre: zone, Regions: map[names.DataCentre]names.Region{zone: region},
		CallerAddress: netip.AddrPortFrom(at, callerPort), ReadyAddress: netip.AddrPortFrom(at, readyPort),
		PeerAddress: netip.AddrPortFrom(at, peerPort), SharePort: peerPort + 1,
		Seeds: seeds, StoreAddress: f.storeAt, GracePeriod: grace,
		RetryRatio: retryRatio, RetrySlack: retrySlack, RetryWindow: retryWindow,
		MemoryBytes: memoryBytes, Descriptors: descriptors,
	})
	if err != nil {
		return err
	}
	settings := filepath.Join(f.dir, name+".json")
	if err := os.WriteFile(settings, text, 0o600); err != nil {
		return errors.WithStack(err)
	}
	log, err := os.Create(filepath.Join(f.dir, name+".log"))
	if err != nil {
		return errors.WithStack(err)
	}
	defer func() { _ = log.Close() }() // the process has its own descriptor
	d := &daemon{name: name, address: at, ended: make(chan struct{})}
	d.command = exec.Command("target/carobspoked", "edge")
	d.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), platform.SettingsVariable + "=" + settings}
	d.command.Stdout, d.command.Stderr = log, log
	if err := d.command.Start(); err != nil {
		return errors.WithStack(err)
	}
	f.daemons = append(f.daemons, d)
	go func() {
		err := d.command.Wait()
		f.record.add("daemon %s has ended: %v", d.name, err)
		close(d.ended)
	}()
	return nil
}

// awaitReady asks as the platform does, and more often.
func (d *daemon) awaitReady() error {
	const tries, pause = 200, 50 * time.Millisecond
	url := "http://" + netip.AddrPortFrom(d.address, readyPort).String() + platform.ReadyPath
	for range tries {
		if response, err := http.Get(url); err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(pause)
	}
	return errors.Errorf("daemon %s is not ready", d.name)
}

// replica is a replica in this process. Its handler serves the requests that it runs.
type replica struct {
	replicas.Target
	fleet *fleet
	serve http.HandlerFunc
	// early replicas are served the request before its body was read.
	early bool
}

// startReplica starts a replica and publishes its entry.
func (f *fleet) startReplica(id names.Target, service names.Service, serve http.HandlerFunc) error {
	return f.start(&replica{serve: serve, Target: replicas.Target{ID: id, Service: service, DataCentre: zone, Slots: slots, Started: time.Now().UnixMilli()}})
}

// start starts a replica at a free port and publishes its entry.
func (f *fleet) start(r *replica) (err error) {
	r.fleet = f
	if r.Address, err = f.listen(r); err != nil {
		return err
	}
	f.record.add("replica %s of %s at %s", r.ID, r.Service, r.Address)
	return f.store.putTarget(&r.Target)
}

// ServeHTTP implements http.Handler.
func (r *replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if q.Header.Get(platform.HeaderTarget) != string(r.ID) {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := q.Header.Get(platform.HeaderAttempt)
	if id == "" {
		w.WriteHeader(http.StatusOK) // a look at the replica
		return
	}
	if !r.early {
		_, _ = io.Copy(io.Discard, q.Body) // a request that is cut off is seen by its context
	}
	r.fleet.record.add("replica %s of %s runs %s: %s %s", r.ID, r.Service, id, q.Method, q.RequestURI)
	w.Header().Set(platform.HeaderAttempt, id)
	w.Header().Set(platform.HeaderSeal, "seal."+string(r.ID))
	r.serve(w, q)
}

// request is a request of a client.
type request struct {
	id, method, path string
	deadline         time.Duration
	header           map[string]string
	body             int
}

// head returns the head of the request.
func (q *request) head() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", q.method, q.path, hostname, platform.HeaderAttempt, q.id, platform.HeaderDeadline, q.deadline.Milliseconds())
	fmt.Fprintf(&b, "%s: %s\r\n", platform.HeaderKey, key)
	if strings.HasPrefix(q.path, streamPrefix) {
		fmt.Fprintf(&b, "X-Model: m\r\n%s: 4960,4000\r\n%s: 5c1e07a2:40,%x:4920\r\n", platform.HeaderTokens, platform.HeaderParts, []byte(q.id))
	}
	for name, value := range q.header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	if q.body > 0 {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", q.body)
	}
	return b.String() + "\r\n"
}

// answer is what a client got. err is nil for a complete answer.
type answer struct {
	status int
	body   string
	sealed bool
	err    error
}

// send sends a request on a new connection and reads its answer.
func (f *fleet) send(d *daemon, q *request) answer {
	conn, err := net.DialTimeout("tcp", d.callers(), time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = conn.Close() }() // the answer was read
	if _, err := io.WriteString(conn, q.head()+strings.Repeat("x", q.body)); err != nil {
		return answer{err: err}
	}
	return read(conn, q)
}

// read reads the answer to a request.
func read(conn net.Conn, q *request) answer {
	_ = conn.SetReadDeadline(time.Now().Add(q.deadline)) // of an open connection
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }() // it was read
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, body: string(body), sealed: response.Header.Get(platform.HeaderSeal) != "", err: err}
}

// isTimeout reports whether a client gave up.
func isTimeout(err error) bool {
	var network net.Error
	return errors.As(err, &network) && network.Timeout()
}

// modelService returns the parameters of a service of engines, those of the pages' example.
func modelService(name names.Service) routing.Service {
	return routing.Service{Name: name, MaxConnections: connections, Engine: &routing.Engine{
		Slots: slots, MemoryTokens: 450_000, StepsPerPass: 46, StepTime: 925 * time.Microsecond, StepTimePerSequence: 4830 * time.Nanosecond,
		StepTimePerThousandTokens: 2540 * time.Nanosecond, PrefillRate: 256_000, PrefillTimePerMillionPairs: 91_700 * time.Nanosecond, ChunkTokens: 2048,
		MeanPromptTokens: 13_227, MeanAnswerTokens: 1541, ParallelPrefill: true,
	}}
}

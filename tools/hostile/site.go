// Package hostile runs a daemon as a process of its own against the emulator of the
// platform and loads it with the connections of hostile callers.
package hostile

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/replicas"
	"carobspoke.example/core/version/routing"
	"carobspoke.example/platform"
	"carobspoke.example/serving/process/edge"
	"carobspoke.example/tools/emulator"
	"carobspoke.example/tools/processes"
	"github.com/pkg/errors"
)

// HostLimits are the memory and the descriptors that the settings grant to the daemon.
type HostLimits struct {
	MemoryMB    int
	Descriptors int
}

// Published limits for callers. The times exceed those of a load, so that the daemon ends
// no connection of it for being slow.
const (
	maxHeadBytes  = 16 << 10
	maxBodyBytes  = 4 << 20
	headerTimeout = 20 * time.Second
	idleTimeout   = 20 * time.Second
)

// Site is a daemon, its store and its targets.
type Site struct {
	settings *edge.Settings
	command  *exec.Cmd
	exited   chan struct{}
	store    *http.Server
	targets  []*emulator.Target
}

const (
	hostname = "hostile.example"
	grace    = 2 * time.Second
	// lowestPort and portRange are below the ports that the system chooses.
	lowestPort, portRange = 20_000, 10_000
)

// StartSite starts a daemon with a store, an engine and a replica of a plain service. The
// daemon's settings and log are written into a folder.
func StartSite(program, folder string, limits HostLimits) (*Site, error) {
	store := emulator.NewStore()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "hostile")
	}
	s := &Site{store: &http.Server{Handler: store, ReadHeaderTimeout: time.Second}}
	go func() { _ = s.store.Serve(listener) }() // returns after Close
	checker := emulator.NewChecker(grace)
	for _, service := range []names.Service{"engines", "plain"} {
		target, err := emulator.StartTarget(replicas.Target{
			ID: names.Target("t-" + service), Service: service, Address: "127.0.0.1:0", DataCentre: "dc", Slots: 8,
		}, checker)
		if err != nil {
			return s, err
		}
		s.targets = append(s.targets, target)
		if err := store.PutTarget(&target.Target); err != nil {
			return s, err
		}
	}
	if err := store.PutConfig(configuration()); err != nil {
		return s, err
	}
	return s, s.startDaemon(program, folder, listener.Addr().String(), limits)
}

// configuration returns the published configuration. Callers need no key.
func configuration() *routing.Config {
	route := func(name string, kind routing.Kind, service names.Service) routing.Route {
		return routing.Route{
			Name: name, Hostname: hostname, Prefix: "/" + name + "/", Kind: kind, Timeout: headerTimeout, MaxAttempts: 2, Anonymous: true,
			Services: []routing.WeightedService{{Service: service, Weight: 1}},
		}
	}
	return &routing.Config{
		Version: 1,
		Routes:  []routing.Route{route("stream", routing.Streaming, "engines"), route("read", routing.Idempotent, "plain"), route("order", routing.NonIdempotent, "plain")},
		Services: []routing.Service{{Name: "plain", MaxConnections: 100}, {Name: "engines", MaxConnections: 100, Engine: &routing.Engine{
			Slots: 8, MemoryTokens: 450_000, StepsPerPass: 10, StepTime: time.Millisecond, PrefillRate: 256_000, ChunkTokens: 2048, MeanPromptTokens: 5000, MeanAnswerTokens: 150,
		}}},
		Limits: routing.Limits{HeaderBytes: maxHeadBytes, BodyBytes: maxBodyBytes, HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout},
	}
}

func (s *Site) startDaemon(program, folder, store string, limits HostLimits) error {
	ip := netip.MustParseAddr(processes.RandomLoopback())
	port := uint16(lowestPort + rand.IntN(portRange))
	address := func(i uint16) netip.AddrPort { return netip.AddrPortFrom(ip, port+i) }
	s.settings = &edge.Settings{
		Name: "host", DataCentre: "dc", Regions: map[names.DataCentre]names.Region{"dc": "region"},
		CallerAddress: address(0), ReadyAddress: address(1), PeerAddress: address(2), SharePort: port + 3,
		StoreAddress: netip.MustParseAddrPort(store), GracePeriod: grace, RetryRatio: 0.2, RetrySlack: 100, RetryWindow: 10 * time.Second,
		MemoryBytes: int64(limits.MemoryMB) << 20, Descriptors: limits.Descriptors,
	}
	text, err := platform.EncodeSettings(s.settings)
	if err != nil {
		return err
	}
	path := filepath.Join(folder, "settings.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return errors.Wrap(err, "hostile")
	}
	log, err := os.Create(filepath.Join(folder, "daemon.log"))
	if err != nil {
		return errors.Wrap(err, "hostile")
	}
	defer func() { _ = log.Close() }() // the process has its own descriptor
	s.command = exec.Command(program, "edge")
	s.command.Env = append(os.Environ(), platform.SettingsVariable+"="+path)
	s.command.Stdout, s.command.Stderr = log, log
	if err := s.command.Start(); err != nil {
		return errors.Wrap(err, "hostile")
	}
	s.exited = make(chan struct{})
	go func() {
		_ = s.command.Wait() // Alive tells whether the process has exited
		close(s.exited)
	}()
	return nil
}

// Close ends the daemon, the targets and the store.
func (s *Site) Close() {
	if s.command != nil && s.command.Process != nil {
		_ = s.command.Process.Signal(syscall.SIGKILL) // the process may have exited
		<-s.exited
	}
	for _, target := range s.targets {
		target.Crash()
	}
	_ = s.store.Close() // its only client has exited
}

// Alive reports whether the process that StartSite has started still runs.
func (s *Site) Alive() bool {
	select {
	case <-s.exited:
		return false
	default:
		return true
	}
}

// Usage is what the process uses of its host. Memory is in bytes.
type Usage struct {
	// Resident is the present, PeakResident the largest resident memory since the start.
	Resident, PeakResident int64
	Descriptors            int
}

// Usage reads what the process uses.
func (s *Site) Usage() (Usage, error) {
	folder := "/proc/" + strconv.Itoa(s.command.Process.Pid)
	status, err := os.ReadFile(folder + "/status")
	if err != nil {
		return Usage{}, errors.Wrap(err, "hostile")
	}
	var u Usage
	for name, to := range map[string]*int64{"VmRSS": &u.Resident, "VmHWM": &u.PeakResident} {
		if *to, err = statusBytes(string(status), name); err != nil {
			return Usage{}, err
		}
	}
	open, err := os.ReadDir(folder + "/fd")
	u.Descriptors = len(open)
	return u, errors.Wrap(err, "hostile")
}

// statusBytes returns a field of /proc/PID/status that is in kB.
func statusBytes(status, name string) (int64, error) {
	for line := range strings.Lines(status) {
		fields := strings.Fields(line)
		const columns = 3
		if len(fields) == columns && fields[0] == name+":" {
			kb, err := strconv.ParseInt(fields[1], 10, 64)
			return kb << 10, errors.Wrap(err, "hostile")
		}
	}
	return 0, errors.Errorf("hostile: the status has no %s", name)
}

// WaitServed sends ordinary requests, one after the other and each on a connection of its
// own, until one is answered with status 200.
func (s *Site) WaitServed(ctx context.Context) error {
	err := errors.New("hostile: no request was sent")
	for i := 0; ctx.Err() == nil; i++ {
		if err = s.request(ctx, fmt.Sprintf("ordinary-%d", i), nil, http.NoBody); err == nil {
			return nil
		}
		time.Sleep(pollInterval)
	}
	return err
}

const pollInterval = 50 * time.Millisecond

// request sends a request with further head lines. It returns an error unless the answer is
// that of the target.
func (s *Site) request(ctx context.Context, attempt string, header http.Header, body io.Reader) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.settings.CallerAddress.String()+"/order/x", body)
	if err != nil {
		return errors.Wrap(err, "hostile")
	}
	for name, values := range header {
		r.Header[name] = values
	}
	r.Host, r.Close = hostname, true
	r.Header.Set(platform.HeaderAttempt, attempt)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return errors.Wrap(err, "hostile")
	}
	defer func() { _ = response.Body.Close() }() // the body has been read
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return errors.Wrap(err, "hostile")
	}
	if response.StatusCode != http.StatusOK || string(text) != emulator.CallAnswer(attempt) {
		return errors.Errorf("hostile: answered %d %q", response.StatusCode, text)
	}
	return nil
}

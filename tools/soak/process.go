package soak

import (
	"context"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"carobspoke.example/platform"
	"github.com/pkg/errors"
)

// process runs one daemon and restarts it. Its methods are safe for concurrent
// use.
type process struct {
	// program, settings and log are paths of files.
	program  string
	settings string
	log      string

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	// pauses counts the active pauses.
	pauses int
	// disturbedAt is when the process was last started, signalled or stopped.
	disturbedAt time.Time
}

// start starts the process unless it is running.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		return nil
	}
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "soak")
	}
	defer func() { _ = log.Close() }() // the process has its own descriptor
	command := exec.Command(p.program, "edge")
	command.Env = append(os.Environ(), platform.SettingsVariable+"="+p.settings)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return errors.Wrap(err, "soak")
	}
	exited := make(chan struct{})
	go func() {
		_ = command.Wait() // the log shows why the process exited
		close(exited)
	}()
	p.command, p.exited, p.disturbedAt = command, exited, time.Now()
	return nil
}

// signal sends a signal to the process if it is running.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sendLocked(s)
	if p.command != nil {
		p.disturbedAt = time.Now()
	}
}

// pause stops the process until the returned function is called. Of several pauses the
// last one to end continues it.
func (p *process) pause() (end func()) {
	p.countPauses(1)
	p.signal(syscall.SIGSTOP)
	return func() {
		if p.countPauses(-1) == 0 {
			p.signal(syscall.SIGCONT)
		}
	}
}

// hold is pause for a process that is stopped as a matter of course: it doesn't count as
// disturbed, and no process that is started meanwhile is stopped.
func (p *process) hold() (end func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pauses++
	p.sendLocked(syscall.SIGSTOP)
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.pauses--
		if p.pauses == 0 {
			p.sendLocked(syscall.SIGCONT)
		}
	}
}

// sendLocked sends a signal to the process if it is running. The caller holds mu.
func (p *process) sendLocked(s syscall.Signal) {
	if p.command != nil {
		_ = p.command.Process.Signal(s) // the process may have exited
	}
}

// pid returns the process's ID, or 0 if it isn't running.
func (p *process) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return 0
	}
	return p.command.Process.Pid
}

func (p *process) countPauses(change int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pauses += change
	return p.pauses
}

// kill kills the process and waits until it has exited.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.wait(context.Background())
}

// wait waits until the process has exited or ctx ends. After an exit the process
// can be started again.
func (p *process) wait(ctx context.Context) {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited == nil {
		return
	}
	select {
	case <-exited:
	case <-ctx.Done():
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.exited == exited {
		p.command, p.exited = nil, nil
		p.disturbedAt = time.Now()
	}
}

// stop sends SIGTERM to the process and kills it if it has not exited within the
// grace time.
func (p *process) stop() {
	p.signal(syscall.SIGTERM)
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	p.wait(ctx)
	p.kill()
}

// undisturbed reports whether the process runs and was not started, signalled or
// stopped in the last d.
func (p *process) undisturbed(d time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.command != nil && time.Since(p.disturbedAt) > d
}

// fetchTimeout bounds a readiness check and a read of the metrics.
const fetchTimeout = 500 * time.Millisecond

// ready reports whether the daemon accepts requests.
func (h *host) ready(ctx context.Context) bool {
	status, _ := fetch(ctx, "http://"+h.settings.ReadyAddress.String()+platform.ReadyPath)
	return status == http.StatusOK
}

// version returns the version of the configuration in force at the daemon, or 0
// if it cannot be read.
func (h *host) version(ctx context.Context) uint64 {
	address := h.settings.PeerAddress.Addr().String() + ":" + strconv.Itoa(platform.MetricsPort)
	_, text := fetch(ctx, "http://"+address+platform.MetricsPath)
	for line := range strings.Lines(text) {
		if value, ok := strings.CutPrefix(line, "carobspoke_config_version "); ok {
			version, err := strconv.ParseUint(strings.TrimSpace(value), 10, 64)
			if err == nil {
				return version
			}
		}
	}
	return 0
}

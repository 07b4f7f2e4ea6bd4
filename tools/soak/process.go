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

// process is one daemon's process over its restarts. Its methods are safe for
// concurrent use.
type process struct {
	program  string
	settings string
	log      string

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	// disturbed is when the process was last harmed or started.
	disturbed time.Time
}

// start starts the process unless it runs.
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
	defer func() { _ = log.Close() }() // the process has its own
	command := exec.Command(p.program, "edge")
	command.Env = append(os.Environ(), platform.SettingsVariable+"="+p.settings)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return errors.Wrap(err, "soak")
	}
	ended := make(chan struct{})
	go func() {
		_ = command.Wait() // how it ended is in its log
		close(ended)
	}()
	p.command, p.ended, p.disturbed = command, ended, time.Now()
	return nil
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		_ = p.command.Process.Signal(s) // it may have ended
		p.disturbed = time.Now()
	}
}

// kill ends the process at once and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.wait(context.Background())
}

// wait waits for the end of the process, and forgets it.
func (p *process) wait(ctx context.Context) {
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	if ended == nil {
		return
	}
	select {
	case <-ended:
	case <-ctx.Done():
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended == ended {
		p.command, p.ended = nil, nil
		p.disturbed = time.Now()
	}
}

// stop asks the process to end, and ends it if it has not by the grace time.
func (p *process) stop() {
	p.signal(syscall.SIGTERM)
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	p.wait(ctx)
	p.kill()
}

// lookTimeout bounds a question to a daemon.
const lookTimeout = 500 * time.Millisecond

func (h *host) ready(ctx context.Context) bool {
	status, _ := look(ctx, "http://"+h.settings.ReadyAddress.String()+platform.ReadyPath)
	return status == http.StatusOK
}

// version returns the version in force at the daemon, or 0 if it does not tell.
func (h *host) version(ctx context.Context) uint64 {
	address := h.settings.PeerAddress.Addr().String() + ":" + strconv.Itoa(platform.MetricsPort)
	_, text := look(ctx, "http://"+address+platform.MetricsPath)
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

// Package processes runs daemons in processes of their own, so that tests can
// kill, pause and wake them as an operating system does.
package processes

import (
	"context"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"carobspoke.example/serving/process/settings"
	"carobspoke.example/tools/dev"
	"github.com/pkg/errors"
)

// ReadyTimeout bounds the start of a daemon.
const ReadyTimeout = 30 * time.Second

const readyPoll = 20 * time.Millisecond

// Build builds carobspoked into a folder and returns its path.
func Build(ctx context.Context, folder string) (string, error) {
	program := filepath.Join(folder, "carobspoked")
	build := exec.CommandContext(ctx, "go", "build", "-o", program, "carobspoke.example/serving/cmd/carobspoked")
	output, err := build.CombinedOutput()
	return program, errors.Wrapf(err, "go build: %s", output)
}

// Daemon is a running process.
type Daemon struct {
	Settings *settings.Settings
	program  string
	file     string
	command  *exec.Cmd
}

// Start starts a daemon with one of dev's settings files.
func Start(program string, s dev.Separate) (*Daemon, error) {
	d := &Daemon{Settings: s.Settings, program: program, file: s.File}
	return d, d.Restart()
}

// Restart starts the daemon's program anew, after its end.
func (d *Daemon) Restart() error {
	d.command = exec.Command(d.program, "--config", d.file)
	d.command.Stderr = os.Stderr
	if os.Getenv("DAEMON_LOGS") == "" {
		d.command.Stderr = nil
	}
	return errors.WithStack(d.command.Start())
}

// WaitReady waits until the daemon takes requests.
func (d *Daemon) WaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, ReadyTimeout)
	defer cancel()
	for {
		if d.ready(ctx) {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Errorf("daemon %s is not ready", d.Settings.Host)
		case <-time.After(readyPoll):
		}
	}
}

func (d *Daemon) ready(ctx context.Context) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.Settings.Admin.Listen+"/readyz", http.NoBody)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close() //nolint:errcheck // only the status counts
	return response.StatusCode == http.StatusOK
}

// Kill ends the process at once.
func (d *Daemon) Kill() error {
	if err := d.command.Process.Kill(); err != nil {
		return errors.WithStack(err)
	}
	_ = d.command.Wait() // it was killed
	return nil
}

// Wake lets a paused process go on.
func (d *Daemon) Wake() error { return errors.WithStack(d.command.Process.Signal(syscall.SIGCONT)) }

// Stop asks the process to drain, and waits for its end.
func (d *Daemon) Stop() error {
	if err := d.command.Process.Signal(syscall.SIGTERM); err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(d.command.Wait())
}

// Package processes runs daemons as separate processes, so that tests can kill,
// pause and resume them with signals.
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

// ReadyTimeout limits how long WaitReady waits for a daemon to become ready.
const ReadyTimeout = 30 * time.Second

const readyPollInterval = 20 * time.Millisecond

// Build builds the program carobspoked into a folder and returns its path.
func Build(ctx context.Context, folder string) (string, error) {
	program := filepath.Join(folder, "carobspoked")
	build := exec.CommandContext(ctx, "go", "build", "-o", program, "carobspoke.example/serving/cmd/carobspoked")
	output, err := build.CombinedOutput()
	return program, errors.Wrapf(err, "go build: %s", output)
}

// Daemon is a daemon that runs as a separate process.
type Daemon struct {
	Settings *settings.Settings
	program  string
	file     string
	command  *exec.Cmd
}

// Start starts a daemon with a settings file that dev.Environment.WriteSettings wrote.
// It does not wait until the daemon is ready.
func Start(program string, s dev.SeparateDaemon) (*Daemon, error) {
	d := &Daemon{Settings: s.Settings, program: program, file: s.File}
	return d, d.Restart()
}

// Restart starts the daemon's program again after the process has ended. Its log
// goes to standard error if the environment variable DAEMON_LOGS is set.
func (d *Daemon) Restart() error {
	d.command = exec.Command(d.program, "--config", d.file)
	d.command.Stderr = os.Stderr
	if os.Getenv("DAEMON_LOGS") == "" {
		d.command.Stderr = nil
	}
	return errors.WithStack(d.command.Start())
}

// WaitReady waits until the daemon reports that it is ready for requests. It
// fails after ReadyTimeout.
func (d *Daemon) WaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, ReadyTimeout)
	defer cancel()
	for {
		if d.ready(ctx) {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Errorf("daemon %s did not become ready", d.Settings.Host)
		case <-time.After(readyPollInterval):
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
	defer response.Body.Close() //nolint:errcheck // only the status is checked
	return response.StatusCode == http.StatusOK
}

// Kill sends SIGKILL and waits until the process has ended.
func (d *Daemon) Kill() error {
	if err := d.command.Process.Kill(); err != nil {
		return errors.WithStack(err)
	}
	_ = d.command.Wait() // the error only says that the process was killed
	return nil
}

// Resume continues a paused process.
func (d *Daemon) Resume() error { return errors.WithStack(d.command.Process.Signal(syscall.SIGCONT)) }

// Stop sends SIGTERM, at which the daemon drains, and waits until the process has
// ended.
func (d *Daemon) Stop() error {
	if err := d.command.Process.Signal(syscall.SIGTERM); err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(d.command.Wait())
}

package processes

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Timeout and poll interval of the wait for a process to stop.
const (
	stopTimeout      = 5 * time.Second
	stopPollInterval = time.Millisecond
)

// Pause suspends the process with SIGSTOP and waits until all of its threads have
// stopped. The threads stop at different times, later on a busy machine. Resume
// continues the process.
func (d *Daemon) Pause() error {
	if err := d.command.Process.Signal(syscall.SIGSTOP); err != nil {
		return errors.WithStack(err)
	}
	pid := d.command.Process.Pid
	for deadline := time.Now().Add(stopTimeout); ; time.Sleep(stopPollInterval) {
		stopped, err := allStopped(pid)
		if err != nil || stopped {
			return err
		}
		if time.Now().After(deadline) {
			return errors.Errorf("process %d has not stopped within %s", pid, stopTimeout)
		}
	}
}

// allStopped reports whether all threads of a process are in the stopped
// state, 'T'.
func allStopped(pid int) (bool, error) {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	if err != nil || len(files) == 0 {
		return false, errors.Errorf("process %d has no threads", pid)
	}
	for _, file := range files {
		stat, err := os.ReadFile(file)
		if errors.Is(err, os.ErrNotExist) {
			continue // the thread has ended
		}
		if err != nil {
			return false, errors.WithStack(err)
		}
		// The state follows the command's name, which is in parentheses.
		_, rest, _ := bytes.Cut(stat[bytes.LastIndexByte(stat, ')'):], []byte(" "))
		if len(rest) == 0 || rest[0] != 'T' {
			return false, nil
		}
	}
	return true, nil
}

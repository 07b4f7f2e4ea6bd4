package processes

import (
	"os/exec"
	"testing"
	"time"
)

// TestPauseWaitsForAllThreadsToStop pauses a busy process many times. SIGSTOP
// stops each thread at a different time. If Pause returned earlier, the daemon
// could still answer a request after it.
func TestPauseWaitsForAllThreadsToStop(t *testing.T) {
	command := exec.CommandContext(t.Context(), "sh", "-c", "while :; do :; done")
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	d := &Daemon{command: command}
	defer func() { _ = d.Kill() }() // the process never exits by itself
	for i := range 300 {
		if err := d.Pause(); err != nil {
			t.Fatal(err)
		}
		stopped, err := allStopped(command.Process.Pid)
		if err != nil {
			t.Fatal(err)
		}
		if !stopped {
			t.Fatalf("pause %d: a thread still runs", i)
		}
		if err := d.Resume(); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Millisecond)
	}
}

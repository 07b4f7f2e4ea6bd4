package processes

import (
	"os/exec"
	"testing"
	"time"
)

// TestPauseReturnsOnceAllThreadsHaveStopped pauses a busy process many times.
// SIGSTOP is delivered to each thread in its own time, so that a paused daemon
// could answer a request after Pause had returned.
func TestPauseReturnsOnceAllThreadsHaveStopped(t *testing.T) {
	command := exec.CommandContext(t.Context(), "sh", "-c", "while :; do :; done")
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	d := &Daemon{command: command}
	defer func() { _ = d.Kill() }() // it runs for ever
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
		if err := d.Wake(); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Millisecond)
	}
}

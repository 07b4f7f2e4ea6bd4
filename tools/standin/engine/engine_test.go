package engine

import (
	"context"
	"fmt"
	"testing"
	"time"

	"carobspoke.example/core/target"
	"carobspoke.example/core/verdict"
	"carobspoke.example/serving/connection/targetapi"
)

const testModel = "draft"

func testConfig() Config {
	c := Default()
	c.State = target.State{Model: testModel, Version: "1", Role: target.Mixed}
	c.Speedup = 200
	c.Blocks = 2000
	c.ReportInterval = 5 * time.Millisecond
	c.ReportLag = 10 * time.Millisecond
	c.EventDelay = time.Millisecond
	c.PartCheckInterval = 5 * time.Millisecond
	c.CrashDowntime = 2 * time.Second
	return c
}

func startEngine(t *testing.T, config Config) (*Server, *targetapi.Client) {
	t.Helper()
	e, err := Start("127.0.0.1:0", config)
	if err != nil {
		t.Fatal(err)
	}
	transport := targetapi.NewTransport()
	t.Cleanup(func() {
		transport.CloseIdleConnections()
		_ = e.Close()
	})
	return e, targetapi.NewClient(e.Address(), transport)
}

func testSubmit(id string) target.Submit {
	return target.Submit{
		Stream: target.StreamID(id), Attempt: 1, Scope: "c1", Model: testModel,
		Prompt: "prompt of " + id, PromptTokens: 1000, MaxTokens: 40,
		Deadline: time.Now().Add(30 * time.Second),
	}
}

// readAll reads a stream and returns its end frame. It fails the test if a token
// is out of order or has the wrong text.
func readAll(t *testing.T, stream targetapi.Stream, prompt string, from int) target.Frame {
	t.Helper()
	for {
		frame, err := stream.Next()
		if err != nil {
			t.Fatalf("token %d: %v", from, err)
		}
		if frame.End {
			return frame
		}
		if frame.Offset != from || frame.Text != Token(prompt, from) {
			t.Fatalf("got %+v, want token %d", frame, from)
		}
		from++
	}
}

func mustSubmit(t *testing.T, c *targetapi.Client, s target.Submit) targetapi.Stream {
	t.Helper()
	stream, err := c.Submit(t.Context(), s)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = stream.Close() })
	return stream
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for range 2000 {
		if ok() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("timed out: " + what)
}

// allReleased returns a condition that holds while the engine has no pending or
// running streams and all its memory is free.
func allReleased(e *Server) func() bool {
	return func() bool {
		r := e.MeasureLoad()
		return r.FreeBlocks == r.TotalBlocks && r.RunningStreams == 0 && r.QueuedTokens == 0
	}
}

func TestResumeAfterCutLosesAndRepeatsNoToken(t *testing.T) {
	e, client := startEngine(t, testConfig())
	submit := testSubmit("cut")
	for cut := 1; cut < 40; cut += 6 {
		submit.Stream = target.StreamID(fmt.Sprintf("cut-%d", cut))
		e.CutAfter(cut)
		stream := mustSubmit(t, client, submit)
		got := 0
		for {
			frame, err := stream.Next()
			if err != nil {
				break
			}
			if frame.Text != Token(submit.Prompt, got) {
				t.Fatalf("got %+v, want token %d", frame, got)
			}
			got++
		}
		e.CutAfter(0)
		resumed, err := client.Resume(t.Context(), submit.Stream, 2, got)
		if err != nil {
			t.Fatal(err)
		}
		end := readAll(t, resumed, submit.Prompt, got)
		if end.Offset != submit.MaxTokens || end.Attempt != 2 || end.Failure != "" {
			t.Fatalf("got end frame %+v", end)
		}
		_ = resumed.Close()
	}
}

func TestMemoryIsReleasedAfterFinishCancelAndDeadline(t *testing.T) {
	e, client := startEngine(t, testConfig())
	for i := range 4 {
		submit := testSubmit(fmt.Sprintf("finish-%d", i))
		submit.Prefixes = []uint64{uint64(i)}
		submit.PromptTokens = 2000
		readAll(t, mustSubmit(t, client, submit), submit.Prompt, 0)
	}
	eventually(t, "all memory released after the answers", allReleased(e))
	cancelled := testSubmit("cancelled")
	cancelled.MaxTokens = 5000
	mustSubmit(t, client, cancelled)
	if err := client.Cancel(t.Context(), cancelled.Stream); err != nil {
		t.Fatal(err)
	}
	eventually(t, "all memory released after the cancellation", allReleased(e))
	abandoned := testSubmit("abandoned")
	abandoned.MaxTokens = 20000
	abandoned.Deadline = time.Now().Add(50 * time.Millisecond)
	_ = mustSubmit(t, client, abandoned).Close()
	eventually(t, "all memory released after the deadline", allReleased(e))
}

func TestCrashCutsConnectionsClearsMemoryAndChangesBootID(t *testing.T) {
	e, client := startEngine(t, testConfig())
	before := e.MeasureLoad().BootID
	neighbour := testSubmit("neighbour")
	neighbour.MaxTokens = 5000
	running := mustSubmit(t, client, neighbour)
	if _, err := running.Next(); err != nil {
		t.Fatal(err)
	}
	poison := testSubmit("poison")
	poison.Prompt += CrashTrigger
	// The engine may crash before it has written the header of the answer.
	cut, err := client.Submit(t.Context(), poison)
	if err != nil && verdict.From(err).Verdict == verdict.NotRun {
		t.Fatalf("the prompt that crashed the engine is said not to have run: %v", err)
	}
	if err == nil && !failsBeforeEnd(cut) {
		t.Fatal("the stream that crashed the engine ended without an error")
	}
	if !failsBeforeEnd(running) {
		t.Fatal("the concurrent stream ended without an error")
	}
	eventually(t, "restart", func() bool {
		r, err := client.Report(context.Background())
		return err == nil && r.BootID != before
	})
	if !allReleased(e)() {
		t.Fatalf("load after the crash: %+v", e.MeasureLoad())
	}
	if _, err := client.Resume(t.Context(), neighbour.Stream, 2, 0); verdict.From(err).Reason != verdict.StreamUnknown {
		t.Fatalf("resume after the crash: %v", err)
	}
}

// failsBeforeEnd reports whether reading the stream fails before its end frame.
func failsBeforeEnd(stream targetapi.Stream) bool {
	for {
		frame, err := stream.Next()
		if err != nil {
			return true
		}
		if frame.End {
			return false
		}
	}
}

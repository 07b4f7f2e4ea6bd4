package engine

import (
	"testing"
	"time"

	"carobspoke.example/core/target"
	"carobspoke.example/core/verdict"
)

// mustPin prefills a prompt of the given length at an engine, pins it under a
// handle and returns it as a part of a span.
func mustPin(t *testing.T, e *Server, submit target.Submit, tokens int, as target.HandleID) target.Part {
	t.Helper()
	submit.Stream += target.StreamID("-" + string(as))
	submit.PromptTokens = tokens
	submit.PinHandle = as
	s, refused := e.submit(submit, time.Now())
	if refused != nil {
		t.Fatal(refused.message)
	}
	eventually(t, "prompt is pinned", func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return s.ended()
	})
	return target.Part{Address: e.Address(), Handle: as, Tokens: tokens}
}

// TestSpanReadsPartsAndFailsWhenOneIsFreed runs a prompt that exceeds the memory
// of the decoding engine, because two other engines hold parts of it. When one of
// them frees its part, the stream fails.
func TestSpanReadsPartsAndFailsWhenOneIsFreed(t *testing.T) {
	small := testConfig()
	small.Blocks = 100
	first, firstClient := startEngine(t, small)
	second, _ := startEngine(t, small)
	last, client := startEngine(t, testConfig())
	submit := testSubmit("span")
	submit.MaxTokens = 100
	submit.Parts = []target.Part{mustPin(t, first, submit, 1500, "h1"), mustPin(t, second, submit, 1500, "h2")}
	submit.PromptTokens = 4000
	end := readAll(t, mustSubmit(t, client, submit), submit.Prompt, 0)
	if end.Failure != "" || end.Offset != 100 {
		t.Fatalf("got end frame %+v", end)
	}
	eventually(t, "all memory released at the decoding engine", allReleased(last))
	if free := first.MeasureLoad().FreeBlocks; free != 100-94 {
		t.Fatalf("the first part is not pinned: %d free blocks", free)
	}
	submit.Stream = "span-2"
	submit.MaxTokens = 20_000 // the answer must not end before the part is freed
	stream := mustSubmit(t, client, submit)
	if _, err := stream.Next(); err != nil {
		t.Fatal(err)
	}
	if err := firstClient.Free(t.Context(), "h1"); err != nil {
		t.Fatal(err)
	}
	if end := lastFrame(t, stream); end.Failure != FailurePartGone {
		t.Fatalf("got end frame %+v", end)
	}
	eventually(t, "all memory released at the decoding engine", allReleased(last))
	eventually(t, "all memory released at the first engine", allReleased(first))
}

func lastFrame(t *testing.T, stream interface{ Next() (target.Frame, error) }) target.Frame {
	t.Helper()
	for {
		frame, err := stream.Next()
		if err != nil {
			t.Fatal(err)
		}
		if frame.End {
			return frame
		}
	}
}

func TestStreamMovesByExportAndImportAndHandlesStayPinnedUntilFreed(t *testing.T) {
	from, fromClient := startEngine(t, testConfig())
	to, toClient := startEngine(t, testConfig())
	submit := testSubmit("move")
	submit.MaxTokens = 3000
	stream := mustSubmit(t, fromClient, submit)
	for range 10 {
		if _, err := stream.Next(); err != nil {
			t.Fatal(err)
		}
	}
	exported, err := fromClient.Export(t.Context(), submit.Stream, "out")
	if err != nil {
		t.Fatal(err)
	}
	part := target.Part{Address: from.Address(), Handle: "out", Tokens: exported.Tokens}
	if _, err := toClient.Import(t.Context(), part, "in"); err != nil {
		t.Fatal(err)
	}
	if err := fromClient.Cancel(t.Context(), submit.Stream); err != nil {
		t.Fatal(err)
	}
	moved := submit
	moved.Stream, moved.StartOffset, moved.Handle, moved.MaxTokens = "moved", 10, "in", 60
	readAll(t, mustSubmit(t, toClient, moved), submit.Prompt, 10)
	if from.MeasureLoad().FreeBlocks == from.MeasureLoad().TotalBlocks || to.MeasureLoad().FreeBlocks == to.MeasureLoad().TotalBlocks {
		t.Fatal("a handle that was not freed no longer takes memory")
	}
	foreign := moved
	foreign.Stream, foreign.Scope = "foreign", "c2"
	if _, err := toClient.Submit(t.Context(), foreign); verdict.From(err) == nil || verdict.From(err).Verdict != verdict.NotRun {
		t.Fatalf("submit with a handle of another scope: %v", err)
	}
	if err := fromClient.Free(t.Context(), "out"); err != nil {
		t.Fatal(err)
	}
	if err := toClient.Free(t.Context(), "in"); err != nil {
		t.Fatal(err)
	}
	eventually(t, "all memory released at the source", allReleased(from))
	eventually(t, "all memory released at the destination", allReleased(to))
}

func TestSubmitIsRefusedAsNotRunWhenHandlesFillMemory(t *testing.T) {
	config := testConfig()
	config.Blocks = 100
	e, client := startEngine(t, config)
	submit := testSubmit("full")
	mustPin(t, e, submit, 1500, "pinned")
	submit.PromptTokens = 300
	_, err := client.Submit(t.Context(), submit)
	if refused := verdict.From(err); refused == nil || refused.Reason != verdict.TargetRefused || refused.Verdict != verdict.NotRun {
		t.Fatalf("got %v", err)
	}
}

package relay

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"carobspoke.example/core/process/suspects"
	"carobspoke.example/core/verdict"
)

// A new request that is refused as a suspect has not run, so that its caller may come again.
func TestRequestThatCrashesTargetsIsNotSent(t *testing.T) {
	s := newFakeServer(t, answersOK("ran"))
	f := newFixture(t, s)
	f.board.suspectFrom = 0
	response, _, err := f.call("/stream/x", nil)
	wantRefusal(t, response, err, verdict.CrashSuspect, verdict.NotRun)
	if len(s.receivedHeaders()) != 0 || f.board.placements != 0 || response.Header.Get("Come-Back") != "1m0s" {
		t.Fatalf("%d sends, %d placements, retry after %q", len(s.receivedHeaders()), f.board.placements, response.Header.Get("Come-Back"))
	}
}

// A request becomes a suspect while it is placed, or after its first attempt. It must not
// be sent then, and must not be said not to have run if it may have.
func TestRequestThatBecomesSuspectIsNotSent(t *testing.T) {
	for placements, want := range map[int]verdict.Verdict{1: verdict.NotRun, 2: verdict.MayHaveRun} {
		first, second := newFakeServer(t, closesWithoutAnswer), newFakeServer(t, answersOK("ran"))
		f := newFixture(t, first, second)
		f.board.suspectFrom = placements
		response, _, err := f.call("/read/x", nil)
		wantRefusal(t, response, err, verdict.CrashSuspect, want)
		if sends := len(first.receivedHeaders()) + len(second.receivedHeaders()); sends != placements-1 || f.board.endedPlacements != placements {
			t.Errorf("%d sends and %d ended placements after %d", sends, f.board.endedPlacements, placements)
		}
	}
}

// A request becomes a suspect while it waits for memory at other targets or for its
// connection. It must not be written then.
func TestRequestThatBecomesSuspectBeforeItsWriteIsNotSent(t *testing.T) {
	s := newFakeServer(t, answersOK("ran"))
	f := newFixture(t, s)
	f.board.suspectWhenConnected = true
	response, _, err := f.call("/read/x", nil)
	wantRefusal(t, response, err, verdict.CrashSuspect, verdict.NotRun)
	if len(s.receivedHeaders()) != 0 || f.board.endedPlacements != 1 || response.Header.Get("Come-Back") != "1m0s" {
		t.Fatalf("%d sends, %d ended placements, retry after %q", len(s.receivedHeaders()), f.board.endedPlacements, response.Header.Get("Come-Back"))
	}
}

func TestConnectionLossesAreRecorded(t *testing.T) {
	f := newFixture(t, newFakeServer(t, closesWithoutAnswer), newFakeServer(t, closesWithoutAnswer))
	if _, _, err := f.call("/read/x", nil); err != nil {
		t.Fatal(err)
	}
	if len(f.board.losses) != 2 || f.board.placements != 2 || f.board.endedPlacements != 2 || f.board.completed != 0 {
		t.Fatalf("%d connection losses, %d placements, %d ended placements, %d completions", len(f.board.losses), f.board.placements, f.board.endedPlacements, f.board.completed)
	}
	if l := f.board.losses[0]; l.Service != "s" || l.Target.ID != "a" || l.Address != f.board.targets[0].address || l.SinceFirstEvent != 0 || len(l.Request.Items) != 1 {
		t.Fatalf("loss %+v", l)
	}
}

// A request that may have crashed its target must not be carried to the next one.
func TestSuspectIsNotRetriedAfterConnectionLoss(t *testing.T) {
	second := newFakeServer(t, answersOK("ran"))
	f := newFixture(t, newFakeServer(t, closesWithoutAnswer), second)
	f.board.noRetry = true
	response, _, err := f.call("/read/x", nil)
	wantRefusal(t, response, err, verdict.AnswerCut, verdict.MayHaveRun)
	if len(second.receivedHeaders()) != 0 {
		t.Fatal("the request was sent again")
	}
}

// Only what a target has completed with success clears the parts of a request.
func TestOnlySuccessIsRecordedAsCompletion(t *testing.T) {
	cases := map[string]struct {
		respond responder
		want    int
	}{
		"/read/x":         {answersOK("ran"), 1},
		"/read/missing":   {func(c net.Conn, r *http.Request, _ int) { writeAnswer(c, r, http.StatusNotFound, "", "") }, 0},
		"/stream/x":       {streamsEvents(0, 2, true), 1},
		"/stream/nothing": {streamsEvents(0, -1, true), 0},
	}
	for path, c := range cases {
		f := newFixture(t, newFakeServer(t, c.respond))
		if _, _, err := f.call(path, nil); err != nil {
			t.Fatal(err)
		}
		if f.board.completed != c.want {
			t.Errorf("%s: %d completions, want %d", path, f.board.completed, c.want)
		}
	}
}

// A stream that lasts is sound before it ends, once, and as of the time at which its request
// was sent: a part of it may have begun to crash targets since.
func TestLastingStreamIsSoundAsOfItsSend(t *testing.T) {
	sending := make(chan time.Time, 1)
	end := make(chan struct{})
	f := newFixture(t, newFakeServer(t, func(c net.Conn, r *http.Request, _ int) {
		sending <- time.Now()
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
		writeChunk(c, "id: 0\ndata: a\n\n")
		time.Sleep(suspects.AccusedFor + 50*time.Millisecond)
		writeChunk(c, "id: 1\ndata: b\n\n")
		<-end
		writeChunk(c, "")
	}))
	go func() { _, _, _ = f.call("/stream/x", nil) }() // ends with the test's target
	arrived := <-sending
	for deadline := time.Now().Add(5 * time.Second); f.board.completions() == 0; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("a lasting stream is not recorded")
		}
	}
	close(end)
	<-f.timings
	f.board.mu.Lock()
	defer f.board.mu.Unlock()
	if f.board.completed != 1 || f.board.soundSentAt.After(arrived) || arrived.Sub(f.board.soundSentAt) > suspects.AccusedFor {
		t.Fatalf("recorded %d times, as sent %s before it arrived", f.board.completed, arrived.Sub(f.board.soundSentAt))
	}
}

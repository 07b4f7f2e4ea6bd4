package failure

import (
	"context"
	"net/http"
	"testing"
	"time"

	"carobspoke.example/core/verdict"
	"github.com/pkg/errors"
)

func TestFormatterTellsVerdictTicketAndWhenToComeBack(t *testing.T) {
	header := http.Header{}
	inner := verdict.New(verdict.MayHaveRun, verdict.KeyHomeUnsettled, "wait").WithRetryAfter(1500 * time.Millisecond)
	err := errors.WithStack(&Ticketed{Cause: inner, Ticket: "t"})
	body, ok := Formatter(WithHeader(context.Background(), header), err).(*Body)
	if !ok {
		t.Fatal("not a body")
	}
	want := Detail{
		Message: "wait", Type: "invalid_request_error", Code: verdict.KeyHomeUnsettled,
		Verdict: "may_have_run", RetryAfterMillis: 1500, Ticket: "t",
	}
	if body.Error != want || body.StatusCode() != http.StatusConflict {
		t.Fatalf("body = %+v, status %d", body.Error, body.StatusCode())
	}
	if header.Get("Retry-After") != "2" || header.Get("X-Should-Retry") != "false" {
		t.Fatalf("header = %v", header)
	}
}

func TestEveryReasonHasAKind(t *testing.T) {
	for _, reason := range verdict.Reasons() {
		if kind(reason) == "" || Status(reason) < 400 {
			t.Errorf("%s: kind %q, status %d", reason, kind(reason), Status(reason))
		}
	}
}

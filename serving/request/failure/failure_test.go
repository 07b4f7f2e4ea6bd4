package failure

import (
	"context"
	"net/http"
	"testing"
	"time"

	"carobspoke.example/core/verdict"
	"github.com/pkg/errors"
)

func TestFormatterSetsVerdictTicketAndRetryAfter(t *testing.T) {
	header := http.Header{}
	inner := verdict.New(verdict.MayHaveRun, verdict.KeyHomeUnsettled, "wait").WithRetryAfter(1500 * time.Millisecond)
	err := errors.WithStack(&TicketError{Cause: inner, Ticket: "t"})
	body, ok := Formatter(WithResponseHeader(context.Background(), header), err).(*Body)
	if !ok {
		t.Fatal("Formatter did not return a *Body")
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

func TestEveryReasonHasATypeAndStatus(t *testing.T) {
	for _, reason := range verdict.Reasons() {
		if errorType(reason) == "" || Status(reason) < 400 {
			t.Errorf("%s: type %q, status %d", reason, errorType(reason), Status(reason))
		}
	}
}

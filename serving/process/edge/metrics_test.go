package edge

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"carobspoke.example/core/verdict"
	"carobspoke.example/core/version/routing"
	"carobspoke.example/serving/request/relay"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Operators must see whom an overload affects. Guards against metrics without the priority, and against
// priorities of configurations that make any number of time series.
func TestRefusalsAndFirstEventsAreCountedByPriority(t *testing.T) {
	m := newMetrics(&Daemon{})
	for _, priority := range []int{0, 50, 90} {
		m.RefusedAt(priority, verdict.Overloaded)
	}
	m.Answered(&relay.Timing{Kind: routing.Streaming, Class: relay.ShortPrompt, Priority: 1, SendToFirstEvent: 70 * time.Millisecond, Predicted: 40 * time.Millisecond})
	registry := prometheus.NewRegistry()
	registry.MustRegister(m.refusals, m.firstEvents)
	w := httptest.NewRecorder()
	promhttp.HandlerFor(registry, promhttp.HandlerOpts{}).ServeHTTP(w, httptest.NewRequest("GET", "/", nil))
	for _, line := range []string{
		`carobspoke_priority_refused{priority="0",reason="overloaded"} 1`,
		`carobspoke_priority_refused{priority="9",reason="overloaded"} 2`,
		`carobspoke_first_event_seconds_bucket{priority="1",value="actual",le="0.05"} 0`,
		`carobspoke_first_event_seconds_bucket{priority="1",value="predicted",le="0.05"} 1`,
	} {
		if !strings.Contains(w.Body.String(), line) {
			t.Errorf("metrics do not contain %q", line)
		}
	}
}

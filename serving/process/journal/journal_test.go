package journal

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
)

// stalled blocks until it is let go.
type stalled struct {
	mu   sync.Mutex
	text bytes.Buffer
	gate chan struct{}
}

func (s *stalled) Write(p []byte) (int, error) {
	<-s.gate
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

func (s *stalled) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.String()
}

// TestAReaderThatStallsCostsLinesAndNoTime logs beyond the queue.
func TestAReaderThatStallsCostsLinesAndNoTime(t *testing.T) {
	out := &stalled{gate: make(chan struct{})}
	w := NewWriter(out)
	log := New(w, zap.NewAtomicLevel())
	began := time.Now()
	const lines = 3 * queueLines
	for range lines {
		log.Info("line", zap.Duration("took", 1500*time.Microsecond))
	}
	if took := time.Since(began); took > 5*time.Second {
		t.Fatalf("logging blocked for %s", took)
	}
	if w.Dropped() < lines-queueLines-1 {
		t.Fatalf("%d lines dropped", w.Dropped())
	}
	close(out.gate)
	w.Flush(5 * time.Second)
	written := out.String()
	if got := strings.Count(written, `"msg":"line"`); int64(got)+w.Dropped() != lines {
		t.Fatalf("%d written, %d dropped", got, w.Dropped())
	}
	if !strings.Contains(written, `"took":1.5`) {
		t.Fatal("durations are not in ms")
	}
	log.Info("after")
	w.Flush(time.Second)
	if !strings.Contains(out.String(), "log lines dropped") {
		t.Fatal("the drops were not told")
	}
}

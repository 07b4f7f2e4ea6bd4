package logwriter

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
)

// stalledWriter blocks each write until gate is closed.
type stalledWriter struct {
	mu   sync.Mutex
	text bytes.Buffer
	gate chan struct{}
}

func (s *stalledWriter) Write(p []byte) (int, error) {
	<-s.gate
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

func (s *stalledWriter) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.String()
}

// Logs more lines than the queue holds while the log's reader is stalled. Guards
// against a stalled reader blocking the process, and against lines that are
// dropped without being counted.
func TestAReaderThatStallsCostsLinesAndNoTime(t *testing.T) {
	out := &stalledWriter{gate: make(chan struct{})}
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
		t.Fatalf("only %d lines dropped", w.Dropped())
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

// BenchmarkLinesOfARequest logs the two lines of a request that is answered by the
// first target: with a reader that keeps up, with a stalled reader, and with
// logging turned off.
func BenchmarkLinesOfARequest(b *testing.B) {
	_, stalls := io.Pipe()
	logs := map[string]*zap.Logger{
		"read":    New(NewWriter(io.Discard), zap.NewAtomicLevel()),
		"stalled": New(NewWriter(stalls), zap.NewAtomicLevel()),
		"off":     zap.NewNop(),
	}
	for name, log := range logs {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				log.Info("placed", zap.String("request", "cb539b2d9f0e9564"), zap.String("target", "i-ece53ebb05"),
					zap.Int("helpers", 0), zap.Duration("predicted", 85*time.Millisecond), zap.Duration("backlog", 3*time.Millisecond),
					zap.Int("at_target", 10), zap.Int("writers", 8), zap.Int("tokens", 1133), zap.Duration("left", 9*time.Second),
					zap.Uint64("version", 4), zap.Uint64("revision", 77), zap.Duration("age", 40*time.Millisecond), zap.String("after", ""))
				log.Info("answered", zap.String("request", "cb539b2d9f0e9564"), zap.String("route", "r-nnnt335"),
					zap.String("class", "short_prompt"), zap.Duration("queue", time.Millisecond), zap.Duration("first", 90*time.Millisecond),
					zap.Duration("took", time.Second), zap.Duration("longest_pause", 60*time.Millisecond), zap.Int("sends", 1))
			}
		})
	}
}

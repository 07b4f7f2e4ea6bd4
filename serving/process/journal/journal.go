// Package journal writes a process's log without ever blocking it: lines go to
// a bounded queue and a goroutine of its own writes them. Lines that find the
// queue full are dropped and counted, and the count is written once there is
// room.
package journal

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// queueLines bounds the lines that wait; at 300 bytes each about 1 MB.
const queueLines = 4096

// Writer is a zapcore.WriteSyncer that never blocks.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	pending sync.WaitGroup
}

// NewWriter returns a writer and starts its goroutine.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, queueLines)}
	go w.run()
	return w
}

// Write implements io.Writer. It never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.pending.Add(1)
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.pending.Done()
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer.
func (w *Writer) Sync() error { return nil }

// Dropped returns how many lines were dropped so far.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Flush waits until the queue is written or the time is over.
func (w *Writer) Flush(wait time.Duration) {
	done := make(chan struct{})
	go func() {
		w.pending.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(wait):
	}
}

func (w *Writer) run() {
	told := int64(0)
	for line := range w.lines {
		_, _ = w.out.Write(line) // there is nowhere to tell
		w.pending.Done()
		if dropped := w.dropped.Load(); dropped != told && len(w.lines) == 0 {
			_, _ = fmt.Fprintf(w.out, "{\"level\":\"warn\",\"msg\":\"log lines dropped\",\"total\":%d}\n", dropped)
			told = dropped
		}
	}
}

// New returns a logger of JSON lines at a level, which the level's own methods
// change later.
func New(w *Writer, level zap.AtomicLevel) *zap.Logger {
	encoder := zap.NewProductionEncoderConfig()
	encoder.EncodeDuration = millis
	encoder.TimeKey = "time"
	encoder.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(encoder), w, level))
}

// millis writes a duration in ms, with fractions.
func millis(d time.Duration, to zapcore.PrimitiveArrayEncoder) {
	to.AppendFloat64(float64(d.Round(10*time.Microsecond)) / float64(time.Millisecond))
}

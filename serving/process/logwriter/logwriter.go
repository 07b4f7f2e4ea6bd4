// Package logwriter writes the log of a process without blocking it: lines go to
// a bounded queue, from which a separate goroutine writes them. Lines are dropped
// and counted while the queue is full; the count is written when the queue is
// empty again.
package logwriter

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// queueLines is the capacity of the queue, in lines; about 1 MB at 300 bytes a
// line.
const queueLines = 4096

// Writer is a zapcore.WriteSyncer that never blocks.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	pending sync.WaitGroup
}

// NewWriter returns a writer to out and starts its goroutine, which is never
// stopped.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, queueLines)}
	go w.run()
	return w
}

// Write implements io.Writer. It queues a copy of the line, or drops the line if
// the queue is full. It never returns an error.
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

// Sync implements zapcore.WriteSyncer. It does nothing; see Flush.
func (w *Writer) Sync() error { return nil }

// Dropped returns how many lines have been dropped.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Flush returns when all queued lines are written, or after the timeout.
func (w *Writer) Flush(timeout time.Duration) {
	done := make(chan struct{})
	go func() {
		w.pending.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(timeout):
	}
}

func (w *Writer) run() {
	reported := int64(0)
	for line := range w.lines {
		_, _ = w.out.Write(line) // an error of the log output cannot be logged
		if dropped := w.dropped.Load(); dropped != reported && len(w.lines) == 0 {
			_, _ = fmt.Fprintf(w.out, "{\"level\":\"warn\",\"msg\":\"log lines dropped\",\"total\":%d}\n", dropped)
			reported = dropped
		}
		w.pending.Done() // last, so that Flush also waits for the count of dropped lines
	}
}

// New returns a logger that writes JSON lines to w. The level can be changed while
// the logger is in use.
func New(w *Writer, level zap.AtomicLevel) *zap.Logger {
	encoder := zap.NewProductionEncoderConfig()
	encoder.EncodeDuration = millis
	encoder.TimeKey = "time"
	encoder.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(encoder), w, level))
}

// millis encodes a duration in milliseconds, rounded to hundredths.
func millis(d time.Duration, to zapcore.PrimitiveArrayEncoder) {
	to.AppendFloat64(float64(d.Round(10*time.Microsecond)) / float64(time.Millisecond))
}

package targetapi

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"

	"carobspoke.example/core/target"
	"carobspoke.example/core/verdict"
)

// frameReader reads an answer's frames, a JSON line each.
type frameReader struct {
	body   io.ReadCloser
	lines  *bufio.Scanner
	report string
	// buffered says that a whole line follows the one read last.
	buffered bool
}

// Buffering is a Stream that knows whether its next frame has arrived.
type Buffering interface {
	// Buffered reports whether Next returns without waiting.
	Buffered() bool
}

func newFrameReader(response *http.Response) *frameReader {
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(make([]byte, 0, 512), MaxFrameBytes)
	reader := &frameReader{body: response.Body, lines: lines, report: response.Header.Get(target.ReportHeader)}
	lines.Split(reader.split)
	return reader
}

// split is bufio.ScanLines, and looks for the line after.
func (r *frameReader) split(data []byte, atEOF bool) (int, []byte, error) {
	advance, line, err := bufio.ScanLines(data, atEOF)
	r.buffered = bytes.IndexByte(data[advance:], '\n') >= 0
	return advance, line, err
}

// Buffered implements Buffering.
func (r *frameReader) Buffered() bool { return r.buffered }

// Load implements LoadTeller.
func (r *frameReader) Load() (target.Report, bool) {
	report, err := target.ParseReportHeader(r.report)
	return report, err == nil
}

// Next implements Stream.
func (r *frameReader) Next() (target.Frame, error) {
	var frame target.Frame
	if !r.lines.Scan() {
		return frame, verdict.Wrap(r.scanError(), verdict.Ran, verdict.AnswerCut, "the answer ended early")
	}
	if err := json.Unmarshal(r.lines.Bytes(), &frame); err != nil {
		return frame, verdict.Wrap(err, verdict.Ran, verdict.AnswerMismatch, "the answer is not understood")
	}
	return frame, nil
}

// Close implements Stream.
func (r *frameReader) Close() error { return r.body.Close() }

func (r *frameReader) scanError() error {
	if err := r.lines.Err(); err != nil {
		return err
	}
	return io.ErrUnexpectedEOF
}

package targetapi

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"

	"carobspoke.example/core/target"
	"carobspoke.example/core/verdict"
	"github.com/pkg/errors"
)

// frameReader reads an answer's frames, a JSON line each.
type frameReader struct {
	body   io.ReadCloser
	lines  *bufio.Scanner
	report string
	// line is what the decoder reads. Both are kept for the whole answer, so
	// that a frame costs no new decoder.
	line    bytes.Reader
	decoder *json.Decoder
	// frame is decoded into, so that a frame is not allocated by itself.
	frame target.Frame
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
	reader.decoder = json.NewDecoder(&reader.line)
	return reader
}

// split is bufio.ScanLines, and looks for the line after. A line that has no
// end at the end of the body was cut, and is dropped.
func (r *frameReader) split(data []byte, _ bool) (int, []byte, error) {
	advance, line, err := bufio.ScanLines(data, false)
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
	if !r.lines.Scan() {
		return target.Frame{}, verdict.Wrap(r.scanError(), verdict.Ran, verdict.AnswerCut, "the answer ended early")
	}
	if err := r.decode(bytes.Trim(r.lines.Bytes(), whitespace)); err != nil {
		return target.Frame{}, verdict.Wrap(err, verdict.Ran, verdict.AnswerMismatch, "the answer is not understood")
	}
	if r.frame.End {
		r.lines.Scan() // to the end of the body, or the connection is not used again
	}
	return r.frame, nil
}

// whitespace is what JSON allows around a value.
const whitespace = " \t\r\n"

// errNotOneFrame is met in a line with less or more than one value.
var errNotOneFrame = errors.New("the line is not one frame")

// decode decodes a line that is one frame and nothing else.
func (r *frameReader) decode(line []byte) error {
	r.frame = target.Frame{}
	r.line.Reset(line)
	begun := r.decoder.InputOffset()
	if err := r.decoder.Decode(&r.frame); err != nil {
		return err
	}
	if r.decoder.InputOffset()-begun != int64(len(line)) {
		return errNotOneFrame
	}
	return nil
}

// Close implements Stream.
func (r *frameReader) Close() error { return r.body.Close() }

func (r *frameReader) scanError() error {
	if err := r.lines.Err(); err != nil {
		return err
	}
	return io.ErrUnexpectedEOF
}

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

// frameReader reads the frames of an answer, one JSON value per line.
type frameReader struct {
	body         io.ReadCloser
	lines        *bufio.Scanner
	reportHeader string
	// input is the input of the decoder. Both are reused for all frames of
	// the answer, so that no decoder is allocated per frame.
	input   bytes.Reader
	decoder *json.Decoder
	// frame is the destination of the decoder. It is reused, so that no
	// frame is allocated separately.
	frame target.Frame
	// buffered is set if a complete line follows the line read last.
	buffered bool
}

// BufferedStream is a Stream that reports whether its next frame has arrived.
type BufferedStream interface {
	// Buffered reports whether Next would return without waiting.
	Buffered() bool
}

func newFrameReader(response *http.Response) *frameReader {
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(make([]byte, 0, 512), MaxFrameBytes)
	reader := &frameReader{body: response.Body, lines: lines, reportHeader: response.Header.Get(target.ReportHeader)}
	lines.Split(reader.split)
	reader.decoder = json.NewDecoder(&reader.input)
	return reader
}

// split is a bufio.SplitFunc like bufio.ScanLines that also sets buffered. It
// drops a last line without a line break, since the answer was cut off there.
func (r *frameReader) split(data []byte, _ bool) (int, []byte, error) {
	advance, line, err := bufio.ScanLines(data, false)
	r.buffered = bytes.IndexByte(data[advance:], '\n') >= 0
	return advance, line, err
}

// Buffered implements BufferedStream.
func (r *frameReader) Buffered() bool { return r.buffered }

// LoadReport implements LoadReporter.
func (r *frameReader) LoadReport() (target.Report, bool) {
	report, err := target.ParseReportHeader(r.reportHeader)
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
		r.lines.Scan() // reads to the end of the body, so that the connection can be reused
	}
	return r.frame, nil
}

// whitespace holds the characters that JSON allows around a value.
const whitespace = " \t\r\n"

// errNotOneFrame is returned for a line that contains more than one JSON value.
var errNotOneFrame = errors.New("the line does not contain exactly one frame")

// decode decodes a line that must contain exactly one frame.
func (r *frameReader) decode(line []byte) error {
	r.frame = target.Frame{}
	r.input.Reset(line)
	start := r.decoder.InputOffset()
	if err := r.decoder.Decode(&r.frame); err != nil {
		return err
	}
	if r.decoder.InputOffset()-start != int64(len(line)) {
		return errNotOneFrame
	}
	return nil
}

// Close implements Stream.
func (r *frameReader) Close() error { return r.body.Close() }

// scanError returns the error that ended the scan. An end of the body is
// unexpected, since Next is not called after the end frame.
func (r *frameReader) scanError() error {
	if err := r.lines.Err(); err != nil {
		return err
	}
	return io.ErrUnexpectedEOF
}

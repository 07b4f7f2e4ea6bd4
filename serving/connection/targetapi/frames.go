package targetapi

import (
	"bufio"
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
}

func newFrameReader(response *http.Response) *frameReader {
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(make([]byte, 0, 512), MaxFrameBytes)
	return &frameReader{body: response.Body, lines: lines, report: response.Header.Get(target.ReportHeader)}
}

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

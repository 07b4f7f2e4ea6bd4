package tunnel

import (
	"bufio"
	"bytes"
	"net/http"
	"time"

	"carobspoke.example/serving/connection/upstream"
)

// maxHeadBytes bounds the head of an answer that is read as it passes.
const maxHeadBytes = 16 << 10

// headReader reads the head of the answer from the bytes that pass.
type headReader struct {
	found func(head *http.Response, sentAt time.Time)
	began time.Time
	bytes []byte
	done  bool
}

// endOfHead ends the header of an answer.
var endOfHead = []byte("\r\n\r\n")

// add adds bytes from the target. It passes the first final head on, once.
func (h *headReader) add(p []byte) {
	if h.done {
		return
	}
	h.bytes = append(h.bytes, p...)
	for {
		end := bytes.Index(h.bytes[:min(len(h.bytes), maxHeadBytes)], endOfHead)
		if end < 0 {
			break
		}
		end += len(endOfHead)
		response, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(h.bytes[:end])), nil) //nolint:bodyclose // the body is not read here
		if err == nil {
			err = upstream.CheckHead(response)
		}
		if err == nil && upstream.IsInterim(response) {
			h.bytes = h.bytes[end:]
			continue
		}
		if err == nil {
			h.found(response, h.began)
		}
		h.finish()
		return
	}
	if len(h.bytes) >= maxHeadBytes {
		h.finish()
	}
}

func (h *headReader) finish() { h.done, h.bytes = true, nil }

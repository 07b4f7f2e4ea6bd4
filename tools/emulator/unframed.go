package emulator

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"carobspoke.example/platform"
)

// Percentages of the answers without framing that are broken off, and of the
// resumed streams that are answered with status 500.
const (
	breakPercent        = 40
	resumeFailedPercent = 40
)

// writeUnframed writes an answer with neither a length nor chunks, and ends it with
// the connection. A broken stream ends after the head or inside an event, by a
// close or a reset. A broken call ends inside the body by a reset, as a close
// would complete it.
func (t *Target) writeUnframed(w http.ResponseWriter, r *http.Request, attempt string) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // the caller has gone
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		t.checker.RecordViolation("a connection cannot be hijacked: %v", err)
		return
	}
	defer func() { _ = conn.Close() }() // all is written or the caller has gone
	breaks := rand.IntN(100) < breakPercent
	status := http.StatusOK
	pieces := []string{CallAnswer(attempt)}
	if isStream(r) {
		pieces = events(attempt, firstEvent(r))
		if r.Header.Get(platform.HeaderResume) != "" && rand.IntN(100) < resumeFailedPercent {
			status, pieces = http.StatusInternalServerError, []string{"failed"}
		}
	}
	if err := t.writeUnframedHead(conn, w.Header(), status); err != nil {
		return // the caller has gone
	}
	if breaks && status == http.StatusOK && len(pieces) > 0 {
		writeBroken(conn, pieces, isStream(r))
		return
	}
	_ = writePieces(conn, pieces) // fails only if the caller has gone
}

// writeUnframedHead writes the status and the header of an answer. It announces the
// close of the connection in half of the answers.
func (t *Target) writeUnframedHead(conn net.Conn, header http.Header, status int) error {
	if rand.IntN(2) == 0 {
		header.Set("Connection", "close")
	}
	if _, err := fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status)); err != nil {
		return err
	}
	if err := header.Write(conn); err != nil {
		return err
	}
	_, err := io.WriteString(conn, "\r\n")
	return err
}

// writeBroken writes a part of the pieces that ends inside a piece or before the
// first one, and may reset the connection.
func writeBroken(conn net.Conn, pieces []string, mayClose bool) {
	last := rand.IntN(len(pieces))
	if err := writePieces(conn, pieces[:last]); err != nil {
		return // the caller has gone
	}
	if afterHead := last == 0 && rand.IntN(2) == 0; !afterHead {
		part := pieces[last][:1+rand.IntN(len(pieces[last])-1)]
		if _, err := io.WriteString(conn, part); err != nil {
			return // the caller has gone
		}
	}
	if !mayClose || rand.IntN(2) == 0 {
		reset(conn)
	}
}

// writePieces writes pieces of an answer with eventInterval after each.
func writePieces(conn net.Conn, pieces []string) error {
	for _, piece := range pieces {
		if _, err := io.WriteString(conn, piece); err != nil {
			return err
		}
		time.Sleep(eventInterval)
	}
	return nil
}

package relay

import (
	"io"
	"net/http"
	"time"

	"carobspoke.example/core/verdict"
	"github.com/pkg/errors"
)

const (
	// unreadBodyTime is how long the rest of a body may take to arrive after its request
	// was refused. The server reads a short rest before it sends the refusal, so that the
	// connection can be kept.
	unreadBodyTime = 5 * time.Second
	// unreadAnswerTime is how long after the deadline of a request its caller may still
	// read the answer. Until then it holds at most an event, or a kept answer, and what
	// the buffers of the connection hold.
	unreadAnswerTime = 10 * time.Second
	// minRetryAfterMemory and retryAfterMemorySpread bound the random delay after which a
	// caller may return that was refused since memory is short.
	minRetryAfterMemory    = time.Second
	retryAfterMemorySpread = 2 * time.Second
)

// errNoRoom is the cause of a refusal since the memory for callers is used up.
var errNoRoom = errors.New("the memory for callers is used up")

// accountHead accounts for the head, which has size bytes.
func (q *request) accountHead(size int) error {
	lines := 1 // the request line; that of Host makes up for the empty line
	for _, values := range q.r.Header {
		lines += len(values)
	}
	if !q.account.GrowHead(size, lines) {
		return q.noRoom()
	}
	return nil
}

// noRoom returns the error for a request that is refused since memory is short. Nothing of
// it was sent.
func (q *request) noRoom() error {
	q.account.Refused()
	after := minRetryAfterMemory + time.Duration(q.relay.Random()*float64(retryAfterMemorySpread))
	return verdict.Wrap(errNoRoom, verdict.NotRun, verdict.QueueFull, "the daemon has no memory left for the request").WithRetryAfter(after)
}

// readBody reads the body within the limits, and has the account grow with it.
func (q *request) readBody() error {
	limit := q.table.Limits.BodyBytes
	if q.r.ContentLength > limit {
		return verdict.New(verdict.NotRun, verdict.BodyTooLarge, "the body is over the limit")
	}
	controller := http.NewResponseController(q.w)
	_ = controller.SetReadDeadline(q.deadline)                          // not all writers support deadlines
	_ = controller.SetWriteDeadline(q.deadline.Add(q.relay.unreadTime)) // as above; the server may write 100 Continue
	body, err := q.receive(http.MaxBytesReader(q.w, q.r.Body, limit), limit)
	q.bodyRead = err == nil
	q.r.Trailer = nil // it is not forwarded
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return verdict.New(verdict.NotRun, verdict.BodyTooLarge, "the body is over the limit")
	case err != nil && (errors.Is(err, errNoRoom) || q.account.Evicted()):
		return q.noRoom()
	case err != nil && q.r.Context().Err() != nil:
		return verdict.Wrap(err, verdict.NotRun, verdict.CallerGone, "the caller has gone")
	case err != nil:
		return verdict.Wrap(err, verdict.NotRun, verdict.BadRequest, "the body cannot be read")
	}
	_ = controller.SetReadDeadline(time.Time{}) // as above
	q.body = body
	return nil
}

// receive reads a body of at most limit bytes. It returns errNoRoom if there is no room for
// it.
func (q *request) receive(from io.Reader, limit int64) ([]byte, error) {
	b := bodyBuffer{account: q.account, from: from, most: limit, free: &q.relay.chunks}
	switch stated := q.r.ContentLength; {
	case stated == 0:
		return nil, nil
	case stated > 0:
		b.most = stated
	}
	defer b.release()
	if err := b.read(); !errors.Is(err, io.EOF) {
		return nil, err
	}
	return b.join()
}

// release ends the account of the request. The rest of a body that was not read must arrive
// soon, and at once after the deadline of the request.
func (q *request) release() {
	if !q.bodyRead && q.r.Body != nil && q.r.Body != http.NoBody {
		until := time.Now()
		if q.deadline.IsZero() || until.Before(q.deadline) {
			until = until.Add(unreadBodyTime)
		}
		_ = http.NewResponseController(q.w).SetReadDeadline(until) // not all writers support deadlines
	}
	q.body = nil
	if q.account.Evicted() {
		q.r.Header = nil // it would be kept until the connection is closed
	}
	q.account.Release()
}

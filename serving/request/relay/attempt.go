package relay

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/verdict"
	"carobspoke.example/core/version/routing"
	"carobspoke.example/serving/connection/upstream"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// errUnresponsive is the cancellation cause of an attempt whose target has
// stopped responding.
var errUnresponsive = errors.New("the target was silent for too long")

// attempt is one send of a request to a target.
type attempt struct {
	*request
	ctx    context.Context
	cancel context.CancelCauseFunc
	// watchdog cancels the attempt if no event arrives in time.
	watchdog *watchdog
	placed   *Placement
	exchange *upstream.Exchange
	// reply is the parsed header of the answer.
	reply Reply
	// notSent is true if the request was not sent, because its target takes no
	// more requests.
	notSent bool
	// timeoutRecorded is true once the board has recorded the timeout as a
	// failure of the target.
	timeoutRecorded bool
	// wrongTarget is true if the address belongs to another target.
	wrongTarget bool
	// failedTarget is the target that is at fault if the attempt fails: the one
	// asked, or a helper.
	failedTarget names.Target
	// eventsSince is when the first event of the attempt came, zero if none has.
	eventsSince time.Time
	// sentAt is when the request was last written to the target.
	sentAt time.Time
	// sound is true once the request is known not to crash the target.
	sound bool
}

// sendOnce places the request, sends it to the target and forwards the answer.
func (q *request) sendOnce(ctx context.Context) error {
	placed, err := q.place(ctx)
	if err != nil {
		return err
	}
	defer q.relay.Board.End(placed.Key, placed.Decision.Target)
	if err := q.checkSuspects(); err != nil {
		return err
	}
	helpers, release, err := q.reserve(ctx, placed)
	if err != nil {
		q.sends++
		return err
	}
	defer release()
	a := &attempt{request: q, placed: placed, failedTarget: placed.Decision.Target}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	defer a.cancel(nil)
	id, started := placed.Decision.Target, a.answerStarted
	timeouts := a.firstEventTimeouts()
	if hasReservation(helpers) {
		timeouts = timeouts.withReservation(placed.Decision.FirstEvent)
	}
	a.watchdog = newWatchdog(timeouts, func() bool { return a.relay.Board.Unresponsive(id) }, func(eventSeen bool) bool { return a.handleTimeout(started || eventSeen) })
	defer a.watchdog.stop()
	if hasReservation(helpers) {
		go a.probe()
	}
	err = a.run(helpers)
	a.watchdog.stop() // it must not take a retry decision after this
	if a.notSent {
		return a.notSentError(err)
	}
	return a.recordResult(err)
}

// handleTimeout is called by the watchdog when no event has arrived in time. It
// cancels the attempt and returns true. If the answer has started and no other
// attempt may follow, cancelling would cut the answer off; the attempt then
// continues and handleTimeout returns false.
func (a *attempt) handleTimeout(started bool) bool {
	failure := verdict.New(verdict.MayHaveRun, verdict.TargetFailed, "the target was silent for too long")
	d := a.decideRetry(failure, a.possibleRuns+1)
	if !a.timeoutRecorded {
		a.timeoutRecorded = true
		a.relay.Board.Failed(a.placed.Key, a.placed.Decision.Target, failure.Reason)
		a.relay.Log.Info("target hangs", zap.String("request", a.info.ID), zap.String("target", string(a.placed.Decision.Target)),
			zap.String("outcome", string(d.Outcome)))
	}
	if started && !d.Retry() {
		return false
	}
	a.timeoutDecision = &d
	a.cancel(errUnresponsive)
	return true
}

// run sends the request to the placed target and forwards the answer.
func (a *attempt) run(helpers []HelperAddress) error {
	d := &a.placed.Decision
	if time.Until(a.deadline) <= 0 {
		return verdict.New(verdict.NotRun, verdict.DeadlineExceeded, "the request's time is over")
	}
	send := &upstream.Attempt{
		Target: d.Target, Address: a.placed.Address, Request: a.r, Body: a.body,
		NewConnection: !a.route.Repeatable(), IsOwnAnswer: a.isOwnAnswer,
	}
	send.Permit = func() error {
		err := a.permit() // it may wait
		a.sentAt = time.Now()
		send.Header = a.outgoingHeader(helpers) // the connection may have taken some of the time left
		return err
	}
	regions, _ := a.regions() // place has refused a request that may reach none
	exchange, err := a.relay.Pool.Do(upstream.WithRegions(a.ctx, regions), send)
	if err != nil {
		return err
	}
	a.exchange = exchange
	a.lastReply = summarise(exchange.Response)
	a.lastReply.through = exchange.Through()
	a.relay.Board.RecordActivity(a.placed.Key, d.Target)
	reply := a.reply
	if reply.Requests != nil {
		a.relay.Board.RecordRequestCount(d.Target, *reply.Requests)
	}
	if err := a.refusalError(&reply); err != nil {
		return err
	}
	if exchange.Response.StatusCode < http.StatusMultipleChoices && !reply.Sealed {
		exchange.Abort()
		return verdict.New(verdict.MayHaveRun, verdict.AnswerMismatch, "the answer bears no mark of the target")
	}
	if a.isStream() {
		return a.forwardStream()
	}
	if a.answerStarted {
		exchange.Abort()
		return verdict.Newf(verdict.Ran, verdict.TargetFailed, "the target answered %d to the resumption of a stream", exchange.Response.StatusCode)
	}
	return a.forwardComplete()
}

// outgoingHeader returns the header to send now.
func (a *attempt) outgoingHeader(helpers []HelperAddress) http.Header {
	d := &a.placed.Decision
	return a.relay.Codec.OutgoingHeader(a.r, &Attempt{
		Target: d.Target, Customer: a.customerName(), TimeLeft: max(time.Until(a.deadline), 0), Priority: d.Priority, HasPrompt: a.info.PromptTokens > 0,
		Helpers: helpers, ResumeAfter: cmp.Or(a.lastEventID, a.callersLastEventID()),
	})
}

// isStream reports whether the answer is a stream of events.
func (a *attempt) isStream() bool {
	status := a.exchange.Response.StatusCode
	hasBody := a.r.Method != http.MethodHead && status != http.StatusNoContent
	return a.route.Kind == routing.Streaming && status < http.StatusMultipleChoices && hasBody
}

// refusalError returns the error for an answer which states that the request
// did not run, and nil for other answers. It also attributes the failure to the
// target that the answer names.
func (a *attempt) refusalError(reply *Reply) error {
	a.attributeFailure(reply.FaultAddress)
	switch {
	case reply.WrongTarget:
		a.exchange.Abort()
		a.wrongTarget = true
		return verdict.New(verdict.NotRun, verdict.TargetRefused, "the address belongs to another target")
	case reply.NotRun:
		a.discardRefusal()
		return verdict.New(verdict.NotRun, verdict.TargetRefused, "the target refused the request").WithRetryAfter(refusalRetryAfter)
	default:
		return nil
	}
}

// refusalBodyTimeout is how long the rest of a refusal may take. Its head says already that
// the request did not run, so that the body must not delay the next attempt.
const refusalBodyTimeout = 50 * time.Millisecond

// discardRefusal reads the rest of a refusal, which is short, so that its connection
// can be kept.
func (a *attempt) discardRefusal() {
	timer := time.AfterFunc(refusalBodyTimeout, a.exchange.Abort)
	defer timer.Stop()
	n, err := io.Copy(io.Discard, io.LimitReader(a.exchange.Response.Body, maxEventBytes+1))
	if err != nil || n > maxEventBytes {
		a.exchange.Abort()
		return
	}
	a.exchange.Release()
}

// attributeFailure sets failedTarget to the helper at address. It does nothing
// if no helper of the request has this address.
func (a *attempt) attributeFailure(address string) {
	for i, helper := range a.placed.Helpers {
		if address != "" && helper == address {
			a.failedTarget = a.placed.Decision.Helpers[i].Target
		}
	}
}

// refusalRetryAfter is the delay after which a caller may retry a request that
// was refused, unless the error sets another.
const refusalRetryAfter = 400 * time.Millisecond

// recordResult records the outcome of the attempt at the board, and returns the
// failure as a *verdict.Error. The target at fault is excluded from further
// attempts of the request.
func (a *attempt) recordResult(err error) error {
	a.sends++
	id := a.placed.Decision.Target
	if err == nil {
		a.possibleRuns++
		a.relay.Board.Succeeded(a.placed.Key, id)
		a.recordCompletion()
		return nil
	}
	failure := verdict.From(err)
	hung := errors.Is(context.Cause(a.ctx), errUnresponsive)
	if hung {
		failure = verdict.Wrap(errUnresponsive, failure.Verdict, verdict.TargetFailed, "the target was silent for too long")
	}
	if failure.Verdict != verdict.NotRun {
		a.possibleRuns++
	}
	helper := a.failedTarget != id
	id = a.failedTarget
	a.exclude = append(a.exclude, id)
	a.relay.Log.Info("send failed", zap.String("request", a.info.ID), zap.String("target", string(id)),
		zap.String("reason", string(failure.Reason)), zap.String("verdict", failure.Verdict.String()),
		zap.Bool("hung", hung), a.recordLoss(failure), causeField(failure))
	switch {
	case a.r.Context().Err() != nil:
	case helper || failure.Reason == verdict.TargetUnreachable || a.wrongTarget:
		a.relay.Board.Unreachable(a.placed.Key, id)
	case failure.Reason == verdict.TargetRefused || failure.Reason == verdict.SpanUnavailable || failure.Reason == verdict.PeerUnreachable:
	default:
		if !a.timeoutRecorded {
			a.relay.Board.Failed(a.placed.Key, id, failure.Reason)
		}
	}
	return failure
}

// forwardComplete forwards an answer after it was read completely.
func (a *attempt) forwardComplete() error {
	response := a.exchange.Response
	answer, err := a.relay.answers.read(response.Body)
	defer answer.release()
	switch {
	case errors.Is(err, errAnswerTooLong) || errors.Is(err, errBuffersFull):
		a.exchange.Abort()
		return verdict.Wrap(err, verdict.MayHaveRun, verdict.AnswerMismatch, "the answer cannot be kept")
	case err != nil:
		a.exchange.Abort()
		return a.exchange.BodyError(a.ctx, err)
	}
	a.exchange.Release()
	if response.StatusCode >= http.StatusInternalServerError && a.retriesServerError() {
		return verdict.Newf(verdict.Ran, verdict.TargetFailed, "the target answered %d", response.StatusCode)
	}
	copyHeader(a.w.Header(), response.Header)
	if length := completeLength(response, answer.size); length >= 0 {
		a.w.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	}
	a.w.WriteHeader(response.StatusCode)
	if a.r.Method != http.MethodHead {
		answer.writeTo(a.w)
	}
	return nil
}

// completeLength returns the length to state for an answer of which read bytes of body
// were read, or -1 for none. An answer to HEAD states the length that a body would have.
func completeLength(response *http.Response, read int) int64 {
	switch {
	case response.Request != nil && response.Request.Method == http.MethodHead:
		return response.ContentLength
	case response.StatusCode == http.StatusNoContent:
		return -1
	default:
		return int64(read)
	}
}

// retriesServerError reports whether a server error of the target is followed
// by another attempt. Otherwise the answer is forwarded unchanged.
func (a *attempt) retriesServerError() bool {
	return a.route.Kind == routing.Idempotent && a.mayRetry() && time.Until(a.deadline) > minCallTimeout
}

// hopByHopHeaders are the headers that apply to a single connection.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
	for _, name := range hopByHopHeaders {
		to.Del(name)
	}
}

// HopByHopHeaders returns the names of the headers that apply to a single
// connection and are not forwarded.
func HopByHopHeaders() []string { return hopByHopHeaders }

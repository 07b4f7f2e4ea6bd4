package relay

import (
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

// errHung ends an attempt whose target stays silent.
var errHung = errors.New("the target was silent for too long")

// attempt is one send of a request.
type attempt struct {
	*request
	ctx    context.Context
	cancel context.CancelCauseFunc
	// watchdog ends the attempt when the target is silent for too long.
	watchdog *watchdog
	placed   *Placed
	exchange *upstream.Exchange
	// toldHung is true once the board knows that the target is silent.
	toldHung bool
	// another is true if the address belongs to another target.
	another bool
	// atFault is the target that failed: the one asked, or a helper.
	atFault names.Target
}

// once places the request, sends it and passes the answer on.
func (q *request) once(ctx context.Context) error {
	placed, err := q.place()
	if err != nil {
		return err
	}
	defer q.relay.Board.End(placed.Key, placed.Decision.Target)
	helpers, release, err := q.reserve(ctx, placed)
	if err != nil {
		q.sends++
		return err
	}
	defer release()
	a := &attempt{request: q, placed: placed, atFault: placed.Decision.Target}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	defer a.cancel(nil)
	id, begun := placed.Decision.Target, a.begun
	wait := a.limits()
	if holdsMemory(helpers) {
		wait = wait.holding(placed.Decision.FirstEvent)
	}
	a.watchdog = newWatchdog(wait, func() bool { return a.relay.Board.Silent(id) }, func(fed bool) bool { return a.hang(begun || fed) })
	defer a.watchdog.stop()
	if holdsMemory(helpers) {
		go a.probe()
	}
	err = a.run(helpers)
	a.watchdog.stop() // so that it no longer decides
	return a.judge(err)
}

// hang ends an attempt whose target stays silent. An answer that has begun would
// be broken off if no other attempt followed; it is left to go on.
func (a *attempt) hang(begun bool) bool {
	failure := verdict.New(verdict.MayHaveRun, verdict.TargetFailed, "the target was silent for too long")
	d := a.decide(failure, a.ran+1)
	if !a.toldHung {
		a.toldHung = true
		a.relay.Board.Failed(a.placed.Decision.Target, failure.Reason)
		a.relay.Log.Info("target hangs", zap.String("request", a.facts.ID), zap.String("target", string(a.placed.Decision.Target)),
			zap.String("outcome", string(d.Outcome)))
	}
	if begun && !d.Retry() {
		return false
	}
	a.whenHung = &d
	a.cancel(errHung)
	return true
}

func (a *attempt) run(helpers []HelperAddress) error {
	d := &a.placed.Decision
	left := time.Until(a.deadline)
	if left <= 0 {
		return verdict.New(verdict.NotRun, verdict.DeadlineExceeded, "the request's time is over")
	}
	header := a.relay.Codec.Outgoing(a.r, &Attempt{
		Target: d.Target, Customer: a.customerName(), Left: left, Priority: d.Priority, Prompt: a.facts.PromptTokens > 0,
		Helpers: helpers, ResumeAfter: a.lastID,
	})
	exchange, err := a.relay.Pool.Do(a.ctx, &upstream.Attempt{
		Target: d.Target, Address: a.placed.Address, Request: a.r, Header: header, Body: a.body,
		NewConnection: !a.route.Repeatable(),
		IsOwnAnswer:   func(response *http.Response) bool { return a.relay.Codec.Ours(response, &a.facts) },
	})
	if err != nil {
		return err
	}
	a.exchange = exchange
	a.relay.Board.Heard(d.Target)
	reply := a.relay.Codec.Reply(exchange.Response)
	if reply.Requests != nil {
		a.relay.Board.Told(d.Target, *reply.Requests)
	}
	if err := a.refused(&reply); err != nil {
		return err
	}
	if exchange.Response.StatusCode < http.StatusMultipleChoices && !reply.Whole {
		exchange.Abort()
		return verdict.New(verdict.MayHaveRun, verdict.AnswerMismatch, "the answer bears no mark of the target")
	}
	if a.route.Kind == routing.Streaming && exchange.Response.StatusCode == http.StatusOK {
		return a.stream()
	}
	return a.whole()
}

// refused returns the error for an answer that says the request did not run.
func (a *attempt) refused(reply *Reply) error {
	a.blame(reply.At)
	switch {
	case reply.Another:
		a.exchange.Abort()
		a.another = true
		return verdict.New(verdict.NotRun, verdict.TargetRefused, "the address belongs to another target")
	case reply.NotRun:
		_, _ = io.CopyN(io.Discard, a.exchange.Response.Body, maxEvent) // a refusal is short
		a.exchange.Release()
		return verdict.New(verdict.NotRun, verdict.TargetRefused, "the target refused the request").WithRetryAfter(refusedRetry)
	default:
		return nil
	}
}

// blame notes which target is at fault, if the one asked says that it is
// another.
func (a *attempt) blame(address string) {
	for i, helper := range a.placed.Helpers {
		if address != "" && helper == address {
			a.atFault = a.placed.Decision.Helpers[i].Target
		}
	}
}

// refusedRetry is when to come back after a target's refusal.
const refusedRetry = 400 * time.Millisecond

// judge records how the target did.
func (a *attempt) judge(err error) error {
	a.sends++
	id := a.placed.Decision.Target
	if err == nil {
		a.ran++
		a.relay.Board.Succeeded(id)
		return nil
	}
	failure := verdict.From(err)
	hung := errors.Is(context.Cause(a.ctx), errHung)
	if hung {
		failure = verdict.Wrap(errHung, failure.Verdict, verdict.TargetFailed, "the target was silent for too long")
	}
	if failure.Verdict != verdict.NotRun {
		a.ran++
	}
	helper := a.atFault != id
	id = a.atFault
	a.exclude = append(a.exclude, id)
	a.relay.Log.Info("send failed", zap.String("request", a.facts.ID), zap.String("target", string(id)),
		zap.String("reason", string(failure.Reason)), zap.String("verdict", failure.Verdict.String()),
		zap.Bool("hung", hung), cause(failure))
	switch {
	case a.r.Context().Err() != nil:
	case helper || failure.Reason == verdict.TargetUnreachable || a.another:
		a.relay.Board.Unreachable(id)
	case failure.Reason == verdict.TargetRefused || failure.Reason == verdict.SpanUnavailable:
	default:
		if !a.toldHung {
			a.relay.Board.Failed(id, failure.Reason)
		}
		if failure.Reason == verdict.AnswerCut {
			a.relay.Crashes.Broke(a.digest, a.standing)
		}
	}
	return failure
}

// whole passes on an answer that is sent only once it is complete.
func (a *attempt) whole() error {
	response := a.exchange.Response
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer+1))
	if err == nil && len(body) > maxAnswer {
		err = errors.Errorf("the answer is over %d bytes", maxAnswer)
	}
	if err != nil {
		a.exchange.Abort()
		return a.exchange.BodyError(a.ctx, err)
	}
	a.exchange.Release()
	if response.StatusCode >= http.StatusInternalServerError && a.repeatFailure() {
		return verdict.Newf(verdict.Ran, verdict.TargetFailed, "the target answered %d", response.StatusCode)
	}
	copyHeader(a.w.Header(), response.Header)
	a.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	a.w.WriteHeader(response.StatusCode)
	if a.r.Method != http.MethodHead {
		_, _ = a.w.Write(body) // the caller is gone otherwise
	}
	return nil
}

// maxAnswer bounds the answer of a plain service, in bytes.
const maxAnswer = 8 << 20

// repeatFailure reports whether a target's own failure is followed by another
// attempt. Without one the failure is passed on as it is.
func (a *attempt) repeatFailure() bool {
	return a.route.Kind == routing.Idempotent && a.mayRepeat() && time.Until(a.deadline) > callLeast
}

// hopByHop are headers of one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
	for _, name := range hopByHop {
		to.Del(name)
	}
}

// HopByHop returns the names of headers that concern one connection only.
func HopByHop() []string { return hopByHop }

package relay

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/request/placement"
	"carobspoke.example/core/verdict"
	"carobspoke.example/core/version/routing"
	"carobspoke.example/serving/connection/upstream"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// Bounds of the silence of a target that owes an answer.
const (
	// callPatience is how many latency targets an idempotent call may take
	// before another target is asked; callLeast bounds it from below.
	callPatience = 3
	callLeast    = 400 * time.Millisecond
	// firstPatience is how many times its prediction a first event may take
	// before another target is asked.
	firstPatience = 2
	// silentShare is the part of its caller's patience after which a stream
	// of a silent target is resumed elsewhere, and stallShare that after
	// which one of a target that answers others is.
	silentShare = 0.7
	stallShare  = 0.85
	// lastAnswer is how long before the daemon's end an answer must be
	// whole.
	lastAnswer = 300 * time.Millisecond
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
		return err
	}
	defer release()
	a := &attempt{request: q, placed: placed, atFault: placed.Decision.Target}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	defer a.cancel(nil)
	id := placed.Decision.Target
	a.watchdog = newWatchdog(a.limits(), func() bool { return a.relay.Board.Silent(id) }, func() { a.cancel(errHung) })
	defer a.watchdog.stop()
	if holdsMemory(helpers) {
		go a.probe()
	}
	return a.judge(a.run(helpers))
}

func (q *request) place() (*Placed, error) {
	left := time.Until(q.deadline)
	ends := time.Duration(0)
	if rest, leaving := q.relay.Leaving(); leaving {
		ends = max(rest-lastAnswer, 1)
		left = min(left, ends)
	}
	in := &placement.Request{
		PromptTokens:  q.facts.PromptTokens,
		AnswerTokens:  q.facts.AnswerTokens,
		LatencyTarget: q.route.LatencyTarget,
		GapTarget:     q.route.GapTarget,
		Left:          left,
		Ends:          ends,
		Patience:      patienceOf(q.route),
		Rank:          q.rank(),
		Exclude:       q.exclude,
	}
	placed, err := q.relay.Board.Place(in, q.service)
	if err != nil {
		return nil, err
	}
	load := &placed.Decision.Load
	q.relay.Log.Info("placed", zap.String("request", q.facts.ID), zap.String("target", string(placed.Decision.Target)),
		zap.Int("helpers", len(placed.Helpers)), zap.Duration("predicted", placed.Decision.FirstEvent),
		zap.Duration("backlog", load.Backlog), zap.Int("at_target", load.Requests), zap.Int("writers", load.Writers),
		zap.Int("tokens", q.facts.PromptTokens), zap.Duration("left", left), zap.Uint64("version", uint64(q.table.Version)))
	return placed, nil
}

// Bounds of a caller's patience with a stream that is silent, as published for
// callers: the longest of these.
const (
	patienceLeast   = 2 * time.Second
	patienceLatency = 4 // latency targets
	patienceGap     = 8 // gap targets
)

// patienceOf returns how long callers of a route wait for an event, or zero if
// they wait to their deadline.
func patienceOf(r *routing.Route) time.Duration {
	if r.Kind != routing.Streaming {
		return 0
	}
	return max(patienceLeast, patienceLatency*r.LatencyTarget, patienceGap*r.GapTarget)
}

func (q *request) rank() int {
	if q.customer != nil && q.customer.Priority != nil {
		return *q.customer.Priority
	}
	return q.route.Priority
}

// reserve sets memory aside at the helpers that need it, all or none. The
// order is that of the helpers' names, so that two prompts never each hold what
// the other waits for; a reservation that is not granted at once fails.
func (q *request) reserve(ctx context.Context, placed *Placed) ([]HelperAddress, func(), error) {
	helpers := make([]HelperAddress, len(placed.Helpers))
	release := func() {
		for _, h := range helpers {
			if h.Reservation != "" {
				q.relay.Reserver.Release(h.Reservation)
			}
		}
	}
	for i, address := range placed.Helpers {
		helpers[i].Address = address
		helper := placed.Decision.Helpers[i]
		if helper.Reserve == 0 {
			continue
		}
		name, err := q.relay.Reserver.Reserve(ctx, address, helper.Target, helper.Reserve)
		if err != nil {
			release()
			return nil, nil, verdict.Wrap(err, verdict.NotRun, verdict.SpanUnavailable, "no memory could be set aside")
		}
		helpers[i].Reservation = name
	}
	return helpers, release, nil
}

// limits returns how long the first event may take.
func (a *attempt) limits() limits {
	switch {
	case !a.mayRepeat():
		left := time.Until(a.deadline)
		return limits{silent: left, stalled: left}
	case a.route.Kind == routing.Streaming:
		l := gapLimits(a.route)
		l.stalled += firstPatience * a.placed.Decision.FirstEvent
		return l
	default:
		limit := max(callPatience*a.route.LatencyTarget, callLeast)
		return limits{silent: limit, stalled: limit}
	}
}

// gapLimits returns how long the next event may take.
func gapLimits(r *routing.Route) limits {
	patience := float64(patienceOf(r))
	return limits{silent: time.Duration(silentShare * patience), stalled: time.Duration(stallShare * patience)}
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
	exchange, err := a.relay.Pool.Do(a.ctx, &upstream.Send{
		Target: d.Target, Address: a.placed.Address, Request: a.r, Header: header, Body: a.body,
		Fresh: !a.route.Repeatable(),
		Ours:  func(response *http.Response) bool { return a.relay.Codec.Ours(response, &a.facts) },
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
		a.exchange.Done()
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
		a.relay.Board.Failed(id, failure.Reason)
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
		return a.exchange.Failed(a.ctx, err)
	}
	a.exchange.Done()
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

// stream passes events on as they come.
func (a *attempt) stream() error {
	response := a.exchange.Response
	events := newEventReader(response.Body)
	controller := http.NewResponseController(a.w)
	gap := gapLimits(a.route)
	for {
		next, err := events.next()
		switch {
		case errors.Is(err, io.EOF):
			return a.streamEnded()
		case err != nil:
			a.exchange.Abort()
			return a.exchange.Failed(a.ctx, err)
		}
		a.heard(gap)
		if !follows(a.lastID, next.id) {
			a.exchange.Abort()
			return verdict.Newf(verdict.Ran, verdict.AnswerMismatch, "event %q follows event %q", next.id, a.lastID)
		}
		a.begin(response)
		if _, err := a.w.Write(next.raw); err != nil {
			a.exchange.Abort()
			return verdict.Wrap(err, verdict.Ran, verdict.CallerGone, "the caller has gone")
		}
		_ = controller.Flush() // the next write tells
		a.lastID = next.id
	}
}

// heard notes that an event came. Silence ends an attempt only where another
// may follow it: a target that is slow still answers, and nobody else would.
func (a *attempt) heard(gap limits) {
	a.relay.Board.Heard(a.placed.Decision.Target)
	now := time.Now()
	if !a.lastEvent.IsZero() {
		a.longestPause = max(a.longestPause, now.Sub(a.lastEvent))
	}
	a.lastEvent = now
	if a.mayRepeat() {
		a.watchdog.feed(gap)
		return
	}
	a.watchdog.stop()
}

// mayRepeat reports whether another attempt may follow this one if it fails.
func (a *attempt) mayRepeat() bool {
	return a.route.Repeatable() && a.ran+1 < a.route.MaxAttempts
}

// begin sends the header before the first event. A resumed stream keeps the
// header of its first target.
func (a *attempt) begin(response *http.Response) {
	a.relay.Board.FirstEvent(a.placed.Key)
	if a.begun {
		return
	}
	a.begun = true
	a.firstEvent = time.Now()
	copyHeader(a.w.Header(), response.Header)
	a.w.WriteHeader(response.StatusCode)
}

// streamEnded ends the answer. A stream without events is no answer.
func (a *attempt) streamEnded() error {
	if !a.begun {
		a.exchange.Abort()
		return verdict.New(verdict.MayHaveRun, verdict.AnswerCut, "the stream ended before its first event")
	}
	a.exchange.Done()
	return nil
}

// follows reports whether an event may come after another: its number is the
// next one. Events without numbers may come in any order.
func follows(last, id string) bool {
	if last == "" || id == "" {
		return true
	}
	before, err := strconv.ParseUint(last, 10, 64)
	if err != nil {
		return last != id
	}
	after, err := strconv.ParseUint(id, 10, 64)
	return err == nil && after == before+1
}

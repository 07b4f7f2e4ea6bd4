package relay

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/inflight"
	"carobspoke.example/core/process/replicas"
	"carobspoke.example/core/process/suspects"
	"carobspoke.example/core/request/placement"
	"carobspoke.example/core/request/retry"
	"carobspoke.example/core/verdict"
	"carobspoke.example/core/version/routing"
	"carobspoke.example/serving/connection/upstream"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// Placement is the placement of a request on a target.
type Placement struct {
	Key      inflight.Key
	Decision placement.Decision
	// Address is the address of the target, and Helpers are the addresses of
	// the decision's helpers.
	Address string
	Helpers []string
	// Incarnation is the start of the target on which the request was placed, and
	// HelperIncarnations are those of the helpers.
	Incarnation        replicas.Incarnation
	HelperIncarnations []replicas.Incarnation
	// AskedAt is when the board asked for the placement, by its own clock.
	AskedAt time.Duration
	// SentAt is when the board permitted the request to be written, see Board.MaySend;
	// zero before that.
	SentAt time.Time
}

// Board holds the daemon's state of the targets and the requests placed on
// them.
type Board interface {
	// Place chooses where a request runs and records it there. Its errors are
	// *verdict.Error.
	Place(ctx context.Context, r *placement.Request, service *routing.Service) (*Placement, error)
	// FirstEvent and End record the progress of a placed request.
	FirstEvent(k inflight.Key)
	End(k inflight.Key, id names.Target)
	// RecordActivity records that a target sent something for a placed
	// request. Unresponsive reports whether answers of a target are pending
	// and it sends nothing.
	RecordActivity(k inflight.Key, id names.Target)
	Unresponsive(id names.Target) bool
	// RecordRequestCount records the number of requests that a target reports.
	RecordRequestCount(id names.Target, requests int)
	// Succeeded, Failed and Unreachable record the outcome of a send of a
	// placed request to a target, before End.
	Succeeded(k inflight.Key, id names.Target)
	Failed(k inflight.Key, id names.Target, reason verdict.Reason)
	Unreachable(k inflight.Key, id names.Target)
	// MaySend returns nil if a placed request may be sent now, and otherwise a
	// *verdict.Error with NotRun: since the placement, a target has stated that it
	// takes no more requests.
	MaySend(p *Placement) error
	// RecordStatement records what the target of a placement has stated. request is
	// the ID of the request that received the answer.
	RecordStatement(p *Placement, s Statement, request string)
	// RecordNoLimit records that the target of a placement has named no limit in the
	// answer to the request with this ID.
	RecordNoLimit(p *Placement, request string)
	// RoomAfter returns the time after which a target of the service may take requests
	// again, if all of them ask for time or are leaving, and zero otherwise. The time
	// has a random part, so that callers do not return at the same moment.
	RoomAfter(service names.Service) time.Duration
}

// Suspects tracks the parts of prompts, and the requests, that may crash targets.
type Suspects interface {
	// Refusal returns the error for a new request that is not sent, or nil.
	Refusal(r *suspects.Request) *verdict.Error
	// Sound records that a target has completed a request that was sent at sentAt, or has
	// been answering it for suspects.AccusedFor.
	Sound(r *suspects.Request, sentAt time.Time)
	// ConnectionLost records that the connection of a request to a target broke. It
	// returns whether the target has ended, and whether the request may be sent again.
	// It waits until that is known, or until ctx ends.
	ConnectionLost(ctx context.Context, l *Loss) (ended, mayRetry bool)
}

// Loss is a connection that broke while a target ran a request.
type Loss struct {
	Request *suspects.Request
	Service names.Service
	Target  replicas.Incarnation
	Address string
	// SinceFirstEvent is how long ago the first event of the attempt came, zero if none
	// has.
	SinceFirstEvent time.Duration
}

// Budget decides on retries under the fleet's retry budget.
type Budget interface {
	// RecordFirstAttempt records the first attempt of a request.
	RecordFirstAttempt(service names.Service)
	Decide(service names.Service, p retry.Policy, a retry.Attempt) retry.Decision
}

// Reserver reserves memory at targets.
type Reserver interface {
	// Reserve returns the name of the reservation. If it fails, nothing is
	// reserved.
	Reserve(ctx context.Context, address string, id names.Target, tokens int) (string, error)
	Release(reservation string)
}

// Observer counts the outcomes of requests.
type Observer interface {
	Admitted(route *routing.Route)
	Refused(err *verdict.Error)
	Retried(reason verdict.Reason)
	Answered(t *Timing)
}

// Configuration is the configuration in force and what is known of its age.
type Configuration struct {
	// Table is nil before the first configuration.
	Table *routing.Table
	// Recent is true if the configuration is known to have been the newest one recently.
	Recent bool
	// Age is the time since the moment as of which the configuration is known to have been
	// the newest one, and Evidence what that rests on. Both are for the log.
	Age      time.Duration
	Evidence string
}

// Deps are the dependencies of a Relay.
type Deps struct {
	Codec    Codec
	Board    Board
	Suspects Suspects
	Budget   Budget
	Pool     *upstream.Pool
	Reserver Reserver
	Prober   Prober
	Observer Observer
	// Configuration returns the configuration in force.
	Configuration func() Configuration
	// AwaitTable waits for the first configuration while the daemon starts, and
	// reports whether one is in force. It returns at once if none is expected soon.
	AwaitTable func(ctx context.Context) bool
	// TargetListRevision returns the revision of the list of targets, and
	// TargetListAge the time since it was last confirmed.
	TargetListRevision func() uint64
	TargetListAge      func() time.Duration
	// TimeToShutdown returns how long the daemon will still run, and whether it
	// is stopping.
	TimeToShutdown func() (time.Duration, bool)
	// RetryAfter returns the delay after which a daemon without a recent
	// configuration may have one.
	RetryAfter func() time.Duration
	// GrowAnswers accounts for bytes of answers that are kept before they are passed on, and
	// reports whether there is room for them. Negative bytes release them. Nil grants all.
	GrowAnswers func(bytes int64) bool
	// AnswerUnread is called when an answer is broken off, since its caller did not read it
	// and another one had no room. It may be nil.
	AnswerUnread func()
	// Random returns a random number in [0, 1).
	Random func() float64
	Log    *zap.Logger
}

// Relay is an http.Handler for callers' requests.
type Relay struct {
	Deps
	answers buffers
	chunks  chunks
	// unreadTime is unreadAnswerTime but in tests.
	unreadTime time.Duration
}

// New returns a Relay with the given dependencies.
func New(d Deps) *Relay {
	return &Relay{Deps: d, answers: buffers{grow: d.GrowAnswers, unread: d.AnswerUnread}, unreadTime: unreadAnswerTime}
}

// ServeHTTP implements http.Handler.
func (s *Relay) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	q := &request{relay: s, w: w, r: r, started: started, account: accountOf(r)}
	defer q.release()
	err := q.admit()
	if err == nil {
		err = q.serve()
	}
	q.finish(err)
}

// request is a request that is being served.
type request struct {
	relay   *Relay
	w       http.ResponseWriter
	r       *http.Request
	started time.Time
	account account

	info RequestInfo
	// config is the configuration in force when the request came, table its table.
	config   Configuration
	table    *routing.Table
	route    *routing.Route
	service  *routing.Service
	customer *routing.Customer
	body     []byte
	// bodyRead is true once the body was read in full.
	bodyRead bool
	deadline time.Time
	// shared are the hashes of what the request may have in common with others.
	shared suspects.Request

	// possibleRuns counts the sends that may have run at a target, sends counts
	// all.
	possibleRuns, sends int
	exclude             []names.Target
	// replacements counts the placements that were given up before anything was
	// sent, see placeAgain.
	replacements int
	// timeoutDecision is the retry decision of an attempt that timed out. If it
	// is a retry, its token was already taken from the budget.
	timeoutDecision *retry.Decision
	// lastReply describes the latest answer of a target.
	lastReply replySummary
	// answerStarted is true once part of the answer was sent to the caller.
	answerStarted bool
	firstEventAt  time.Time
	// firstPlacedAt is when the request was first placed. predictedFirstEvent
	// is the time to the first event as predicted by the latest placement.
	firstPlacedAt       time.Time
	predictedFirstEvent time.Duration
	// lastEventAt is when the latest event arrived, longestPause the longest
	// time between two events.
	lastEventAt  time.Time
	longestPause time.Duration
	lastEventID  string
	// partialEvent is true once an attempt has broken off inside an event: at least one
	// more must come.
	partialEvent bool
	// suspect is true once the request was cut off by an end of a target and may not be
	// sent again, since it may be the cause.
	suspect bool
	// unnumbered is true once an event without an ID was sent to the caller. The
	// stream cannot be resumed then: no ID says which events the caller has.
	// The watchdog reads it.
	unnumbered atomic.Bool
	verdict    verdict.Verdict
}

// admit checks the request against the configuration in force and reads its
// body.
func (q *request) admit() error {
	config := q.relay.Configuration()
	if config.Table == nil && q.relay.AwaitTable(q.r.Context()) {
		config = q.relay.Configuration()
	}
	info, err := q.relay.Codec.ParseRequest(q.r)
	q.info = info
	if err != nil {
		return verdict.Wrap(err, verdict.NotRun, verdict.BadRequest, "the request's header cannot be read")
	}
	if config.Table == nil {
		return verdict.New(verdict.NotRun, verdict.NotReady, "no configuration is in force yet").WithRetryAfter(q.relay.RetryAfter())
	}
	q.config, q.table = config, config.Table
	table := q.table
	size := headerSize(q.r)
	if limit := table.Limits.HeaderBytes; limit > 0 && size > limit {
		return verdict.New(verdict.NotRun, verdict.HeaderTooLarge, "the header is over the limit")
	}
	if err := q.accountHead(size); err != nil {
		return err
	}
	if err := q.authorise(); err != nil {
		if !config.Recent {
			return verdict.Wrap(err, verdict.NotRun, verdict.NotReady, "the configuration in force may be outdated").WithRetryAfter(q.relay.RetryAfter())
		}
		return err
	}
	q.service = table.Service(q.route.PickService(q.relay.Random()))
	if q.service == nil {
		return verdict.New(verdict.NotRun, verdict.NoTarget, "the route's service is not listed").WithRetryAfter(q.relay.RetryAfter())
	}
	q.setDeadline()
	if err := q.readBody(); err != nil {
		return err
	}
	if !q.account.Serve() {
		return q.noRoom()
	}
	q.shared = suspects.NewRequest(q.customerName(), q.r.Method, q.r.URL.RequestURI(), q.body, q.info.Parts)
	q.shared.Service = suspects.HashService(q.service.Name)
	return q.checkSuspects()
}

// headerSize returns the size of a header on the wire in bytes, without
// optional white space.
func headerSize(r *http.Request) int {
	const lineEnd, colon = 2, 2
	size := len(r.Method) + len(r.RequestURI) + len(r.Proto) + 2 + lineEnd
	size += len("Host") + colon + len(r.Host) + lineEnd
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + colon + len(value) + lineEnd
		}
	}
	return size + lineEnd
}

func (q *request) authorise() error {
	host := q.r.Host
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	q.route = q.table.Match(host, q.r.URL.Path)
	if q.route == nil {
		return verdict.New(verdict.NotRun, verdict.UnknownService, "no route matches the host and path")
	}
	if q.route.Anonymous || !q.table.RequiresKey() {
		return nil
	}
	q.customer = q.table.CustomerByKey(q.info.Credential)
	if q.customer == nil {
		return verdict.New(verdict.NotRun, verdict.Unauthenticated, "the key is not known")
	}
	return nil
}

func (q *request) setDeadline() {
	left := q.route.Timeout
	if q.info.Timeout > 0 && (left <= 0 || q.info.Timeout < left) {
		left = q.info.Timeout
	}
	q.deadline = q.started.Add(left)
}

func (q *request) customerName() names.Customer {
	if q.customer == nil {
		return ""
	}
	return q.customer.Name
}

// checkSuspects returns an error if targets crashed under requests with a part of this
// one. It did not run if this is its first attempt.
func (q *request) checkSuspects() error {
	refusal := q.relay.Suspects.Refusal(&q.shared)
	if refusal == nil {
		return nil
	}
	return refusal.WithVerdict(verdict.Join(q.verdict, refusal.Verdict))
}

// serve sends the request until it is answered or no further attempt may
// follow.
func (q *request) serve() error {
	q.relay.Observer.Admitted(q.route)
	q.relay.Budget.RecordFirstAttempt(q.service.Name)
	ctx, cancel := context.WithDeadline(q.r.Context(), q.deadline)
	defer cancel()
	if q.route.Resumable {
		q.lastEventID = q.callersLastEventID()
	}
	for {
		err := q.sendOnce(ctx)
		if err == nil {
			return nil
		}
		failure := verdict.From(err)
		q.verdict = verdict.Join(q.verdict, failure.Verdict)
		if q.r.Context().Err() != nil {
			return verdict.Wrap(failure, q.verdict, verdict.CallerGone, "the caller has gone")
		}
		if ctx.Err() != nil {
			return verdict.Wrap(failure, q.verdict, verdict.DeadlineExceeded, "the request's time is over")
		}
		if err := q.awaitRetry(ctx, failure); err != nil {
			return err
		}
	}
}

// callersLastEventID returns the ID of the last event that the caller says to have, which
// a target may only heed on a route whose streams can be resumed.
func (q *request) callersLastEventID() string { return q.r.Header.Get("Last-Event-Id") }

// maxUnreachableTargets limits the targets that are tried, without a retry
// decision, while no byte of the request was sent.
const maxUnreachableTargets = 4

// noPathRetryAfter is the delay after which a caller may retry at a host that was cut off
// from all targets, or at another one.
const noPathRetryAfter = time.Second

// awaitRetry returns nil when the next attempt may start, after its backoff. It
// returns an error if no attempt may follow.
func (q *request) awaitRetry(ctx context.Context, failure *verdict.Error) error {
	if errors.Is(failure, errNotSent) {
		return q.placeAgain(failure)
	}
	if failure.Reason == verdict.PeerUnreachable {
		return failure.WithVerdict(q.verdict).WithRetryAfter(noPathRetryAfter) // it would fail at any target
	}
	if failure.Reason == verdict.TargetUnreachable && failure.Verdict == verdict.NotRun && len(q.exclude) < maxUnreachableTargets {
		return nil
	}
	if !retry.Retriable(failure.Reason) || failure.Reason == verdict.NoTarget || q.suspect {
		return failure.WithVerdict(q.verdict)
	}
	d := q.retryDecision(failure)
	q.relay.Log.Info("attempt failed", zap.String("request", q.info.ID), zap.String("reason", string(failure.Reason)),
		zap.String("verdict", failure.Verdict.String()), zap.Int("sends", q.sends), zap.Int("ran", q.possibleRuns),
		zap.String("outcome", string(d.Outcome)), zap.Duration("wait", d.Wait), causeField(failure))
	if !d.Retry() {
		return failure.WithVerdict(q.verdict)
	}
	q.relay.Observer.Retried(failure.Reason)
	timer := time.NewTimer(d.Wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return verdict.Wrap(failure, q.verdict, verdict.DeadlineExceeded, "the request's time is over")
	}
}

// retryDecision returns the decision that was taken when the attempt timed out,
// or takes one now.
func (q *request) retryDecision(failure *verdict.Error) retry.Decision {
	if d := q.timeoutDecision; d != nil {
		q.timeoutDecision = nil
		if q.repeatable() { // an event without an ID may have been sent since
			return *d
		}
	}
	attempts := q.possibleRuns
	if q.sends > q.possibleRuns+maxRefusals {
		attempts = q.maxAttempts()
	}
	return q.decideRetry(failure, attempts)
}

// decideRetry decides whether a request that failed after this number of
// attempts is retried.
func (q *request) decideRetry(failure *verdict.Error, attempts int) retry.Decision {
	return q.relay.Budget.Decide(q.service.Name, retryPolicy(q.maxAttempts()), retry.Attempt{
		Count: attempts, Started: attempts > 0, Failure: failure.WithRetryAfter(0), Idempotent: q.repeatable(), Deadline: q.deadline,
	})
}

// repeatable reports whether the request may be sent again after it may have run.
func (q *request) repeatable() bool { return q.route.Repeatable() && !q.unnumbered.Load() }

func (q *request) maxAttempts() int { return max(q.route.MaxAttempts, 1) }

// maxRefusals is how many refusals by targets a request may receive before it
// is no longer retried.
const maxRefusals = 2

// Parameters of the retry policy. The backoff is short because a retry goes to
// another target and need not wait for the first one to recover.
const (
	baseBackoff    = 4 * time.Millisecond
	maxBackoff     = 50 * time.Millisecond
	minAttemptTime = 20 * time.Millisecond
)

func retryPolicy(attempts int) retry.Policy {
	return retry.Policy{MaxAttempts: attempts, MaxAttemptsAfterStart: attempts, BaseBackoff: baseBackoff, MaxBackoff: maxBackoff, MinAttemptTime: minAttemptTime}
}

package relay

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/crash"
	"carobspoke.example/core/process/inflight"
	"carobspoke.example/core/request/placement"
	"carobspoke.example/core/request/retry"
	"carobspoke.example/core/verdict"
	"carobspoke.example/core/version/routing"
	"carobspoke.example/serving/connection/upstream"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// Placed is a request that was placed on a target.
type Placed struct {
	Key      inflight.Key
	Decision placement.Decision
	// Address is the target's, Helpers those of the decision's helpers.
	Address string
	Helpers []string
}

// Board is what the daemon knows of targets and of the work at them.
type Board interface {
	// Place decides where a request runs and counts it there. An error is a
	// *verdict.Error.
	Place(r *placement.Request, service *routing.Service) (*Placed, error)
	// FirstEvent and End tell how a placed request goes on.
	FirstEvent(k inflight.Key)
	End(k inflight.Key, id names.Target)
	// Heard tells that something came from a target; Silent reports whether
	// it owes answers and nothing comes.
	Heard(id names.Target)
	Silent(id names.Target) bool
	// Told takes in how many requests a target says it has.
	Told(id names.Target, requests int)
	// Succeeded, Failed and Unreachable tell how a target did.
	Succeeded(id names.Target)
	Failed(id names.Target, reason verdict.Reason)
	Unreachable(id names.Target)
}

// Crashes holds the requests that are thought to crash targets.
type Crashes interface {
	Check(d crash.Digest) crash.Status
	// Broke records that a connection broke while a target ran the request.
	Broke(d crash.Digest, arrived crash.Status)
}

// Budget decides about repeats under the fleet's retry budget.
type Budget interface {
	Fresh(service names.Service)
	Decide(service names.Service, p retry.Policy, a retry.Attempt) retry.Decision
}

// Reserver sets memory aside at targets.
type Reserver interface {
	// Reserve returns the reservation's name, or fails with nothing set
	// aside.
	Reserve(ctx context.Context, address string, id names.Target, tokens int) (string, error)
	Release(reservation string)
}

// Observer counts what becomes of requests.
type Observer interface {
	Admitted(route *routing.Route)
	Refused(err *verdict.Error)
	Retried(reason verdict.Reason)
	Answered(t *Timing)
}

// Deps are what a Relay is made of.
type Deps struct {
	Codec    Codec
	Board    Board
	Crashes  Crashes
	Budget   Budget
	Pool     *upstream.Pool
	Reserver Reserver
	Prober   Prober
	Observer Observer
	// Table returns the configuration in force and whether it is known to be
	// recent; nil before the first.
	Table func() (*routing.Table, bool)
	// Revision and Age say what the list of targets is as of, and how long ago
	// that was confirmed.
	Revision func() uint64
	Age      func() time.Duration
	// Leaving returns how long the daemon will still run, if it is stopping.
	Leaving func() (time.Duration, bool)
	// ComeBack returns when a daemon that lacks a recent configuration may have
	// one.
	ComeBack func() time.Duration
	// Draw returns a number in [0, 1).
	Draw func() float64
	Log  *zap.Logger
}

// Relay is an http.Handler for callers' requests.
type Relay struct {
	Deps
}

// New returns a relay.
func New(d Deps) *Relay { return &Relay{Deps: d} }

// ServeHTTP implements http.Handler.
func (s *Relay) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	q := &request{relay: s, w: w, r: r, started: started}
	err := q.admit()
	if err == nil {
		err = q.serve()
	}
	q.finish(err)
}

// request is one request on its way.
type request struct {
	relay   *Relay
	w       http.ResponseWriter
	r       *http.Request
	started time.Time

	facts    Facts
	table    *routing.Table
	route    *routing.Route
	service  *routing.Service
	customer *routing.Customer
	body     []byte
	deadline time.Time
	digest   crash.Digest
	standing crash.Status

	// ran counts the sends that may have run, sends all.
	ran, sends int
	exclude    []names.Target
	// whenHung is the decision that ended a silent attempt; a repeat is
	// already taken from the budget.
	whenHung *retry.Decision
	// begun is true once a part of the answer has gone to the caller.
	begun      bool
	firstEvent time.Time
	// firstSend is when the first target was chosen, predicted the first event
	// that was predicted for the last one.
	firstSend time.Time
	predicted time.Duration
	// lastEvent is when the newest event came, longestPause the longest time
	// between two.
	lastEvent    time.Time
	longestPause time.Duration
	lastID       string
	verdict      verdict.Verdict
}

// admit checks the request against the configuration in force and reads its
// body.
func (q *request) admit() error {
	table, recent := q.relay.Table()
	facts, err := q.relay.Codec.Facts(q.r)
	q.facts = facts
	if err != nil {
		return verdict.Wrap(err, verdict.NotRun, verdict.BadRequest, "the request's header cannot be read")
	}
	if table == nil {
		return verdict.New(verdict.NotRun, verdict.NotReady, "no configuration is in force yet").WithRetryAfter(q.relay.ComeBack())
	}
	q.table = table
	if limit := table.Limits.HeaderBytes; limit > 0 && headerSize(q.r) > limit {
		return verdict.New(verdict.NotRun, verdict.HeaderTooLarge, "the header is over the limit")
	}
	if err := q.authorise(); err != nil {
		if !recent {
			return verdict.Wrap(err, verdict.NotRun, verdict.NotReady, "the configuration in force may be outdated").WithRetryAfter(q.relay.ComeBack())
		}
		return err
	}
	q.service = table.Service(q.route.PickService(q.relay.Draw()))
	if q.service == nil {
		return verdict.New(verdict.NotRun, verdict.NoTarget, "the route's service is not listed").WithRetryAfter(q.relay.ComeBack())
	}
	q.setDeadline()
	if err := q.readBody(); err != nil {
		return err
	}
	return q.checkCrashes()
}

// headerSize returns the size of a header on the wire, in bytes, without the
// white space that a caller may have put in.
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
	q.customer = q.table.CustomerByKey(q.facts.Credential)
	if q.customer == nil {
		return verdict.New(verdict.NotRun, verdict.Unauthenticated, "the key is not known")
	}
	return nil
}

func (q *request) setDeadline() {
	left := q.route.Timeout
	if q.facts.Left > 0 && (left <= 0 || q.facts.Left < left) {
		left = q.facts.Left
	}
	q.deadline = q.started.Add(left)
}

func (q *request) readBody() error {
	limit := q.table.Limits.BodyBytes
	controller := http.NewResponseController(q.w)
	_ = controller.SetReadDeadline(q.deadline) // not all writers have deadlines
	body, err := io.ReadAll(http.MaxBytesReader(q.w, q.r.Body, limit))
	_ = controller.SetReadDeadline(time.Time{}) // the same
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return verdict.New(verdict.NotRun, verdict.BodyTooLarge, "the body is over the limit")
	case err != nil && q.r.Context().Err() != nil:
		return verdict.Wrap(err, verdict.NotRun, verdict.CallerGone, "the caller has gone")
	case err != nil:
		return verdict.Wrap(err, verdict.NotRun, verdict.BadRequest, "the body cannot be read")
	}
	q.body = body
	return nil
}

func (q *request) customerName() names.Customer {
	if q.customer == nil {
		return ""
	}
	return q.customer.Name
}

func (q *request) checkCrashes() error {
	q.digest = crash.DigestOf(q.customerName(), names.Model(q.r.Method), names.Adapter(q.r.URL.RequestURI()), string(q.body))
	q.standing = q.relay.Crashes.Check(q.digest)
	if q.standing == crash.Refused {
		return verdict.New(verdict.Ran, verdict.CrashSuspect, "targets crashed while they ran this request")
	}
	return nil
}

// serve sends the request until it is answered or given up.
func (q *request) serve() error {
	q.relay.Observer.Admitted(q.route)
	q.relay.Budget.Fresh(q.service.Name)
	ctx, cancel := context.WithDeadline(q.r.Context(), q.deadline)
	defer cancel()
	q.lastID = q.r.Header.Get("Last-Event-Id")
	for {
		err := q.once(ctx)
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
		if err := q.next(ctx, failure); err != nil {
			return err
		}
	}
}

// maxUnsent bounds the targets that are tried without a byte being sent.
const maxUnsent = 4

// next decides whether another attempt follows, and waits for it.
func (q *request) next(ctx context.Context, failure *verdict.Error) error {
	if failure.Reason == verdict.TargetUnreachable && failure.Verdict == verdict.NotRun && len(q.exclude) < maxUnsent {
		return nil
	}
	if !retry.Retriable(failure.Reason) || failure.Reason == verdict.NoTarget {
		return failure.WithVerdict(q.verdict)
	}
	d := q.decided(failure)
	q.relay.Log.Info("attempt failed", zap.String("request", q.facts.ID), zap.String("reason", string(failure.Reason)),
		zap.String("verdict", failure.Verdict.String()), zap.Int("sends", q.sends), zap.Int("ran", q.ran),
		zap.String("outcome", string(d.Outcome)), zap.Duration("wait", d.Wait), cause(failure))
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

// decided returns what was decided about a failed attempt when it was ended, or
// decides now.
func (q *request) decided(failure *verdict.Error) retry.Decision {
	if d := q.whenHung; d != nil {
		q.whenHung = nil
		return *d
	}
	made := q.ran
	if q.sends > q.ran+maxRefused {
		made = q.attempts()
	}
	return q.decide(failure, made)
}

func (q *request) decide(failure *verdict.Error, made int) retry.Decision {
	return q.relay.Budget.Decide(q.service.Name, policy(q.attempts()), retry.Attempt{
		Count: made, Started: made > 0, Failure: failure.WithRetryAfter(0), Idempotent: q.route.Repeatable(), Deadline: q.deadline,
	})
}

func (q *request) attempts() int { return max(q.route.MaxAttempts, 1) }

// maxRefused is how many refusals by targets one request may meet.
const maxRefused = 2

// Waits before a repeat. Another target takes it, so that it need not wait
// for the first to recover.
const (
	baseWait = 4 * time.Millisecond
	maxWait  = 50 * time.Millisecond
	minWork  = 20 * time.Millisecond
)

func policy(attempts int) retry.Policy {
	return retry.Policy{MaxAttempts: attempts, MaxAttemptsAfterStart: attempts, BaseBackoff: baseWait, MaxBackoff: maxWait, MinAttemptTime: minWork}
}

// finish answers with an error, or logs the answer.
func (q *request) finish(err error) {
	now := time.Now()
	took := now.Sub(q.started)
	if err == nil {
		t := q.timing(now)
		q.relay.Observer.Answered(t)
		q.relay.Log.Info("answered", zap.String("request", q.facts.ID), zap.String("route", q.route.Name),
			zap.String("class", string(t.Class)), zap.Duration("queue", t.Queue), zap.Duration("first", t.First),
			zap.Duration("took", took), zap.Duration("longest_pause", t.Pause), zap.Int("sends", q.sends))
		return
	}
	failure := verdict.From(err)
	if failure.Verdict == verdict.NotRun && failure.RetryAfter == 0 {
		failure = failure.WithRetryAfter(refusedRetry)
	}
	q.relay.Observer.Refused(failure)
	q.logFailure(failure, took)
	if failure.Reason == verdict.CallerGone {
		panic(http.ErrAbortHandler)
	}
	if q.begun {
		panic(http.ErrAbortHandler) // the caller must see that the answer is not whole
	}
	h := q.w.Header()
	clear(h)
	status := q.relay.Codec.Refuse(h, &q.facts, failure)
	h.Set("Content-Length", "0")
	q.w.WriteHeader(status)
}

func (q *request) logFailure(failure *verdict.Error, took time.Duration) {
	route := ""
	if q.route != nil {
		route = q.route.Name
	}
	version := names.Version(0)
	if q.table != nil {
		version = q.table.Version
	}
	q.relay.Log.Info("not answered", zap.String("request", q.facts.ID), zap.String("route", route),
		zap.String("reason", string(failure.Reason)), zap.String("verdict", failure.Verdict.String()),
		zap.Duration("took", took), zap.Duration("retry_after", failure.RetryAfter), zap.Int("sends", q.sends),
		zap.Bool("begun", q.begun), zap.Uint64("version", uint64(version)), cause(failure))
}

// cause is the log field for what is behind a failure, without the stack that
// the error carries.
func cause(failure *verdict.Error) zap.Field {
	if err := failure.Unwrap(); err != nil {
		return zap.String("error", err.Error())
	}
	return zap.Skip()
}

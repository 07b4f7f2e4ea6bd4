package relay

import (
	"context"
	"slices"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/inflight"
	"carobspoke.example/core/process/refusals"
	"carobspoke.example/core/request/placement"
	"carobspoke.example/core/verdict"
	"go.uber.org/zap"
)

// place asks the board for a target. The answer must be complete before the
// request's deadline and, if the daemon is stopping, before its shutdown.
func (q *request) place(ctx context.Context) (*Placement, error) {
	regions, possible := q.regions()
	if !possible {
		return nil, verdict.New(verdict.NotRun, verdict.RegionNotAllowed, "no region is allowed by both the route and the customer")
	}
	timeLeft := time.Until(q.deadline)
	timeToShutdown := time.Duration(0)
	if remaining, stopping := q.relay.TimeToShutdown(); stopping {
		timeToShutdown = max(remaining-shutdownMargin, 1)
		timeLeft = min(timeLeft, timeToShutdown)
	}
	in := &placement.Request{
		PromptTokens:      q.info.PromptTokens,
		AnswerTokens:      q.info.AnswerTokens,
		LatencyTarget:     q.route.LatencyTarget,
		GapTarget:         q.route.GapTarget,
		TimeLeft:          timeLeft,
		TimeToShutdown:    timeToShutdown,
		AnswerStarted:     q.answerStarted,
		FirstEventTimeout: callerEventTimeout(q.route),
		Rank:              q.priority(),
		Customer:          q.customerName(),
		AnswerHint:        q.info.AnswerHint,
		Fingerprint:       q.fingerprint(),
		Retried:           q.sends > 0,
		Regions:           regions,
		Exclude:           q.exclude,
	}
	placed, err := q.relay.Board.Place(ctx, in, q.service)
	if err != nil {
		return nil, err
	}
	if q.firstPlacedAt.IsZero() {
		q.firstPlacedAt = time.Now()
	}
	q.predictedFirstEvent = placed.Decision.FirstEvent
	load := &placed.Decision.Load
	q.relay.Log.Info("placed", zap.String("request", q.info.ID), zap.String("target", string(placed.Decision.Target)),
		zap.Int("helpers", len(placed.Helpers)), zap.Duration("predicted", placed.Decision.FirstEvent),
		zap.Duration("backlog", load.Backlog), zap.Int("at_target", load.Requests), zap.Int("writers", load.Answers),
		zap.Int("tokens", q.info.PromptTokens), zap.Duration("left", timeLeft), zap.Uint64("version", uint64(q.table.Version)),
		zap.Uint64("revision", q.relay.TargetListRevision()), zap.Duration("age", q.relay.TargetListAge()), zap.String("after", q.lastEventID),
		limitField(&placed.Decision))
	return placed, nil
}

// regions returns the regions that the request may reach, empty if there is no restriction. It
// returns false if the route and the customer allow regions and have none in common.
func (q *request) regions() (allowed []names.Region, possible bool) {
	if q.customer == nil || len(q.customer.Regions) == 0 {
		return q.route.Regions, true
	}
	if len(q.route.Regions) == 0 {
		return q.customer.Regions, true
	}
	for _, region := range q.route.Regions {
		if slices.Contains(q.customer.Regions, region) {
			allowed = append(allowed, region)
		}
	}
	return allowed, len(allowed) > 0
}

// fingerprint returns the hash of the whole request and its customer, which is the same when
// the caller sends it again.
func (q *request) fingerprint() refusals.Fingerprint {
	items := q.shared.Items
	if len(items) == 0 {
		return 0
	}
	return refusals.Fingerprint(items[len(items)-1])
}

// priority returns the customer's priority if it has one, or else the route's.
func (q *request) priority() int {
	if q.customer != nil && q.customer.Priority != nil {
		return *q.customer.Priority
	}
	return q.route.Priority
}

// reserve reserves memory at the helpers that need it, at all of them or at
// none. A reservation that is not granted at once fails, so that two prompts
// never wait for memory that the other holds. The returned function releases
// the reservations.
func (q *request) reserve(ctx context.Context, placed *Placement) ([]HelperAddress, func(), error) {
	helpers := make([]HelperAddress, len(placed.Helpers))
	release := func() {
		for _, h := range helpers {
			if h.Reservation != "" {
				q.relay.Reserver.Release(h.Reservation)
			}
		}
	}
	ctx = WithDispatch(ctx, placed.Key)
	for i, address := range placed.Helpers {
		helpers[i].Address = address
		helper := placed.Decision.Helpers[i]
		if helper.ReservedTokens == 0 {
			continue
		}
		name, err := q.relay.Reserver.Reserve(ctx, address, helper.Target, helper.ReservedTokens)
		if err != nil {
			release()
			q.relay.Log.Info("memory not set aside", zap.String("request", q.info.ID), zap.String("target", string(helper.Target)),
				zap.Int("tokens", helper.ReservedTokens), zap.String("error", err.Error()))
			return nil, nil, verdict.Wrap(err, verdict.NotRun, verdict.SpanUnavailable, "no memory could be set aside")
		}
		helpers[i].Reservation = name
		q.relay.Log.Info("memory set aside", zap.String("request", q.info.ID), zap.String("target", string(helper.Target)),
			zap.Int("tokens", helper.ReservedTokens), zap.String("reservation", name))
	}
	return helpers, release, nil
}

type dispatchContext struct{}

// WithDispatch returns a context for the reservations and probes of a dispatch.
func WithDispatch(ctx context.Context, k inflight.Key) context.Context {
	return context.WithValue(ctx, dispatchContext{}, k)
}

// DispatchOf returns the dispatch that an order or a probe is sent for, and whether its context
// names one.
func DispatchOf(ctx context.Context) (inflight.Key, bool) {
	k, ok := ctx.Value(dispatchContext{}).(inflight.Key)
	return k, ok
}

// limitField returns the log field of the limit of a placement's target. It is omitted if
// the target has named none.
func limitField(d *placement.Decision) zap.Field {
	if d.Limit == 0 {
		return zap.Skip()
	}
	return zap.Float64("limit", d.Limit)
}

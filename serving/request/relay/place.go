package relay

import (
	"context"
	"time"

	"carobspoke.example/core/request/placement"
	"carobspoke.example/core/verdict"
	"go.uber.org/zap"
)

// place asks the board for a target, with the time that is left.
func (q *request) place() (*Placed, error) {
	left := time.Until(q.deadline)
	ends := time.Duration(0)
	if rest, leaving := q.relay.Leaving(); leaving {
		ends = max(rest-lastAnswer, 1)
		left = min(left, ends)
	}
	in := &placement.Request{
		PromptTokens:      q.facts.PromptTokens,
		AnswerTokens:      q.facts.AnswerTokens,
		LatencyTarget:     q.route.LatencyTarget,
		GapTarget:         q.route.GapTarget,
		TimeLeft:          left,
		TimeToShutdown:    ends,
		AnswerStarted:     q.begun,
		FirstEventTimeout: patienceOf(q.route),
		Rank:              q.rank(),
		Exclude:           q.exclude,
	}
	placed, err := q.relay.Board.Place(in, q.service)
	if err != nil {
		return nil, err
	}
	if q.firstSend.IsZero() {
		q.firstSend = time.Now()
	}
	q.predicted = placed.Decision.FirstEvent
	load := &placed.Decision.Load
	q.relay.Log.Info("placed", zap.String("request", q.facts.ID), zap.String("target", string(placed.Decision.Target)),
		zap.Int("helpers", len(placed.Helpers)), zap.Duration("predicted", placed.Decision.FirstEvent),
		zap.Duration("backlog", load.Backlog), zap.Int("at_target", load.Requests), zap.Int("writers", load.Answers),
		zap.Int("tokens", q.facts.PromptTokens), zap.Duration("left", left), zap.Uint64("version", uint64(q.table.Version)),
		zap.Uint64("revision", q.relay.Revision()), zap.Duration("age", q.relay.Age()), zap.String("after", q.lastID))
	return placed, nil
}

func (q *request) rank() int {
	if q.customer != nil && q.customer.Priority != nil {
		return *q.customer.Priority
	}
	return q.route.Priority
}

// reserve sets memory aside at the helpers that need it, all or none. One that
// is not granted at once fails, so that two prompts never wait for what the
// other holds.
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
		if helper.ReservedTokens == 0 {
			continue
		}
		name, err := q.relay.Reserver.Reserve(ctx, address, helper.Target, helper.ReservedTokens)
		if err != nil {
			release()
			q.relay.Log.Info("memory not set aside", zap.String("request", q.facts.ID), zap.String("target", string(helper.Target)),
				zap.Int("tokens", helper.ReservedTokens), zap.String("error", err.Error()))
			return nil, nil, verdict.Wrap(err, verdict.NotRun, verdict.SpanUnavailable, "no memory could be set aside")
		}
		helpers[i].Reservation = name
		q.relay.Log.Info("memory set aside", zap.String("request", q.facts.ID), zap.String("target", string(helper.Target)),
			zap.Int("tokens", helper.ReservedTokens), zap.String("reservation", name))
	}
	return helpers, release, nil
}

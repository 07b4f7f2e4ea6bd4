package dispatchsync

import (
	"context"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/homes"
	"carobspoke.example/core/process/inflight"
	"carobspoke.example/core/process/ratelimits"
	"carobspoke.example/core/process/replicas"
	"carobspoke.example/core/request/placement"
	"carobspoke.example/serving/peerpb"
	"github.com/pkg/errors"
)

// AskTimeout is how long a daemon waits for the answer of a home. A home answers
// within a round trip between data centres and some milliseconds of its processor;
// the rest is for one that is short of processor time.
const AskTimeout = 60 * time.Millisecond

// Ask is a request to be placed by a home.
type Ask struct {
	Group   homes.Group
	Request placement.Request
	// Avoid lists the targets that failed recently at the asking daemon. They are
	// used if there is no other.
	Avoid []names.Target
	// Limits are what the asking daemon knows of the limits of targets.
	Limits []ratelimits.Claim
	// Evacuated are the data centres that operators want evacuated, as the asking daemon
	// knows.
	Evacuated []names.DataCentre
	// Cold are the targets that have not warmed up yet, as the asking daemon knows.
	Cold []ColdTarget
	// Redirected is true if another daemon has named the asked one as a home.
	Redirected bool
}

// ColdTarget is a target that has not warmed up yet.
type ColdTarget struct {
	replicas.Incarnation
	// Left is how much longer the target is cold.
	Left time.Duration
}

// Answer is the answer of a home.
type Answer struct {
	// UnknownService is true if the home does not know the service. The other
	// fields are then empty.
	UnknownService bool
	// Homes are the daemons to ask instead, if the asked one is no home of the
	// group. The other fields are then empty.
	Homes    []names.Host
	Decision placement.Decision
	// LimitsKnown is true if the home has taken Ask.Limits into account. One of an
	// earlier release of the daemon has not.
	LimitsKnown bool
	// Pressure is the mean time of work ahead of a new prompt in the group, in
	// seconds.
	Pressure float64
}

// Outcome is the outcome of a send to a target.
type Outcome int

// The outcomes.
const (
	Succeeded Outcome = iota
	Failed
	// Unreachable means that no connection to the target could be opened.
	Unreachable
)

// errNoAnswer is returned by Ask if the home did not answer in time.
var errNoAnswer = errors.New("dispatchsync: the home did not answer in time")

// Ask asks a home to place a request as the dispatch with the given number. It returns
// an error if there is no answer within AskTimeout or before ctx ends; the home may
// then have counted the dispatch.
func (e *Exchange) Ask(ctx context.Context, home names.Host, number uint64, a *Ask) (Answer, error) {
	answers := make(chan Answer, 1)
	e.mu.Lock()
	e.asks[number] = answers
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.asks, number)
	}()
	batch := e.newBatch()
	batch.Asks = []*peerpb.PlacementAsk{encodeAsk(number, a)}
	e.send(home, batch)
	timer := time.NewTimer(AskTimeout)
	defer timer.Stop()
	select {
	case answer := <-answers:
		return answer, nil
	case <-timer.C:
		return Answer{}, errors.WithStack(errNoAnswer)
	case <-ctx.Done():
		return Answer{}, errors.WithStack(ctx.Err())
	}
}

// answer answers a question of another daemon.
func (e *Exchange) answer(k inflight.Key, message *peerpb.PlacementAsk) {
	answer := e.config.Sink.Place(k, decodeAsk(message))
	batch := e.newBatch()
	batch.Answers = []*peerpb.PlacementAnswer{encodeAnswer(k.Number, &answer)}
	e.send(k.Host, batch)
}

// deliver passes an answer to the question that waits for it. An answer that comes too
// late is dropped.
func (e *Exchange) deliver(message *peerpb.PlacementAnswer) {
	e.mu.Lock()
	waiting, ok := e.asks[message.GetNumber()]
	delete(e.asks, message.GetNumber())
	e.mu.Unlock()
	if ok {
		waiting <- decodeAnswer(message)
	}
}

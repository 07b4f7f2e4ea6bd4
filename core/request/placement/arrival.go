package placement

import (
	"math"
	"time"

	"carobspoke.example/core/process/inflight"
	"carobspoke.example/core/request/overload"
	"carobspoke.example/core/version/routing"
)

// arrival is a prompt with the state of its service on arrival.
type arrival struct {
	*Request
	engine *routing.Engine
	state  *overload.State
	room   overload.Room
	// now is the time of the loads of the candidates; zero if none has a load.
	now time.Time
	// weight multiplies the costs of delaying the prompt.
	weight float64
	// exceedsRoom is true if the engines cannot prefill the prompt beside those that gain more
	// for the engines' time.
	exceedsRoom bool
}

// assess returns a prompt with the state of its service. It takes time linear in the
// candidates.
func (p *Placer) assess(r *Request, service *routing.Service, usable []Candidate) *arrival {
	a := &arrival{Request: r, engine: service.Engine, state: p.services[service.Name], weight: overload.Weight(r.Rank)}
	if a.state == nil {
		a.state = overload.NewState()
		p.services[service.Name] = a.state
	}
	for i := range usable {
		load := &usable[i].Load
		a.room.Add(max(usable[i].Slots, 1), load.Answers, load.Deferred)
		if load.ReadAt.After(a.now) {
			a.now = load.ReadAt
		}
	}
	a.room.SlotTime = p.slotTime(a.engine)
	return a
}

// slotTime predicts the time for which an answer of the mean length takes a slot of an engine
// whose slots are all taken.
func (p *Placer) slotTime(e *routing.Engine) time.Duration {
	return DecodeTime(e, e.MeanAnswerTokens, max(e.Slots, 1), e.MeanPromptTokens)
}

// weightedSize returns the cost of delaying the prompt.
func (a *arrival) weightedSize() int { return int(math.Round(a.weight * float64(Size(a.Request)))) }

// answerPart returns the work at the target that generates the answer.
func (a *arrival) answerPart(c *Candidate, prefill time.Duration) inflight.Part {
	return inflight.Part{
		Target:    c.Target,
		Prefill:   prefill,
		Tokens:    a.PromptTokens + a.AnswerTokens,
		Decodes:   true,
		Size:      a.weightedSize(),
		GapTarget: a.GapTarget,
	}
}

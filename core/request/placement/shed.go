package placement

import "time"

const (
	// prefillShare is the share of the engines' time that prefills can take: in the rest they
	// generate answers.
	prefillShare = 0.6
	// shedRetryAfter is the earliest time at which a prompt returns that was refused because the
	// demand exceeds the room: a later one leaves it too little of its caller's patience.
	shedRetryAfter = 2500 * time.Millisecond
)

// mayShed reports whether the prompt may be refused although it can still be answered: it comes
// for the first time, no attempt of it was sent, and there is not ample room.
func (a *arrival) mayShed() bool {
	return !a.Returned && !a.Retried && !a.AnswerStarted && !a.room.Ample()
}

// isOverShare reports whether the prompt is refused because its customer uses more than its share
// while almost all slots are taken.
func (a *arrival) isOverShare() bool {
	return a.mayShed() && a.room.Scarce() && a.state.OverShare(a.Customer, a.now)
}

// exceedsRoom records the demand of a prompt, and reports whether it exceeds what the engines can
// prefill beside the prompts that gain more for the engines' time.
func (p *Placer) exceedsRoom(a *arrival, prefill time.Duration) bool {
	gain, work := a.weight*float64(Size(a.Request)), prefill.Seconds()
	a.state.Demand.Add(gain, work, a.now)
	excess := a.state.Demand.Excess(gain, work, prefillShare*float64(a.room.Engines))
	return excess > 0 && !a.room.Ample() && excess > p.random.Float64()
}

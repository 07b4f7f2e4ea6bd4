package span

import (
	"cmp"
	"slices"
	"time"

	"carobspoke.example/core/target"
)

// partsByEngineName returns the indices of parts, sorted by engine name.
func partsByEngineName(parts []part) []int {
	order := make([]int, len(parts))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Compare(parts[a].engine.Target, parts[b].engine.Target)
	})
	return order
}

// advance requests the next reservation, or submits the next part once all are
// reserved.
func (r *Run) advance(now time.Time) []Action {
	for _, i := range r.order {
		switch r.parts[i].state {
		case waiting:
			return r.reserve(now, i)
		case reserving:
			return nil
		default:
		}
	}
	return r.submit()
}

func (r *Run) reserve(now time.Time, i int) []Action {
	p := &r.parts[i]
	if now.Before(p.retryAt) {
		return nil
	}
	p.state = reserving
	action := r.action(Reserve, i)
	if i == r.lastPart() {
		action.Tokens += r.plan.MaxTokens
	}
	return []Action{action}
}

// lastPart returns the index of the last part, whose engine generates the answer.
func (r *Run) lastPart() int { return len(r.parts) - 1 }

// submit submits the first reserved part, unless one is already running.
func (r *Run) submit() []Action {
	for i := range r.parts {
		switch r.parts[i].state {
		case running:
			return nil
		case reserved:
			return r.start(i)
		default:
		}
	}
	return nil
}

func (r *Run) start(i int) []Action {
	r.submitted = true
	r.parts[i].state = running
	kind := SubmitPart
	if i == r.lastPart() {
		kind = SubmitFinal
	}
	action := r.action(kind, i)
	for j := range i {
		action.Parts = append(action.Parts, r.pinnedPart(j))
	}
	return []Action{action}
}

func (r *Run) pinnedPart(i int) target.Part {
	p := &r.parts[i]
	return target.Part{Address: p.engine.Address, Handle: r.nameHandle(i, p.generation), Tokens: p.tokens}
}

// handleBusy retries the same engine later if no part was submitted yet;
// otherwise it tries the next spare.
func (r *Run) handleBusy(now time.Time, i int) []Action {
	p := &r.parts[i]
	if r.submitted {
		return r.tryNextSpare(now, i)
	}
	p.state = waiting
	p.retryAt = now.Add(TickInterval)
	if refusal := r.timeoutError(now); refusal != nil {
		return r.end(refusal)
	}
	return nil
}

// tryNextSpare moves part i to the next spare and returns its present engine to
// the end of the list of spares, until ReplaceTimeout has passed.
func (r *Run) tryNextSpare(now time.Time, i int) []Action {
	if !now.Before(r.replaceBy) {
		return r.end(r.unavailable("an engine failed and none is free to take its place"))
	}
	r.spares = append(slices.Clone(r.spares), r.parts[i].engine)
	return r.replaceEngine(now, i, now.Add(TickInterval))
}

// handleFailed replaces the failed engine of part i, up to MaxReplacements times
// in a run.
func (r *Run) handleFailed(now time.Time, i int) []Action {
	if r.replacements >= MaxReplacements {
		return r.end(r.unavailable("too many engines failed"))
	}
	r.replacements++
	r.replaceBy = now.Add(ReplaceTimeout)
	return r.replaceEngine(now, i, now)
}

// replaceEngine moves part i to the next spare with enough memory, and requests
// its reservation from reserveAt on. The run ends if there is no such spare or if
// the remaining prefills would miss the deadline. A part that is running restarts,
// since it reads the lost part.
func (r *Run) replaceEngine(now time.Time, i int, reserveAt time.Time) []Action {
	actions := []Action{r.action(Free, i)}
	spare, ok := r.takeSpare(i)
	if !ok || now.Add(r.remainingPrefill(i, spare)).After(r.deadline) {
		return append(actions, r.end(r.unavailable("an engine failed and none can take its place"))...)
	}
	p := &r.parts[i]
	p.engine = spare
	p.generation++
	p.state = waiting
	p.retryAt = reserveAt
	r.order = partsByEngineName(r.parts)
	if r.submitted {
		actions = append(actions, r.interruptLater(i)...)
	} else {
		actions = append(actions, r.releaseAll()...)
	}
	return append(actions, r.advance(now)...)
}

// interruptLater frees the running part that follows the lost part, since it
// reads the lost part, and schedules a new reservation at its engine.
func (r *Run) interruptLater(lost int) []Action {
	var actions []Action
	for i := lost + 1; i < len(r.parts); i++ {
		if r.parts[i].state != running {
			continue
		}
		actions = append(actions, r.action(Free, i))
		r.parts[i].generation++
		r.parts[i].state = waiting
	}
	return actions
}

// releaseAll frees all reservations, so that they can be requested again in the
// new order of engine names.
func (r *Run) releaseAll() []Action {
	var actions []Action
	for i := range r.parts {
		if r.parts[i].state == waiting {
			continue
		}
		actions = append(actions, r.action(Free, i))
		r.parts[i].generation++
		r.parts[i].state = waiting
	}
	return actions
}

// takeSpare removes and returns the first spare that has the memory for part i
// and holds no other part.
func (r *Run) takeSpare(i int) (Engine, bool) {
	need := r.parts[i].tokens
	if i == r.lastPart() {
		need += r.plan.MaxTokens
	}
	for k, spare := range r.spares {
		if spare.Tokens >= need && !r.usesEngine(spare, i) {
			r.spares = slices.Delete(slices.Clone(r.spares), k, k+1)
			return spare, true
		}
	}
	return Engine{}, false
}

// usesEngine reports whether a part other than except is assigned to an engine.
func (r *Run) usesEngine(e Engine, except int) bool {
	for i := range r.parts {
		if i != except && r.parts[i].engine.Target == e.Target {
			return true
		}
	}
	return false
}

// remainingPrefill predicts the prefill time of all parts that are not pinned, if
// part i moves to a spare.
func (r *Run) remainingPrefill(i int, spare Engine) time.Duration {
	var sum time.Duration
	for k := range r.parts {
		p := &r.parts[k]
		switch {
		case k == i:
			sum += spare.prefillTime(p.tokens)
		case p.state != pinned:
			sum += p.engine.prefillTime(p.tokens)
		}
	}
	return sum
}

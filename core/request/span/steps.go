package span

import (
	"cmp"
	"slices"
	"time"

	"carobspoke.example/core/target"
)

func byName(parts []part) []int {
	order := make([]int, len(parts))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Compare(parts[a].engine.Target, parts[b].engine.Target)
	})
	return order
}

// advance starts the next reservation, or the next part once all are reserved.
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
	if i == r.last() {
		action.Tokens += r.plan.MaxTokens
	}
	return []Action{action}
}

func (r *Run) last() int { return len(r.parts) - 1 }

// submit starts the first part that is not pinned, unless one is running.
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
	if i == r.last() {
		kind = SubmitFinal
	}
	action := r.action(kind, i)
	for j := range i {
		action.Parts = append(action.Parts, r.held(j))
	}
	return []Action{action}
}

func (r *Run) held(i int) target.Part {
	p := &r.parts[i]
	return target.Part{Address: p.engine.Address, Handle: r.name(i, p.generation), Tokens: p.tokens}
}

// busy waits at the engine while nothing was submitted, and looks for a spare
// afterwards.
func (r *Run) busy(now time.Time, i int) []Action {
	p := &r.parts[i]
	if r.submitted {
		return r.tryNext(now, i)
	}
	p.state = waiting
	p.retryAt = now.Add(TickInterval)
	if refusal := r.overdue(now); refusal != nil {
		return r.end(refusal)
	}
	return nil
}

// tryNext asks the spares in turn for as long as ReplaceTimeout allows.
func (r *Run) tryNext(now time.Time, i int) []Action {
	if !now.Before(r.replaceBy) {
		return r.end(r.unavailable("an engine failed and none is free to take its place"))
	}
	r.spares = append(slices.Clone(r.spares), r.parts[i].engine)
	return r.replace(now, i, now.Add(TickInterval))
}

// failed gives up the engine of a part.
func (r *Run) failed(now time.Time, i int) []Action {
	if r.replacements >= MaxReplacements {
		return r.end(r.unavailable("too many engines failed"))
	}
	r.replacements++
	r.replaceBy = now.Add(ReplaceTimeout)
	return r.replace(now, i, now)
}

// replace moves a part to the next spare that has the memory and the time, and
// asks it from askAt on. The
// last part runs again if it had begun: it read the part that was lost.
func (r *Run) replace(now time.Time, i int, askAt time.Time) []Action {
	actions := []Action{r.action(Free, i)}
	spare, ok := r.takeSpare(i)
	if !ok || now.Add(r.remaining(i, spare)).After(r.deadline) {
		return append(actions, r.end(r.unavailable("an engine failed and none can take its place"))...)
	}
	p := &r.parts[i]
	p.engine = spare
	p.generation++
	p.state = waiting
	p.retryAt = askAt
	r.order = byName(r.parts)
	if r.submitted {
		actions = append(actions, r.interruptLater(i)...)
	} else {
		actions = append(actions, r.releaseAll()...)
	}
	return append(actions, r.advance(now)...)
}

// interruptLater gives up the part that is running, which reads the part that
// was lost, and reserves its engine anew.
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

// releaseAll gives up all reservations, so that they can be asked for again in
// the new order of names.
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

func (r *Run) takeSpare(i int) (Engine, bool) {
	need := r.parts[i].tokens
	if i == r.last() {
		need += r.plan.MaxTokens
	}
	for k, spare := range r.spares {
		if spare.Tokens >= need && !r.uses(spare, i) {
			r.spares = slices.Delete(slices.Clone(r.spares), k, k+1)
			return spare, true
		}
	}
	return Engine{}, false
}

// uses reports whether another part than one is at an engine.
func (r *Run) uses(e Engine, except int) bool {
	for i := range r.parts {
		if i != except && r.parts[i].engine.Target == e.Target {
			return true
		}
	}
	return false
}

// remaining predicts the time of all parts that are not pinned, if part i moves
// to a spare.
func (r *Run) remaining(i int, spare Engine) time.Duration {
	var sum time.Duration
	for k := range r.parts {
		p := &r.parts[k]
		switch {
		case k == i:
			sum += spare.prefill(p.tokens)
		case p.state != pinned:
			sum += p.engine.prefill(p.tokens)
		}
	}
	return sum
}

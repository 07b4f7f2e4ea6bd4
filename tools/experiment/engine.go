package experiment

import (
	"slices"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/target"
)

// Time model of a fake engine.
const (
	// prefillTokenTime is the time that a token of a prompt adds to a step.
	prefillTokenTime = 50 * time.Microsecond
	// stepBase is the time of a step that does nothing.
	stepBase = 8 * time.Millisecond
	// streamTime is the time that a decoding stream adds to a step.
	streamTime = 150 * time.Microsecond
	// chunkTokens bounds the prefill of one step.
	chunkTokens = 768
	// engineTokens is the KV memory of an engine, in tokens.
	engineTokens = 450_000
	// blockTokens is the size of a KV block, in tokens.
	blockTokens = 64
)

const model = names.Model("m")

// engine batches continuously: each step does a chunk of prefill and one token
// of every decoding stream.
type engine struct {
	clock *clock
	name  names.Target
	// whole engines end a prefill that they have begun before any other,
	// whatever its priority; the others give each chunk to the highest
	// priority.
	whole    bool
	queue    []*stream
	decoding []*stream
	used     int
	running  bool
	lastStep time.Duration
	seq      uint64
	cache    *prefixCache
	pins     map[target.HandleID]int // tokens held for spans
	dead     bool
	boot     uint64
	// saved counts the prompt tokens that were in the cache, of total.
	saved, total int
}

// stream is a request at an engine.
type stream struct {
	id       string
	prompt   int
	answer   int
	digests  []uint64
	priority int
	left     int // prompt tokens not yet prefilled
	emitted  int
	begun    bool
	dropped  bool
	first    func()
	end      func()
	// fail is called when the engine dies.
	fail func()
	// hold makes this a prefill into memory that is pinned already.
	hold bool
}

func newEngine(c *clock, name names.Target, whole bool) *engine {
	return &engine{clock: c, name: name, whole: whole, cache: newPrefixCache(), pins: make(map[target.HandleID]int), boot: 1}
}

func (e *engine) submit(s *stream) {
	if e.dead {
		s.dropped = true
		s.fail()
		return
	}
	s.begun = s.hold
	hit := min(e.cache.cached(s.digests), s.prompt-1)
	e.saved += hit
	e.total += s.prompt
	s.left = s.prompt - hit
	i, _ := slices.BinarySearchFunc(e.queue, s, func(a, b *stream) int {
		if a.priority >= b.priority {
			return -1
		}
		return 1
	})
	e.queue = slices.Insert(e.queue, i, s)
	e.wake()
}

// cancel ends a stream and frees its memory.
func (e *engine) cancel(s *stream) {
	if s.dropped {
		return
	}
	s.dropped = true
	e.queue = remove(e.queue, s)
	e.decoding = remove(e.decoding, s)
	if s.begun && !s.hold {
		e.used -= s.prompt + s.answer
	}
}

func remove(list []*stream, s *stream) []*stream {
	return slices.DeleteFunc(list, func(o *stream) bool { return o == s })
}

func (e *engine) wake() {
	if e.running {
		return
	}
	e.running = true
	e.step()
}

func (e *engine) step() {
	if len(e.queue)+len(e.decoding) == 0 {
		e.running = false
		e.lastStep = 0
		return
	}
	work := e.plan()
	tokens := 0
	for _, w := range work {
		tokens += w.tokens
	}
	e.lastStep = stepTime(tokens, len(e.decoding))
	batch := slices.Clone(e.decoding)
	e.clock.after(e.lastStep, func() {
		e.finishStep(work, batch)
		e.step()
	})
}

func stepTime(tokens, streams int) time.Duration {
	return stepBase + time.Duration(tokens)*prefillTokenTime + time.Duration(streams)*streamTime
}

type chunk struct {
	stream *stream
	tokens int
}

// plan divides a step's prefill among the waiting streams.
func (e *engine) plan() []chunk {
	var work []chunk
	left := chunkTokens
	for _, s := range e.prefillOrder() {
		if left == 0 {
			break
		}
		if !s.begun && e.used+s.prompt+s.answer > engineTokens {
			continue
		}
		if !s.begun {
			s.begun = true
			e.used += s.prompt + s.answer
		}
		n := min(left, s.left)
		left -= n
		work = append(work, chunk{stream: s, tokens: n})
	}
	return work
}

func (e *engine) prefillOrder() []*stream {
	if !e.whole {
		return e.queue
	}
	var begun, waiting []*stream
	for _, s := range e.queue {
		if s.begun {
			begun = append(begun, s)
		} else {
			waiting = append(waiting, s)
		}
	}
	return append(begun, waiting...)
}

func (e *engine) finishStep(work []chunk, batch []*stream) {
	for _, s := range batch {
		e.emit(s)
	}
	for _, w := range work {
		s := w.stream
		if s.dropped {
			continue
		}
		s.left -= w.tokens
		if s.left > 0 {
			continue
		}
		e.queue = remove(e.queue, s)
		if s.hold {
			s.dropped = true
			s.end()
			continue
		}
		e.decoding = append(e.decoding, s)
		e.cache.add(s.digests)
		s.first()
		e.emit(s)
	}
}

func (e *engine) emit(s *stream) {
	if s.dropped {
		return
	}
	s.emitted++
	if s.emitted < s.answer {
		return
	}
	e.cancel(s)
	s.end()
}

func (e *engine) report() target.Report {
	queued := 0
	for _, s := range e.queue {
		queued += s.left
	}
	e.seq++
	full := stepTime(chunkTokens, len(e.decoding))
	step := e.lastStep
	if step == 0 {
		step = stepTime(0, 1)
	}
	return target.Report{
		Target: e.name, BootID: e.boot, Seq: e.seq, MeasuredAt: e.clock.now,
		QueuedTokens: queued, RunningStreams: len(e.decoding),
		FreeBlocks:  (engineTokens - e.used) / blockTokens,
		TotalBlocks: engineTokens / blockTokens, BlockTokens: blockTokens,
		PrefillRate: chunkTokens / full.Seconds(), StepTime: step,
		State: target.State{Model: model, Version: "1", Role: target.Mixed},
	}
}

// pin sets memory aside, or reports false if there is too little.
func (e *engine) pin(h target.HandleID, tokens int) bool {
	if e.used+tokens > engineTokens {
		return false
	}
	e.pins[h] = tokens
	e.used += tokens
	return true
}

func (e *engine) unpin(h target.HandleID) {
	e.used -= e.pins[h]
	delete(e.pins, h)
}

// kill ends all streams and forgets all memory. The engine stays down for a
// time.
func (e *engine) kill(down time.Duration) {
	lost := append(slices.Clone(e.queue), e.decoding...)
	for _, s := range lost {
		s.dropped = true
	}
	e.queue, e.decoding, e.used = nil, nil, 0
	clear(e.pins)
	e.cache = newPrefixCache()
	e.dead = true
	e.boot++
	e.seq = 0
	for _, s := range lost {
		s.fail()
	}
	e.clock.after(down, func() { e.dead = false })
}

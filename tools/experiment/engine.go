package experiment

import (
	"slices"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/target"
)

// Time model of a fake engine.
const (
	// prefillTimePerToken is the time that each prefilled prompt token adds to
	// a step.
	prefillTimePerToken = 50 * time.Microsecond
	// baseStepTime is the duration of a step without any work.
	baseStepTime = 8 * time.Millisecond
	// decodeTimePerStream is the time that each decoding stream adds to a step.
	decodeTimePerStream = 150 * time.Microsecond
	// chunkTokens is the maximum number of prompt tokens prefilled in one step.
	chunkTokens = 768
	// engineTokens is the KV memory of an engine, in tokens.
	engineTokens = 450_000
	// blockTokens is the size of a KV block, in tokens.
	blockTokens = 64
)

const model = names.Model("m")

// engine is a fake engine with continuous batching: each step prefills up to
// chunkTokens prompt tokens and decodes one token of every decoding stream.
type engine struct {
	clock *clock
	name  names.Target
	// nonPreemptive engines finish a started prefill before any other,
	// whatever its priority; other engines prefill the highest priority first
	// in every step.
	nonPreemptive bool
	queue         []*stream
	decoding      []*stream
	usedTokens    int
	running       bool
	lastStep      time.Duration
	seq           uint64
	cache         *prefixCache
	reserved      map[target.HandleID]int // tokens reserved for spans
	dead          bool
	bootID        uint64
	// cachedTokens counts the prompt tokens found in the prefix cache, out of
	// promptTokens submitted.
	cachedTokens, promptTokens int
}

// stream is a request at an engine.
type stream struct {
	id           string
	prompt       int
	answer       int
	digests      []uint64
	priority     int
	remaining    int // prompt tokens not yet prefilled
	emitted      int
	started      bool
	ended        bool
	onFirstToken func()
	onComplete   func()
	// onFailure is called when the engine fails.
	onFailure func()
	// memoryReserved marks a span's prefill into memory that is already
	// reserved.
	memoryReserved bool
}

func newEngine(c *clock, name names.Target, nonPreemptive bool) *engine {
	return &engine{clock: c, name: name, nonPreemptive: nonPreemptive, cache: newPrefixCache(), reserved: make(map[target.HandleID]int), bootID: 1}
}

// submit queues a stream by priority, first come first served within one
// priority. A stream sent to a dead engine fails immediately.
func (e *engine) submit(s *stream) {
	if e.dead {
		s.ended = true
		s.onFailure()
		return
	}
	s.started = s.memoryReserved
	hit := min(e.cache.lookUp(s.digests), s.prompt-1)
	e.cachedTokens += hit
	e.promptTokens += s.prompt
	s.remaining = s.prompt - hit
	i, _ := slices.BinarySearchFunc(e.queue, s, func(a, b *stream) int {
		if a.priority >= b.priority {
			return -1
		}
		return 1
	})
	e.queue = slices.Insert(e.queue, i, s)
	e.startIfIdle()
}

// cancel removes a stream and frees its memory. It does nothing for a stream
// that has already ended.
func (e *engine) cancel(s *stream) {
	if s.ended {
		return
	}
	s.ended = true
	e.queue = removeStream(e.queue, s)
	e.decoding = removeStream(e.decoding, s)
	if s.started && !s.memoryReserved {
		e.usedTokens -= s.prompt + s.answer
	}
}

func removeStream(list []*stream, s *stream) []*stream {
	return slices.DeleteFunc(list, func(o *stream) bool { return o == s })
}

func (e *engine) startIfIdle() {
	if e.running {
		return
	}
	e.running = true
	e.step()
}

// step plans a step and schedules its completion, or goes idle if there is no
// work.
func (e *engine) step() {
	if len(e.queue)+len(e.decoding) == 0 {
		e.running = false
		e.lastStep = 0
		return
	}
	work := e.planPrefill()
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
	return baseStepTime + time.Duration(tokens)*prefillTimePerToken + time.Duration(streams)*decodeTimePerStream
}

// chunk is the part of a stream's prompt that one step prefills.
type chunk struct {
	stream *stream
	tokens int
}

// planPrefill divides a step's prefill budget among the queued streams and
// reserves memory for those that start. It skips streams that do not fit into
// the free memory.
func (e *engine) planPrefill() []chunk {
	var work []chunk
	budget := chunkTokens
	for _, s := range e.prefillOrder() {
		if budget == 0 {
			break
		}
		if !s.started && e.usedTokens+s.prompt+s.answer > engineTokens {
			continue
		}
		if !s.started {
			s.started = true
			e.usedTokens += s.prompt + s.answer
		}
		n := min(budget, s.remaining)
		budget -= n
		work = append(work, chunk{stream: s, tokens: n})
	}
	return work
}

func (e *engine) prefillOrder() []*stream {
	if !e.nonPreemptive {
		return e.queue
	}
	var started, waiting []*stream
	for _, s := range e.queue {
		if s.started {
			started = append(started, s)
		} else {
			waiting = append(waiting, s)
		}
	}
	return append(started, waiting...)
}

func (e *engine) finishStep(work []chunk, batch []*stream) {
	for _, s := range batch {
		e.emitToken(s)
	}
	for _, w := range work {
		s := w.stream
		if s.ended {
			continue
		}
		s.remaining -= w.tokens
		if s.remaining > 0 {
			continue
		}
		e.queue = removeStream(e.queue, s)
		if s.memoryReserved {
			s.ended = true
			s.onComplete()
			continue
		}
		e.decoding = append(e.decoding, s)
		e.cache.add(s.digests)
		s.onFirstToken()
		e.emitToken(s)
	}
}

func (e *engine) emitToken(s *stream) {
	if s.ended {
		return
	}
	s.emitted++
	if s.emitted < s.answer {
		return
	}
	e.cancel(s)
	s.onComplete()
}

func (e *engine) report() target.Report {
	queued := 0
	for _, s := range e.queue {
		queued += s.remaining
	}
	e.seq++
	full := stepTime(chunkTokens, len(e.decoding))
	step := e.lastStep
	if step == 0 {
		step = stepTime(0, 1)
	}
	return target.Report{
		Target: e.name, BootID: e.bootID, Seq: e.seq, MeasuredAt: e.clock.now,
		QueuedTokens: queued, RunningStreams: len(e.decoding),
		FreeBlocks:  (engineTokens - e.usedTokens) / blockTokens,
		TotalBlocks: engineTokens / blockTokens, BlockTokens: blockTokens,
		PrefillRate: chunkTokens / full.Seconds(), StepTime: step,
		State: target.State{Model: model, Version: "1", Role: target.Mixed},
	}
}

// reserve reserves memory for a part of a span and reports whether there was
// enough.
func (e *engine) reserve(h target.HandleID, tokens int) bool {
	if e.usedTokens+tokens > engineTokens {
		return false
	}
	e.reserved[h] = tokens
	e.usedTokens += tokens
	return true
}

// release frees the memory that reserve reserved.
func (e *engine) release(h target.HandleID) {
	e.usedTokens -= e.reserved[h]
	delete(e.reserved, h)
}

// kill fails all streams, clears reservations and the prefix cache, and makes
// the engine unavailable for downtime. The engine restarts with a new boot ID.
func (e *engine) kill(downtime time.Duration) {
	failed := append(slices.Clone(e.queue), e.decoding...)
	for _, s := range failed {
		s.ended = true
	}
	e.queue, e.decoding, e.usedTokens = nil, nil, 0
	clear(e.reserved)
	e.cache = newPrefixCache()
	e.dead = true
	e.bootID++
	e.seq = 0
	for _, s := range failed {
		s.onFailure()
	}
	e.clock.after(downtime, func() { e.dead = false })
}

package dispatch

import (
	"sync"
	"time"

	"carobspoke.example/core/process/crash"
	"carobspoke.example/core/verdict"
	"carobspoke.example/serving/request/answer"
)

// Crashes is the crash table of a process, safe for concurrent use.
type Crashes struct {
	mu    sync.Mutex
	table *crash.Table
	// Tell is told of each change, to pass it on to other daemons.
	Tell func([]crash.Entry)
}

// NewCrashes returns an empty table. tell may be nil.
func NewCrashes(tell func([]crash.Entry)) *Crashes {
	if tell == nil {
		tell = func([]crash.Entry) {}
	}
	return &Crashes{table: crash.New(), Tell: tell}
}

// Learn takes in what another daemon told.
func (c *Crashes) Learn(entries []crash.Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.Learn(entries, time.Now())
}

// prompt is what is held against one prompt.
type prompt struct {
	crashes *Crashes
	digest  crash.Digest
}

var _ answer.Prompt = prompt{}

// Standing implements answer.Prompt.
func (p prompt) Standing() crash.Standing {
	p.crashes.mu.Lock()
	defer p.crashes.mu.Unlock()
	return p.crashes.table.Check(p.digest, time.Now())
}

// Crashed implements answer.Prompt.
func (p prompt) Crashed(alone bool) crash.Standing {
	now := time.Now()
	p.crashes.mu.Lock()
	standing := p.crashes.table.Crashed(p.digest, alone, now)
	told := p.crashes.table.Digests(now)
	p.crashes.mu.Unlock()
	p.crashes.Tell(told)
	return standing
}

// Ended implements answer.Prompt.
func (p prompt) Ended() {
	p.crashes.mu.Lock()
	defer p.crashes.mu.Unlock()
	p.crashes.table.Ended(p.digest, time.Now())
}

// Refusal implements answer.Prompt.
func (p prompt) Refusal() *verdict.Error {
	p.crashes.mu.Lock()
	defer p.crashes.mu.Unlock()
	return p.crashes.table.Refusal(p.digest, time.Now())
}

package answer

import (
	"sync"
	"time"

	"carobspoke.example/core/process/crash"
	"carobspoke.example/core/verdict"
)

// Crashes shares a table of crash standings among the requests of a daemon. It
// is safe for concurrent use.
type Crashes struct {
	clock func() time.Time
	tell  func(crash.Entry)

	mu    sync.Mutex
	table *crash.Table
}

// NewCrashes returns an empty table. tell is given what each crash says of its
// prompt, to pass it on to other daemons; it may be nil.
func NewCrashes(clock func() time.Time, tell func(crash.Entry)) *Crashes {
	if tell == nil {
		tell = func(crash.Entry) {}
	}
	return &Crashes{clock: clock, tell: tell, table: crash.New()}
}

// Digests returns what to tell other daemons.
func (c *Crashes) Digests() []crash.Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Entries(c.clock())
}

// Learn takes in what another daemon told.
func (c *Crashes) Learn(entries []crash.Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.Merge(entries, c.clock())
}

// Prompt returns the standing of one prompt.
func (c *Crashes) Prompt(digest crash.Digest) Prompt {
	return &prompt{crashes: c, digest: digest}
}

type prompt struct {
	crashes *Crashes
	digest  crash.Digest
}

// Standing implements Prompt.
func (p *prompt) Standing() crash.Status {
	p.crashes.mu.Lock()
	defer p.crashes.mu.Unlock()
	return p.crashes.table.Check(p.digest, p.crashes.clock())
}

// Crashed implements Prompt.
func (p *prompt) Crashed(alone bool) crash.Status {
	entry := p.crashes.crashed(p.digest, alone)
	p.crashes.tell(entry)
	return entry.Status
}

func (c *Crashes) crashed(digest crash.Digest, alone bool) crash.Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock()
	c.table.Crashed(digest, alone, now)
	return c.table.Entry(digest, now)
}

// Ended implements Prompt.
func (p *prompt) Ended() {
	p.crashes.mu.Lock()
	defer p.crashes.mu.Unlock()
	p.crashes.table.Ended(p.digest, p.crashes.clock())
}

// Refusal implements Prompt.
func (p *prompt) Refusal() *verdict.Error {
	p.crashes.mu.Lock()
	defer p.crashes.mu.Unlock()
	return p.crashes.table.Refusal(p.digest, p.crashes.clock())
}

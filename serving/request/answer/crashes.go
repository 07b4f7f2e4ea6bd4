package answer

import (
	"sync"
	"time"

	"carobspoke.example/core/process/crash"
	"carobspoke.example/core/verdict"
)

// Crashes is a crash.Table that the requests of a daemon share. It is safe for
// concurrent use.
type Crashes struct {
	clock func() time.Time
	share func(crash.Entry)

	mu    sync.Mutex
	table *crash.Table
}

// NewCrashes returns an empty table. If share is not nil, it is called after each
// crash with the prompt's entry, to send it to the other daemons.
func NewCrashes(clock func() time.Time, share func(crash.Entry)) *Crashes {
	if share == nil {
		share = func(crash.Entry) {}
	}
	return &Crashes{clock: clock, share: share, table: crash.New()}
}

// Digests returns the entries to send to other daemons.
func (c *Crashes) Digests() []crash.Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Entries(c.clock())
}

// Learn merges the entries of another daemon.
func (c *Crashes) Learn(entries []crash.Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.Merge(entries, c.clock())
}

// Prompt returns the record of one prompt.
func (c *Crashes) Prompt(digest crash.Digest) Prompt {
	return &promptRecord{crashes: c, digest: digest}
}

type promptRecord struct {
	crashes *Crashes
	digest  crash.Digest
}

// Standing implements Prompt.
func (p *promptRecord) Standing() crash.Status {
	p.crashes.mu.Lock()
	defer p.crashes.mu.Unlock()
	return p.crashes.table.Check(p.digest, p.crashes.clock())
}

// Crashed implements Prompt.
func (p *promptRecord) Crashed(alone bool) crash.Status {
	entry := p.crashes.recordCrash(p.digest, alone)
	p.crashes.share(entry)
	return entry.Status
}

func (c *Crashes) recordCrash(digest crash.Digest, alone bool) crash.Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock()
	c.table.Crashed(digest, alone, now)
	return c.table.Entry(digest, now)
}

// Ended implements Prompt.
func (p *promptRecord) Ended() {
	p.crashes.mu.Lock()
	defer p.crashes.mu.Unlock()
	p.crashes.table.Ended(p.digest, p.crashes.clock())
}

// Refusal implements Prompt.
func (p *promptRecord) Refusal() *verdict.Error {
	p.crashes.mu.Lock()
	defer p.crashes.mu.Unlock()
	return p.crashes.table.Refusal(p.digest, p.crashes.clock())
}

package answer

import (
	"sync"
	"time"

	"carobspoke.example/core/process/crash"
	"carobspoke.example/core/verdict"
)

// CrashTable is a crash.Table that the requests of a daemon share. It is safe for
// concurrent use.
type CrashTable struct {
	clock func() time.Time
	share func(crash.Entry)

	mu    sync.Mutex
	table *crash.Table
}

// NewCrashTable returns an empty table. If share is not nil, it is called after
// each crash with the prompt's entry, to send it to the other daemons.
func NewCrashTable(clock func() time.Time, share func(crash.Entry)) *CrashTable {
	if share == nil {
		share = func(crash.Entry) {}
	}
	return &CrashTable{clock: clock, share: share, table: crash.New()}
}

// Entries returns the entries to send to other daemons.
func (c *CrashTable) Entries() []crash.Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Entries(c.clock())
}

// Merge merges the entries of another daemon.
func (c *CrashTable) Merge(entries []crash.Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.Merge(entries, c.clock())
}

// Record returns the crash record of one prompt.
func (c *CrashTable) Record(digest crash.Digest) CrashRecord {
	return &promptRecord{crashes: c, digest: digest}
}

type promptRecord struct {
	crashes *CrashTable
	digest  crash.Digest
}

// Status implements CrashRecord.
func (p *promptRecord) Status() crash.Status {
	p.crashes.mu.Lock()
	defer p.crashes.mu.Unlock()
	return p.crashes.table.Check(p.digest, p.crashes.clock())
}

// Crashed implements CrashRecord.
func (p *promptRecord) Crashed(alone bool) crash.Status {
	entry := p.crashes.recordCrash(p.digest, alone)
	p.crashes.share(entry)
	return entry.Status
}

func (c *CrashTable) recordCrash(digest crash.Digest, alone bool) crash.Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock()
	c.table.Crashed(digest, alone, now)
	return c.table.Entry(digest, now)
}

// Ended implements CrashRecord.
func (p *promptRecord) Ended() {
	p.crashes.mu.Lock()
	defer p.crashes.mu.Unlock()
	p.crashes.table.Ended(p.digest, p.crashes.clock())
}

// Refusal implements CrashRecord.
func (p *promptRecord) Refusal() *verdict.Error {
	p.crashes.mu.Lock()
	defer p.crashes.mu.Unlock()
	return p.crashes.table.Refusal(p.digest, p.crashes.clock())
}

package watching

import "time"

const (
	// pauseTime is the gap between two signs that the process runs from which it counts as
	// paused. The signs come every 200 ms; a host that is short of processor time delays
	// them by less.
	pauseTime = time.Second
	// ResumeTime is how long after a pause a daemon waits until its records are confirmed. A
	// peer that is heard tells of changes within some milliseconds, and a watch that has
	// ended begins again. During an outage of the source nothing confirms them.
	ResumeTime = 300 * time.Millisecond
)

// Pause tells whether the process was paused just now, so that its records may lack changes that
// all other daemons have in force. Its zero value is one of a process that has just started. It is
// not safe for concurrent use.
type Pause struct{ lastRan, resumed time.Time }

// Ran records a sign that the process runs.
func (p *Pause) Ran(now time.Time) {
	if !p.lastRan.IsZero() && now.Sub(p.lastRan) > pauseTime {
		p.resumed = now
	}
	p.lastRan = now
}

// MustWait reports whether what depends on the records must wait: the process has run again for
// less than ResumeTime, and the records have not been confirmed recently.
func (p *Pause) MustWait(recent bool, now time.Time) bool {
	p.Ran(now)
	return !recent && !p.resumed.IsZero() && now.Sub(p.resumed) < ResumeTime
}

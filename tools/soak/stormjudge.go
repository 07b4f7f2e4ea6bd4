package soak

import (
	"fmt"
	"net/http"
	"slices"
	"sort"
	"strings"
	"time"
)

const (
	// regressSlack is how long after a daemon's effect of a version was seen a request may
	// still be handled as an older one allows.
	regressSlack = 250 * time.Millisecond
	// maxReported bounds the violations of storms that are reported one by one.
	maxReported = 30
)

// answer is the answer to a request of a storm.
type answer struct {
	question
	host, id       string
	sent, answered time.Time
	// status is zero if there was no answer.
	status int
	// incarnation is that of the daemon when the request was sent. restarted is true if the
	// daemon was killed before the answer.
	incarnation int64
	restarted   bool
}

// ran reports whether the request ran.
func (a *answer) ran() bool { return a.status >= 200 && a.status < 300 }

// refusedAsUnknown reports whether the daemon claims that there is no such route or key.
func (a *answer) refusedAsUnknown() bool {
	return a.status == http.StatusNotFound || a.status == http.StatusUnauthorized || a.status == http.StatusForbidden
}

// old reports whether the answer is one that only versions before the asked one allow.
func (a *answer) old() bool {
	if a.kind == onAdded {
		return a.refusedAsUnknown()
	}
	return a.ran()
}

// excuse is a time in which a daemon's answers don't count.
type excuse struct {
	host        string
	from, until time.Time
}

// excused reports whether the time of a request overlaps an excuse.
func (a *answer) excused(list []excuse) bool {
	return slices.ContainsFunc(list, func(e excuse) bool {
		return e.host == a.host && a.sent.Before(e.until) && a.answered.After(e.from)
	})
}

// Tally counts events and keeps the longest delay.
type Tally struct {
	Count   int
	Longest time.Duration
}

func (t *Tally) add(d time.Duration) {
	t.Count++
	t.Longest = max(t.Longest, d)
}

func (t Tally) String() string {
	return fmt.Sprintf("%d (longest %s)", t.Count, t.Longest.Round(time.Millisecond))
}

// StormResult is the outcome of a run of storms.
type StormResult struct {
	// Refused are requests on added routes that were refused as unknown, Ran those on dropped
	// routes or with keys that were taken away that ran, and Unavailable those that were answered
	// 503, each sent later than changeBound after the acknowledgement.
	Refused, Ran, Unavailable Tally
	// Regressed are requests sent over regressSlack after the daemon's effect of the version
	// was seen and handled as only an older one allows.
	Regressed Tally
	// AllUnavailable counts all answers 503 by reason, Unanswered the requests without an answer.
	AllUnavailable map[string]int
	Unanswered     int
	// Origins counts the refusals later than changeBound by the origin of their evidence.
	Origins map[string]int
	// Overstated are refusals of an added route by a daemon that claims to know all changes up
	// to a moment after the acknowledgement, whenever they were sent, with the least time between
	// the two. Those within changeBound are violations too: such a daemon takes records for
	// complete that are not.
	Overstated Tally
	// Median and P99 are of the times from the acknowledgement to the sending of the first
	// request that was served on an added route, over Pairs of daemons and versions. Unserved
	// pairs were not served in stormAskTime.
	Median, P99     time.Duration
	Pairs, Unserved int
	// Excuses is how often a daemon was killed, or stopped for longer than its share asks, so
	// that its answers until settleTime afterwards don't count.
	Excuses int
	// Delayed are heartbeats that waited before they were sent after their age was read.
	Delayed Tally
	Shares  []Share
	// Load and MaxLoad are the mean and the highest load average.
	Load, MaxLoad float64
}

// String returns the outcome in a few lines.
func (r *StormResult) String() string {
	text := fmt.Sprintf("later than %s: refused as unknown %s, by evidence %v, refused on a confirmation after the acknowledgement at any time %s, ran although dropped %s, unavailable %s; regressed %s; "+
		"in force after a median of %s, 99%% %s, %d of %d not in %s; unavailable at any time %v, unanswered %d; heartbeats delayed %s; %d times a daemon did not count; load average %.1f, at most %.1f",
		changeBound, r.Refused, r.Origins, r.Overstated, r.Ran, r.Unavailable, r.Regressed, r.Median.Round(time.Millisecond), r.P99.Round(time.Millisecond), r.Unserved, r.Pairs+r.Unserved, stormAskTime,
		r.AllUnavailable, r.Unanswered, r.Delayed, r.Excuses, r.Load, r.MaxLoad)
	core, running, stop := 0.0, 0.0, time.Duration(0)
	for _, s := range r.Shares {
		core, running, stop = core+s.Core/float64(len(r.Shares)), running+s.Running/float64(len(r.Shares)), max(stop, s.LongestStop)
	}
	text += fmt.Sprintf("\n  shares: on average %.3f of a core, running for %.3f of the time, longest stop %s", core, running, stop.Round(time.Millisecond))
	const listed = 12
	for _, s := range r.Shares[:min(len(r.Shares), listed)] {
		text += fmt.Sprintf("\n  %s: %.3f of a core, running for %.3f of the time, %d stops, longest %s", s.Host, s.Core, s.Running, s.Stops, s.LongestStop.Round(time.Millisecond))
	}
	return text
}

func (r *StormResult) addShares(t *throttle) {
	for _, s := range t.shares {
		r.Shares = append(r.Shares, *s)
	}
	slices.SortFunc(r.Shares, func(a, b Share) int { return strings.Compare(a.Host, b.Host) })
	r.Load, r.MaxLoad = t.loadSum/float64(max(t.loadSamples, 1)), t.loadMax
}

// countAnswers returns the numbers of requests.
func countAnswers(answers []answer) Counts {
	c := Counts{Sent: len(answers)}
	for i := range answers {
		switch a := &answers[i]; {
		case a.ran():
			c.Served++
		case a.status > 0:
			c.Refused++
		default:
			c.Failed++
		}
	}
	return c
}

// judge checks the answers against the moments at which the versions were acknowledged. It
// returns the outcome and the violations.
func judge(answers []answer, acknowledged map[int]time.Time, excuses []excuse, logs *daemonLogs) (*StormResult, []string) {
	answers = slices.Clone(answers)
	slices.SortFunc(answers, func(a, b answer) int { return a.sent.Compare(b.sent) })
	r := &StormResult{Excuses: len(excuses), AllUnavailable: make(map[string]int), Origins: make(map[string]int), Delayed: logs.delayed}
	effects := effectsOf(answers)
	var violations []string
	violate := func(a *answer, format string, args ...any) {
		violations = append(violations, fmt.Sprintf("%s answered %d to %s on %s of version %d, ", a.host, a.status, a.id, a.kind, a.version)+fmt.Sprintf(format, args...)+logs.refusals[a.id].String())
	}
	for i := range answers {
		a := &answers[i]
		r.count(a, logs)
		if a.excused(excuses) {
			continue
		}
		late := a.sent.Sub(acknowledged[a.version])
		if by, ok := logs.overstated(a, late); ok {
			r.Overstated.add(by)
			if late <= changeBound {
				violate(a, "acknowledged %s before the confirmation on which it rests", by.Round(time.Millisecond))
			}
		}
		if late > changeBound {
			if a.status == http.StatusServiceUnavailable {
				r.Unavailable.add(late)
			}
			if a.old() {
				r.addLate(a, late, logs)
				violate(a, "sent %s after its acknowledgement", late.Round(time.Millisecond))
			}
		}
		if since, ok := effects.regressed(a); ok {
			r.Regressed.add(since)
			violate(a, "sent %s after its effect was seen", since.Round(time.Millisecond))
		}
	}
	r.addTimes(answers, acknowledged, excuses)
	if more := len(violations) - maxReported; more > 0 {
		violations = append(violations[:maxReported], fmt.Sprintf("and %d more", more))
	}
	return r, violations
}

// count counts an answer that isn't checked.
func (r *StormResult) count(a *answer, logs *daemonLogs) {
	switch a.status {
	case http.StatusServiceUnavailable:
		r.AllUnavailable[logs.refusals[a.id].Reason]++
	case 0:
		r.Unanswered++
	}
}

// addLate counts an answer that only an older version allows, sent later than changeBound.
func (r *StormResult) addLate(a *answer, late time.Duration, logs *daemonLogs) {
	if a.kind != onAdded {
		r.Ran.add(late)
		return
	}
	r.Refused.add(late)
	origin, _, _ := strings.Cut(logs.refusals[a.id].Configuration.Evidence, " ")
	if origin == "" {
		origin = "unknown"
	}
	r.Origins[origin]++
}

// addTimes adds the times until versions were in force, of daemons without an excuse.
func (r *StormResult) addTimes(answers []answer, acknowledged map[int]time.Time, excuses []excuse) {
	type pair struct {
		host    string
		version int
	}
	first, excluded := make(map[pair]time.Duration), make(map[pair]bool)
	for i := range answers {
		a := &answers[i]
		if a.kind != onAdded {
			continue
		}
		p := pair{a.host, a.version}
		excluded[p] = excluded[p] || a.excused(excuses)
		if _, known := first[p]; !known && a.ran() {
			first[p] = a.sent.Sub(acknowledged[a.version])
		}
	}
	var times []time.Duration
	for p, excused := range excluded {
		after, ok := first[p]
		switch {
		case excused:
		case ok:
			times = append(times, after)
		default:
			r.Unserved++
		}
	}
	slices.Sort(times)
	r.Pairs, r.Median, r.P99 = len(times), quantile(times, 0.5), quantile(times, 0.99)
}

// quantile returns the smallest of the sorted times that at least a part q of them does not
// exceed, or zero if there are none.
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	i := int(q*float64(len(sorted))+1-1e-9) - 1
	return sorted[min(max(i, 0), len(sorted)-1)]
}

// life is one incarnation of a daemon.
type life struct {
	host        string
	incarnation int64
}

// effect says that a version was seen in force at a moment.
type effect struct {
	at      time.Time
	version int
}

// effects are the effects seen of each incarnation, with rising moments and versions.
type effects map[life][]effect

// effectsOf returns the effects that answers on added routes show.
func effectsOf(answers []answer) effects {
	e := make(effects)
	var shown []answer
	for i := range answers {
		if a := &answers[i]; a.kind == onAdded && a.ran() && !a.restarted {
			shown = append(shown, *a)
		}
	}
	slices.SortFunc(shown, func(a, b answer) int { return a.answered.Compare(b.answered) })
	for i := range shown {
		l := life{shown[i].host, shown[i].incarnation}
		if list := e[l]; len(list) == 0 || list[len(list)-1].version < shown[i].version {
			e[l] = append(list, effect{shown[i].answered, shown[i].version})
		}
	}
	return e
}

// regressed reports whether an answer shows an older version than was seen in force over
// regressSlack before the request, and how long before.
func (e effects) regressed(a *answer) (time.Duration, bool) {
	if !a.old() || a.restarted {
		return 0, false
	}
	list := e[life{a.host, a.incarnation}]
	i := sort.Search(len(list), func(i int) bool { return list[i].version >= a.version })
	if i == len(list) {
		return 0, false
	}
	since := a.sent.Sub(list[i].at)
	return since, since > regressSlack
}

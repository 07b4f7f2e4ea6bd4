package engine

import (
	"slices"
	"strings"
	"time"

	"carobspoke.example/core/target"
)

// reportLog contains the reports that are too recent to be visible, and the
// newest visible one.
type reportLog struct {
	seq     uint64
	reports []target.Report
}

// add numbers a report and appends it, and drops reports that a newer visible one
// replaces.
func (l *reportLog) add(r target.Report, lag time.Duration) {
	l.seq++
	r.Seq = l.seq
	l.reports = append(l.reports, r)
	for len(l.reports) > 1 && r.MeasuredAt.Sub(l.reports[1].MeasuredAt) >= lag {
		l.reports = l.reports[1:]
	}
}

// visible returns the newest report that is at least lag old. If there is none, it
// returns the oldest report. It returns false if the log is empty.
func (l *reportLog) visible(now time.Time, lag time.Duration) (target.Report, bool) {
	if len(l.reports) == 0 {
		return target.Report{}, false
	}
	found := l.reports[0]
	for _, r := range l.reports {
		if now.Sub(r.MeasuredAt) >= lag {
			found = r
		}
	}
	return found, true
}

func (e *Server) recordReports() {
	ticker := time.NewTicker(e.config.ReportInterval)
	defer ticker.Stop()
	for {
		e.WaitWhilePaused()
		e.recordReport(time.Now())
		select {
		case <-e.stop:
			return
		case <-ticker.C:
		}
	}
}

func (e *Server) recordReport(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reports.add(e.measureLocked(now), e.config.ReportLag)
}

// MeasureLoad returns the engine's current load, without the lag of its reports.
func (e *Server) MeasureLoad() target.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.measureLocked(time.Now())
}

func (e *Server) measureLocked(now time.Time) target.Report {
	r := target.Report{
		Target:      e.config.Target,
		BootID:      e.bootID,
		MeasuredAt:  now,
		FreeBlocks:  e.memory.available(),
		TotalBlocks: e.config.Blocks,
		BlockTokens: e.config.BlockTokens,
		PrefillRate: e.config.PrefillRate * e.config.Speedup,
		StepTime:    e.config.toRealTime(max(e.stepTime, e.config.StepBase)),
		Fence:       e.serving.maxFence,
		State:       e.serving.state,
	}
	for _, s := range e.running {
		switch s.phase {
		case waiting:
			r.QueuedTokens += s.localTokens
		case prefilling:
			r.QueuedTokens += s.toPrefill - s.prefilled
		case decoding:
			r.RunningStreams++
		}
	}
	return r
}

// report returns the visible report, or the current load if there is no report.
func (e *Server) report(now time.Time) target.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	r, ok := e.reports.visible(now, e.config.ReportLag)
	if !ok {
		return e.measureLocked(now)
	}
	return r
}

func (e *Server) holdings() target.Holdings {
	e.mu.Lock()
	defer e.mu.Unlock()
	h := target.Holdings{Handles: []target.Handle{}, Streams: []target.StreamInfo{}}
	for _, held := range e.handles {
		h.Handles = append(h.Handles, held.info)
	}
	for id, s := range e.streams {
		h.Streams = append(h.Streams, target.StreamInfo{ID: id, Blocks: s.ownBlocks, Done: s.ended()})
	}
	slices.SortFunc(h.Handles, func(a, b target.Handle) int { return strings.Compare(string(a.ID), string(b.ID)) })
	slices.SortFunc(h.Streams, func(a, b target.StreamInfo) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return h
}

package engine

import (
	"slices"
	"strings"
	"time"

	"carobspoke.example/core/target"
)

// reportLog keeps the reports that are too young to be seen and the newest
// that is not.
type reportLog struct {
	seq  uint64
	kept []target.Report
}

func (l *reportLog) add(r target.Report, lag time.Duration) {
	l.seq++
	r.Seq = l.seq
	l.kept = append(l.kept, r)
	for len(l.kept) > 1 && r.MeasuredAt.Sub(l.kept[1].MeasuredAt) >= lag {
		l.kept = l.kept[1:]
	}
}

// visible returns the newest report that is at least lag old, or the oldest.
func (l *reportLog) visible(now time.Time, lag time.Duration) (target.Report, bool) {
	if len(l.kept) == 0 {
		return target.Report{}, false
	}
	found := l.kept[0]
	for _, r := range l.kept {
		if now.Sub(r.MeasuredAt) >= lag {
			found = r
		}
	}
	return found, true
}

func (e *Server) takeReports() {
	ticker := time.NewTicker(e.config.ReportEvery)
	defer ticker.Stop()
	for {
		e.WaitWhilePaused()
		e.takeReport(time.Now())
		select {
		case <-e.stop:
			return
		case <-ticker.C:
		}
	}
}

func (e *Server) takeReport(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reports.add(e.measureLocked(now), e.config.ReportLag)
}

// Measure returns the engine's load now, without the lag of its reports.
func (e *Server) Measure() target.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.measureLocked(time.Now())
}

func (e *Server) measureLocked(now time.Time) target.Report {
	r := target.Report{
		Target:      e.config.Target,
		BootID:      e.boot,
		MeasuredAt:  now,
		FreeBlocks:  e.memory.available(),
		TotalBlocks: e.config.Blocks,
		BlockTokens: e.config.BlockTokens,
		PrefillRate: e.config.PrefillRate * e.config.Speedup,
		StepTime:    e.config.scaled(max(e.stepTime, e.config.StepBase)),
		Fence:       e.serves.fence,
		State:       e.serves.state,
	}
	for _, s := range e.running {
		switch s.phase {
		case waiting:
			r.QueuedTokens += s.prompt
		case prefilling:
			r.QueuedTokens += s.toPrefill - s.prefilled
		case decoding:
			r.RunningStreams++
		}
	}
	return r
}

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
		h.Streams = append(h.Streams, target.StreamInfo{ID: id, Blocks: s.own, Done: s.over()})
	}
	slices.SortFunc(h.Handles, func(a, b target.Handle) int { return strings.Compare(string(a.ID), string(b.ID)) })
	slices.SortFunc(h.Streams, func(a, b target.StreamInfo) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return h
}

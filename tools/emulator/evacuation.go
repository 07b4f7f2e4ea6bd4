package emulator

import (
	"net/http"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/platform"
)

// EvacuateBound is how long after the store has acknowledged the key of an evacuation a
// daemon in touch may still send something new to a target in the data centre.
const EvacuateBound = 5 * time.Second

// Evacuate writes the key that asks for the evacuation of a data centre, as operators do.
// Any value counts, an empty one too.
func (s *Store) Evacuate(dc names.DataCentre, value string) {
	s.put(platform.PrefixEvacuations+string(dc), []byte(value))
}

// TakeBack removes the key of an evacuation.
func (s *Store) TakeBack(dc names.DataCentre) { s.put(platform.PrefixEvacuations+string(dc), nil) }

// EvacuatedSince returns since when the store has held the key of an evacuation without a
// break, or zero if it holds none. A restoration from a copy without the key is a break.
func (s *Store) EvacuatedSince(dc names.DataCentre) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.evacuatedSince[platform.PrefixEvacuations+string(dc)]
}

// trackEvacuations follows a change of the records. The caller holds mu.
func (s *Store) trackEvacuations() {
	for key := range s.evacuatedSince {
		if _, ok := s.records[key]; !ok {
			delete(s.evacuatedSince, key)
		}
	}
	for key := range s.records {
		if _, ok := (platform.Decoder{}).EvacuationOf(key); ok && s.evacuatedSince[key].IsZero() {
			s.evacuatedSince[key] = time.Now()
		}
	}
}

// checkEvacuated records a violation if something new has reached the target though its
// data centre has been evacuated for EvacuateBound, from a daemon in touch over an
// undisturbed link. what is the kind of the request.
func (t *Target) checkEvacuated(r *http.Request, what string) {
	if t.EvacuatedSince == nil {
		return
	}
	since := t.EvacuatedSince(t.DataCentre)
	passed := time.Since(since)
	if since.IsZero() || passed <= EvacuateBound || !t.linkStable() {
		return
	}
	from := t.sender(r)
	if !from.InTouch {
		return
	}
	t.checker.mu.Lock()
	defer t.checker.mu.Unlock()
	t.checker.recordOnce(link{from.Incarnation, t.ID}, "%s %s reached target %s from %s, %s after the evacuation of %s was acknowledged",
		what, r.Header.Get(platform.HeaderAttempt), t.ID, from.Incarnation, passed, t.DataCentre)
}

// linkStable reports whether requests reach the target as soon as they are sent.
func (t *Target) linkStable() bool { return t.LinkStable == nil || t.LinkStable() }

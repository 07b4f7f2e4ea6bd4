package published

import (
	"time"

	"carobspoke.example/core/names"
	"go.uber.org/zap"
)

// origin is where a batch comes from, for the log, and the era of the source in it.
type origin struct {
	from string
	era  uint64
}

// applyEvacuation applies a change of the key with which operators request the evacuation of a
// data centre. A peer marks by revision zero, that of no change, a key that the restored source
// lacks and that is still in force. Such a record is not kept, so that peers do not prolong it
// by handing it on. The caller must hold f.mu.
func (f *Follower) applyEvacuation(dc names.DataCentre, r *Record, o origin, now time.Time) {
	changed := false
	switch {
	case r.Deleted:
		delete(f.records, r.Key)
		changed = f.evacuations.Remove(dc, r.Revision, now)
	case r.Revision == 0:
		changed = f.evacuations.Hold(dc, now)
	default:
		f.records[r.Key] = *r
		changed = f.evacuations.Put(dc, r.Revision, now)
	}
	if changed {
		f.logEvacuation(dc, !r.Deleted, r.Revision, o)
	}
}

// applyAbsence applies a complete list that lacks the key of a data centre. The record of one
// that stays in force is kept for peers until expireEvacuations. The caller must hold f.mu.
func (f *Follower) applyAbsence(dc names.DataCentre, r *Record, o origin, now time.Time) {
	known := f.records[r.Key]
	if known.Revision > r.Revision {
		return
	}
	if f.evacuations.Absent(dc, r.Revision, now) {
		delete(f.records, r.Key)
		f.logEvacuation(dc, false, r.Revision, o)
	}
}

// expireEvacuations ends the evacuations that the restored source has lacked for long enough.
// The caller must hold f.mu.
func (f *Follower) expireEvacuations(now time.Time) {
	ended := f.evacuations.Expire(now)
	if len(ended) == 0 {
		return
	}
	for _, dc := range ended {
		for key := range f.records {
			if of, ok := f.decoder.EvacuationOf(key); ok && of == dc {
				delete(f.records, key)
			}
		}
		f.logEvacuation(dc, false, f.Revision(), origin{from: "restoration", era: f.Position().Era})
	}
	f.publishView()
}

// logEvacuation logs that a data centre is evacuated, or taken back.
func (f *Follower) logEvacuation(dc names.DataCentre, evacuated bool, revision uint64, o origin) {
	fields := []zap.Field{
		zap.String("data_centre", string(dc)), zap.Uint64("revision", revision), zap.Uint64("era", o.era), zap.String("from", o.from),
	}
	if evacuated {
		f.log.Info("data centre evacuated", fields...)
		return
	}
	f.log.Info("data centre taken back", fields...)
}

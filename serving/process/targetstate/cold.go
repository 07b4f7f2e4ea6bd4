package targetstate

import (
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/homes"
	"carobspoke.example/core/process/replicas"
	"carobspoke.example/serving/process/dispatchsync"
)

// isCold reports whether a listed target has not warmed up yet. The caller must hold b.mu.
func (b *Board) isCold(*replicas.Target, time.Time) bool { return false }

// recordCold records what a target has stated about its warm-up in the answer to a request
// that was sent at sentAt.
func (b *Board) recordCold(replicas.Incarnation, time.Duration, time.Time, source) {}

// coldClaims returns the cold targets of a group that this daemon knows.
func (b *Board) coldClaims(homes.Group) []dispatchsync.ColdTarget { return nil }

// recordColdClaims records what a daemon that asks this one knows of cold targets.
func (b *Board) recordColdClaims([]dispatchsync.ColdTarget, names.Host) {}

// chargeColdOrder charges an order that keeps running work alive to the rate of its target.
func (b *Board) chargeColdOrder(replicas.Incarnation, time.Time) {}

// sweepCold drops the warm-up state that has ended. The caller must hold b.mu.
func (b *Board) sweepCold(time.Time) {}

package targetstate

import (
	"time"

	"carobspoke.example/core/process/ratelimits"
	"carobspoke.example/core/process/replicas"
	"carobspoke.example/serving/request/relay"
	"go.uber.org/zap"
)

// RecordNoLimit implements relay.Board.
func (b *Board) RecordNoLimit(p *relay.Placement, request string) {
	b.recordRate(p.Incarnation, ratelimits.Statement{SentAt: p.SentAt, ReadAt: time.Now()}, source{request: request})
}

// recordRate records the rate that a target takes, and logs a change.
func (b *Board) recordRate(i replicas.Incarnation, s ratelimits.Statement, from source) {
	now := time.Now()
	b.mu.Lock()
	change := b.limits.Record(i, s, now)
	b.mu.Unlock()
	if !change.Changed {
		return
	}
	if change.Bounded {
		b.config.Count(countLimitBounded)
	}
	b.config.Log.Info("limit of a target changed", append(from.fields(i), zap.Float64("before", change.Before),
		zap.Float64("limit", change.After), zap.Duration("age", now.Sub(s.ReadAt)))...)
}

// LimitedCount returns the number of targets that have named a limit.
func (b *Board) LimitedCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.limits.Len()
}

package paths

import (
	"context"
	"math/rand/v2"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/reach"
)

// checkTargets is the number of targets to which a check connects.
const checkTargets = 2

// Watch notices the begin and the end of a cut until ctx ends. quiet returns how long
// nothing has come from any target while answers are pending on direct connections, zero if
// none is. random returns up to a number of random listed targets with their addresses, and
// address that of a listed target.
func (d *Dialer) Watch(ctx context.Context, quiet func() time.Duration, random func(int) map[names.Target]string, address func(names.Target) (string, bool)) {
	const interval = 100 * time.Millisecond
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	source := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	for probed := time.Now(); ; {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		d.mu.Lock()
		due := d.table.CheckDue(quiet(), time.Now())
		var probes []names.Target
		if time.Since(probed) >= reach.ProbeInterval {
			probes, probed = d.table.Probes(source), time.Now()
		}
		d.mu.Unlock()
		if due {
			for id, at := range random(checkTargets) {
				go d.check(ctx, id, at)
			}
		}
		for _, id := range probes {
			if at, ok := address(id); ok {
				go d.probe(ctx, id, at)
			}
		}
	}
}

// check connects to a target as a request would, which shows by which way it is reached.
func (d *Dialer) check(ctx context.Context, id names.Target, address string) {
	if conn, err := d.Dial(ctx, id, address); err == nil {
		_ = conn.Close() // nothing was sent
	}
}

// probe connects to a target directly, which ends its detour.
func (d *Dialer) probe(ctx context.Context, id names.Target, address string) {
	conn, err := d.config.Direct(ctx, id, address)
	if err != nil {
		return // the detour goes on
	}
	_ = conn.Close() // nothing was sent
	d.Connected(id)
}

package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// All engines end at once Config.Outages times: firstOutage after the faults begin, when a part
// that crashes targets is refused, and then each outageInterval, up to outageSpread later.
const (
	firstOutage    = 12 * time.Second
	outageInterval = 16 * time.Second
	outageSpread   = time.Second
	// outageEventInterval makes streams last long enough for most engines to run some when
	// they end.
	outageEventInterval = 60 * time.Millisecond
	// outageTime is how long no engine runs. None is started meanwhile by another fault.
	outageTime = 4 * time.Second
)

// faultTimeOf returns the least FaultTime of a run with outages: sound streams are judged after
// the last one, too.
func faultTimeOf(outages int) time.Duration {
	if outages == 0 {
		return 0
	}
	return firstOutage + time.Duration(outages)*outageInterval
}

// outages are the times at which all engines ended.
type outages struct {
	mu    sync.Mutex
	times []time.Time
}

func (o *outages) add(at time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.times = append(o.times, at)
}

// excuses reports whether streams that are sent at a time may fail: an outage has begun, and
// its engines are not back, or have been back for less than calmAfter.
func (o *outages) excuses(at time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, began := range o.times {
		if !at.Before(began) && at.Before(began.Add(outageTime+calmAfter)) {
			return true
		}
	}
	return false
}

// await waits until no outage lasts.
func (o *outages) await() {
	o.mu.Lock()
	var end time.Time
	if len(o.times) > 0 {
		end = o.times[len(o.times)-1].Add(outageTime)
	}
	o.mu.Unlock()
	time.Sleep(time.Until(end))
}

// hasPassed reports whether an outage has begun by a time. Once it excuses no streams any more,
// these are to begin calmAfter after the last crash even if the part has crashed few targets yet.
func (o *outages) hasPassed(at time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.times) > 0 && !at.Before(o.times[0])
}

// runOutages ends all engines at once, Config.Outages times or until ctx ends.
func (b *testbed) runOutages(ctx context.Context) {
	random := rand.New(rand.NewPCG(b.config.Seed, 4))
	wait := firstOutage
	for range b.config.Outages {
		select {
		case <-time.After(wait + time.Duration(random.Int64N(int64(outageSpread)))):
		case <-ctx.Done():
			return
		}
		wait = outageInterval - outageSpread
		b.outages.add(time.Now())
		b.recordFault("all engines end")
		b.endEngines()
	}
}

// endEngines ends all engines that are listed, which are back as new targets.
func (b *testbed) endEngines() {
	b.mu.Lock()
	var engines []*target
	for _, t := range b.targets {
		if t.Service == engineService {
			engines = append(engines, t)
		}
	}
	b.mu.Unlock()
	for _, t := range engines {
		t.Crash()
		t.proxy.Close()
	}
	for _, t := range engines {
		b.active.Go(func() { b.returnAfter(t, 0) })
	}
}

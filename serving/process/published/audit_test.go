package published

import (
	"testing"
	"time"

	"carobspoke.example/core/process/replicas"
)

// TestSuspensionThatWaitsIsNoLonger has a peer ask for the records while changes are applied.
// Guards against the time left of a suspended target that is counted from before the wait: the
// peer then does not use the target for longer, and hands that on.
func TestSuspensionThatWaitsIsNoLonger(t *testing.T) {
	const suspended, applying = 5 * time.Second, 300 * time.Millisecond
	f := newFollower(newSource(), &fakePeers{}, false)
	f.applyBatch(Batch{Position: at(1), Complete: true, Records: []Record{
		{Key: "config", Value: []byte("v"), Revision: 1}, {Key: "target/a", Value: []byte("ready"), Revision: 1},
	}}, FromSource)
	until := time.Now().Add(suspended)
	f.mu.Lock()
	f.directory.Suspend("a", time.Until(until), time.Now())
	batch := make(chan Batch)
	go func() { batch <- f.Records(replicas.Position{}) }()
	time.Sleep(applying)
	f.mu.Unlock()
	b := <-batch
	if late := time.Now().Add(b.Suspended["target/a"]).Sub(until); late > applying/10 {
		t.Errorf("a suspended target is not used by peers until %s after the end of its suspension", late)
	}
}

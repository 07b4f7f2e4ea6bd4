package published

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/replicas"
	"carobspoke.example/core/process/watching"
	"carobspoke.example/core/version/routing"
	"github.com/pkg/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// fakeSource is a Source whose answers a test sets.
type fakeSource struct {
	mu       sync.Mutex
	records  map[string]Record
	changes  []Record
	revision uint64
	era      uint64
	down     bool
	// unfinished is true if watches that have changes do not end in time.
	unfinished bool
	compacted  uint64
	lists      int
	watches    int
}

// at returns a position of the first era.
func at(revision uint64) replicas.Position { return replicas.Position{Revision: revision} }

func (s *fakeSource) position() replicas.Position {
	return replicas.Position{Era: s.era, Revision: s.revision}
}

func newSource() *fakeSource { return &fakeSource{records: make(map[string]Record), revision: 1} }

func (s *fakeSource) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	r := Record{Key: key, Value: []byte(value), Revision: s.revision, Deleted: value == ""}
	s.changes = append(s.changes, r)
	if r.Deleted {
		delete(s.records, key)
		return
	}
	s.records[key] = r
}

func (s *fakeSource) set(change func(*fakeSource)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

func (s *fakeSource) List(context.Context) (Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return Batch{Position: replicas.Position{Era: s.era}}, errors.New("down")
	}
	s.lists++
	b := Batch{Position: s.position(), Complete: true}
	for _, r := range s.records {
		b.Records = append(b.Records, r)
	}
	return b, nil
}

func (s *fakeSource) Watch(ctx context.Context, after uint64, wait time.Duration) (Batch, error) {
	until := time.Now().Add(wait)
	s.set(func(s *fakeSource) { s.watches++ })
	for {
		s.mu.Lock()
		if s.down {
			s.mu.Unlock()
			return Batch{Position: replicas.Position{Era: s.era}}, errors.New("down")
		}
		if after < s.compacted {
			s.mu.Unlock()
			return Batch{}, ErrCompacted
		}
		b := Batch{Position: s.position()}
		for _, r := range s.changes {
			if r.Revision > after {
				b.Records = append(b.Records, r)
			}
		}
		s.mu.Unlock()
		if len(b.Records) > 0 && s.isUnfinished() {
			return Batch{}, ErrUnfinished
		}
		if len(b.Records) > 0 || time.Now().After(until) || ctx.Err() != nil {
			return b, nil
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (s *fakeSource) isUnfinished() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unfinished
}

// fakeDecoder decodes "config" records, whose version is the length of the value,
// and "target/" records.
type fakeDecoder struct{}

func (fakeDecoder) TargetOf(key string) (names.Target, bool) {
	id, ok := strings.CutPrefix(key, "target/")
	return names.Target(id), ok
}

func (fakeDecoder) EvacuationOf(key string) (names.DataCentre, bool) {
	dataCentre, ok := strings.CutPrefix(key, "evacuate/")
	return names.DataCentre(dataCentre), ok
}

func (d fakeDecoder) Decode(r *Record) (*routing.Config, *replicas.Target, error) {
	if string(r.Value) == "garbage" {
		return nil, nil, errors.New("cannot be read")
	}
	if id, ok := d.TargetOf(r.Key); ok {
		return nil, &replicas.Target{ID: id, Service: "s", Revision: r.Revision, Draining: string(r.Value) == "draining"}, nil
	}
	return &routing.Config{Version: names.Version(len(r.Value))}, nil, nil
}

// fakePeers returns a batch, or the records of a follower.
type fakePeers struct {
	mu       sync.Mutex
	batch    Batch
	follower *Follower
	asked    []names.Host
	// after holds the positions that were asked for.
	after []replicas.Position
}

func (p *fakePeers) Read(_ context.Context, from names.Host, after replicas.Position) (Batch, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.asked, p.after = append(p.asked, from), append(p.after, after)
	if p.follower != nil {
		return p.follower.Records(after), nil
	}
	if p.batch.Position.IsZero() {
		return Batch{}, errors.New("no peer")
	}
	return p.batch, nil
}

// newFollower returns a follower of an old daemon, which is a watcher or has ten peers
// that are none.
func newFollower(s Source, p Peers, watches bool) *Follower {
	return New(Config{
		Source: s, Decoder: fakeDecoder{}, Peers: p, Log: zap.NewNop(),
		OnPosition: func(replicas.Position) {}, OnNews: func() {},
		Situation: func() watching.Situation {
			return watching.Situation{Watcher: watches, Peers: 10, Age: time.Hour}
		},
		Random: rand.New(rand.NewPCG(1, 1)),
	})
}

func follow(t *testing.T, s Source, p Peers) *Follower {
	t.Helper()
	return followAs(t, s, p, true)
}

func followAs(t *testing.T, s Source, p Peers, watches bool) *Follower {
	t.Helper()
	f := newFollower(s, p, watches)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return f
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for until := time.Now().Add(5 * time.Second); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("not within 5 s: %s", what)
		}
	}
}

func version(f *Follower) names.Version {
	if v := f.View(); v != nil {
		return v.Table.Version
	}
	return 0
}

func targets(f *Follower) int {
	if v := f.View(); v != nil {
		return len(v.Targets["s"])
	}
	return 0
}

func TestChangesTakeEffectImmediately(t *testing.T) {
	s := newSource()
	s.put("config", "v")
	s.put("target/a", "ready")
	f := follow(t, s, &fakePeers{})
	eventually(t, "version 1", func() bool { return version(f) == 1 && targets(f) == 1 })
	began := time.Now()
	s.put("config", "vvv")
	s.put("target/a", "draining")
	eventually(t, "version 3", func() bool { return version(f) == 3 && targets(f) == 0 })
	if took := time.Since(began); took > time.Second {
		t.Fatalf("took %s", took)
	}
	if !f.UpToDate() {
		t.Fatal("not up to date right after a change")
	}
}

func TestVersionNeverDecreases(t *testing.T) {
	s := newSource()
	s.put("config", "vvv")
	f := follow(t, s, &fakePeers{})
	eventually(t, "version 3", func() bool { return version(f) == 3 })
	s.put("config", "v")
	s.put("target/a", "ready")
	eventually(t, "the later record", func() bool { return targets(f) == 1 })
	if version(f) != 3 {
		t.Fatalf("version %d", version(f))
	}
	f.applyBatch(Batch{Position: at(1), Complete: true}, "stale source")
	if version(f) != 3 || targets(f) != 1 {
		t.Fatal("a list of an older revision was applied")
	}
}

func TestListIsReadAgainAfterCompaction(t *testing.T) {
	s := newSource()
	s.put("config", "v")
	s.put("target/a", "ready")
	f := follow(t, s, &fakePeers{})
	eventually(t, "one target", func() bool { return targets(f) == 1 })
	s.set(func(s *fakeSource) {
		s.revision += 5
		s.compacted = s.revision
		delete(s.records, "target/a")
		s.records["target/b"] = Record{Key: "target/b", Value: []byte("ready"), Revision: s.revision}
	})
	s.put("target/c", "ready")
	eventually(t, "b and c", func() bool { return targets(f) == 2 })
}

// TestRecordsRemainInForceDuringOutage guards against dropping live targets whose
// entries expire while the source is unavailable.
func TestRecordsRemainInForceDuringOutage(t *testing.T) {
	s := newSource()
	s.put("config", "v")
	s.put("target/a", "ready")
	s.put("target/b", "ready")
	f := follow(t, s, &fakePeers{})
	eventually(t, "two targets", func() bool { return targets(f) == 2 })
	s.set(func(s *fakeSource) { s.down = true })
	eventually(t, "the records to be out of date", func() bool { return !f.UpToDate() })
	if version(f) != 1 || targets(f) != 2 {
		t.Fatal("records were dropped during an outage")
	}
	s.put("target/a", "")
	s.put("target/b", "")
	s.set(func(s *fakeSource) { s.down = false })
	eventually(t, "the records to be up to date", func() bool { return f.UpToDate() })
	if targets(f) != 2 {
		t.Fatalf("%d targets right after the outage", targets(f))
	}
	s.put("target/a", "ready")
	eventually(t, "b to be dropped", func() bool { return targets(f) == 1 })
}

// TestChangesAreReadFromPeersWhenSourceIsUnavailable makes the source unavailable
// to one daemon.
func TestChangesAreReadFromPeersWhenSourceIsUnavailable(t *testing.T) {
	s := newSource()
	s.put("config", "v")
	p := &fakePeers{}
	f := follow(t, s, p)
	eventually(t, "version 1", func() bool { return version(f) == 1 })
	s.set(func(s *fakeSource) { s.down = true })
	p.mu.Lock()
	p.batch = Batch{Position: at(9), Complete: true, Records: []Record{{Key: "config", Value: []byte("vvvv"), Revision: 9}}}
	p.mu.Unlock()
	f.ObservePeerPosition(at(9), "peer")
	began := time.Now()
	eventually(t, "version 4", func() bool { return version(f) == 4 })
	if took := time.Since(began); took > time.Second {
		t.Fatalf("took %s", took)
	}
}

func TestDaemonStartedDuringOutageReadsFromPeers(t *testing.T) {
	s := newSource()
	s.down = true
	p := &fakePeers{batch: Batch{Position: at(4), Complete: true, Records: []Record{{Key: "config", Value: []byte("vv"), Revision: 4}}}}
	f := follow(t, s, p)
	eventually(t, "version 2", func() bool { return version(f) == 2 })
}

func TestInvalidRecordsDoNotAffectOthers(t *testing.T) {
	s := newSource()
	s.put("config", "v")
	s.put("target/a", "garbage")
	s.put("target/b", "ready")
	f := follow(t, s, &fakePeers{})
	eventually(t, "one target", func() bool { return targets(f) == 1 })
	s.put("config", "garbage")
	s.put("target/c", "ready")
	eventually(t, "two targets", func() bool { return targets(f) == 2 })
	if version(f) != 1 {
		t.Fatalf("version %d", version(f))
	}
}

// Another writer puts an entry that cannot be read over a sound one, again and again. The
// target stays in use, the entry is logged once, and is no longer counted once a sound one
// follows.
func TestUnusableRecordIsLoggedOnceAndCounted(t *testing.T) {
	zapCore, logs := observer.New(zap.WarnLevel)
	f := New(Config{Decoder: fakeDecoder{}, Log: zap.New(zapCore), OnPosition: func(replicas.Position) {}, OnNews: func() {}})
	revision := uint64(0)
	put := func(value string, wantUnusable, wantTargets int) {
		t.Helper()
		revision++
		f.applyBatch(Batch{Position: at(revision), Records: []Record{{Key: "target/a", Value: []byte(value), Revision: revision}}}, "test")
		if n := f.Unusable(); n != wantUnusable || len(f.directory.List(time.Now())) != wantTargets {
			t.Fatalf("after %q: %d unusable records, targets %v", value, n, f.directory.List(time.Now()))
		}
	}
	put("ready", 0, 1)
	for range 3 {
		put("garbage", 1, 1)
	}
	if n := logs.FilterMessage("a published record is not used").Len(); n != 1 {
		t.Errorf("logged %d times", n)
	}
	put("ready", 0, 1)
	put("garbage", 1, 1)
	f.applyBatch(Batch{Position: at(revision + 1), Complete: true}, "test")
	if f.Unusable() != 0 {
		t.Error("a record that is gone is still counted")
	}
}

func TestOnlyNewerRecordsAreReturned(t *testing.T) {
	s := newSource()
	s.put("config", "v")
	f := follow(t, s, &fakePeers{})
	eventually(t, "version 1", func() bool { return version(f) == 1 })
	if b := f.Records(at(0)); !b.Complete || len(b.Records) != 1 {
		t.Fatalf("batch %+v", b)
	}
	if b := f.Records(f.Position()); b.Complete || len(b.Records) != 0 {
		t.Fatalf("batch %+v", b)
	}
}

// TestRevisionBeforeHistoryReturnsAllRecords reads from a revision whose changes
// are no longer kept.
func TestRevisionBeforeHistoryReturnsAllRecords(t *testing.T) {
	f := newFollower(newSource(), &fakePeers{}, true)
	f.applyBatch(Batch{Position: at(10), Complete: true, Records: []Record{{Key: "config", Value: []byte("v"), Revision: 2}}}, "source")
	for i := range uint64(maxHistory + 5) {
		revision := 11 + 2*i
		key := fmt.Sprint("target/", i) // a later change of a key would replace the earlier one
		f.applyBatch(Batch{Position: at(revision), Records: []Record{{Key: key, Value: []byte("ready"), Revision: revision}}}, "source")
	}
	if b := f.Records(at(10)); !b.Complete {
		t.Fatal("not all records although the changes since the revision are no longer kept")
	}
	if b := f.Records(at(f.historyStart)); b.Complete || len(b.Records) != maxHistory {
		t.Fatalf("whole %t, %d records", b.Complete, len(b.Records))
	}
}

// TestLargeValuesAreCompressed reads a configuration of many routes.
func TestLargeValuesAreCompressed(t *testing.T) {
	value := []byte(strings.Repeat(`{"name":"route","prefix":"/x/"},`, 2000))
	server := &Server{Records: func(replicas.Position) Batch {
		return Batch{Position: at(3), Records: []Record{{Key: "config", Value: value, Revision: 3}, {Key: "small", Value: []byte("v"), Revision: 2}}}
	}}
	for range 2 {
		reply, err := server.Read(t.Context(), nil)
		if err != nil {
			t.Fatal(err)
		}
		large, small := reply.GetRecords()[0], reply.GetRecords()[1]
		if !large.GetPacked() || len(large.GetValue()) > len(value)/10 || small.GetPacked() {
			t.Fatalf("packed %t to %d of %d bytes", large.GetPacked(), len(large.GetValue()), len(value))
		}
		got, err := decompress(large.GetValue())
		if err != nil || string(got) != string(value) {
			t.Fatalf("%v, %d bytes", err, len(got))
		}
	}
	if _, err := decompress([]byte("garbage")); err == nil {
		t.Fatal("garbage was decompressed without an error")
	}
}

// A configuration of many routes is replaced again and again while a daemon lags. Guards
// against handing out, and keeping, each of the versions.
func TestReplacedChangesAreNotKept(t *testing.T) {
	f := newFollower(newSource(), &fakePeers{}, true)
	f.applyBatch(Batch{Position: at(1), Complete: true, Records: []Record{{Key: "config", Value: []byte("v"), Revision: 1}}}, "source")
	for revision := uint64(2); revision <= 20; revision += 2 {
		f.applyBatch(Batch{Position: at(revision + 1), Records: []Record{
			{Key: "config", Value: bytes.Repeat([]byte("v"), int(revision)), Revision: revision},
			{Key: "target/a", Value: []byte("ready"), Revision: revision + 1},
		}}, "source")
	}
	f.applyBatch(Batch{Position: at(24), Records: []Record{
		{Key: "target/a", Revision: 22, Deleted: true}, {Key: "target/a", Value: []byte("ready"), Revision: 23}, {Key: "target/b", Value: []byte("ready"), Revision: 24},
	}}, "source")
	if n := len(f.history); n != 3 {
		t.Fatalf("%d changes of three keys are kept", n)
	}
	behind := newFollower(newSource(), &fakePeers{}, false)
	behind.applyBatch(Batch{Position: at(3), Complete: true, Records: []Record{{Key: "config", Value: []byte("v"), Revision: 1}}}, "source")
	b := f.Records(at(3))
	if b.Complete || len(b.Records) != 3 || b.Position != at(24) {
		t.Fatalf("%d records up to %+v, complete %t", len(b.Records), b.Position, b.Complete)
	}
	behind.applyBatch(b, "peer")
	if version(behind) != 20 || targets(behind) != 2 {
		t.Fatalf("version %d and %d targets", version(behind), targets(behind))
	}
}

// Gossip tells a daemon of a configuration before the changes that contain it arrive. Guards
// against a read of the complete list for each version, which is large, from a peer that may
// not have it either.
func TestAnnouncedConfigurationIsReadWithTheChanges(t *testing.T) {
	s := newSource()
	s.put("config", "v")
	watcher := follow(t, s, &fakePeers{})
	eventually(t, "version 1", func() bool { return version(watcher) == 1 })
	p := &fakePeers{follower: watcher}
	f := newFollower(newSource(), p, false)
	f.applyBatch(watcher.Records(replicas.Position{}), "peer")
	f.ObserveConfigVersion(2, "")
	f.readPeer(t.Context())
	s.put("config", "vv")
	eventually(t, "version 2", func() bool { return version(watcher) == 2 })
	f.ObserveHeartbeat("watcher", watcher.Heartbeat())
	f.readPeer(t.Context())
	if version(f) != 2 || slices.ContainsFunc(p.after, replicas.Position.IsZero) {
		t.Fatalf("version %d, read after %v", version(f), p.after)
	}
	f.ObserveConfigVersion(3, "") // no changes bring it, as after a restoration
	f.readPeer(t.Context())
	time.Sleep(configReadDelay)
	f.readPeer(t.Context())
	if last := p.after[len(p.after)-1]; !last.IsZero() || len(p.after) != 2 {
		t.Fatalf("read after %v", p.after)
	}
}

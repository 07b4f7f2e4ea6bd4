package published

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/replicas"
	"carobspoke.example/core/version/routing"
	"github.com/pkg/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// countingDecoder counts the configurations that it decodes. The value of one is its version,
// with "!" before it if it has an invalid route.
type countingDecoder struct {
	fakeDecoder
	decoded atomic.Int64
}

func (d *countingDecoder) Decode(r *Record) (*routing.Config, *replicas.Target, error) {
	if r.Key != "config" {
		return d.fakeDecoder.Decode(r)
	}
	d.decoded.Add(1)
	text, invalid := strings.CutPrefix(string(r.Value), "!")
	v, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return nil, nil, errors.Wrap(err, "configuration")
	}
	c := &routing.Config{Version: names.Version(v)}
	if invalid {
		c.Routes = []routing.Route{{Name: "without a service", Prefix: "/"}}
	}
	return c, nil, nil
}

// VersionOf implements VersionReader.
func (d *countingDecoder) VersionOf(r *Record) (names.Version, bool) {
	v, err := strconv.ParseUint(strings.TrimPrefix(string(r.Value), "!"), 10, 64)
	return names.Version(v), err == nil
}

func newCountingFollower() (*Follower, *countingDecoder) {
	f, d := newFollower(newSource(), &fakePeers{}, false), &countingDecoder{}
	f.decoder = d
	return f, d
}

func configRecord(revision uint64, value string) Record {
	return Record{Key: "config", Value: []byte(value), Revision: revision}
}

// changes returns the changes of the configuration to the values, after a position.
func changes(after uint64, values ...string) Batch {
	b := Batch{Position: at(after + uint64(len(values)))}
	for i, value := range values {
		b.Records = append(b.Records, configRecord(after+uint64(i)+1, value))
	}
	return b
}

// TestReplacedVersionsAreNotDecoded has a daemon that lags read several versions at once. Guards
// against decoding each of them, which delays the last one on a slow host.
func TestReplacedVersionsAreNotDecoded(t *testing.T) {
	f, d := newCountingFollower()
	f.applyBatch(changes(0, "1"), FromSource)
	cases := []struct {
		values []string
		// decoded is the number of configurations that are decoded.
		decoded int64
		want    names.Version
	}{
		{[]string{"2", "3", "4", "5", "6", "7", "8", "9"}, 1, 9},
		{[]string{"10", "none", "11"}, 2, 11},          // an unknown version may be newer
		{[]string{"12", "13", "none"}, 2, 13},          // the newest is invalid
		{[]string{"14", "15", "!16"}, 2, 15},           // so is its route
		{[]string{"16", "20", "17", "18"}, 2, 20},      // a lower version never replaces a higher one
		{[]string{"20", "20"}, 0, 20},                  // the same again
		{[]string{"7", "8"}, 1, 20},                    // versions that were replaced
		{[]string{"21", "20", "22", "20", "2"}, 2, 22}, // the last one is decoded for its usability
	}
	for _, c := range cases {
		before := d.decoded.Load()
		f.applyBatch(changes(f.Revision(), c.values...), FromPeer)
		if n := d.decoded.Load() - before; n != c.decoded || version(f) != c.want {
			t.Errorf("%v: %d configurations decoded, want %d; version %d in force, want %d", c.values, n, c.decoded, version(f), c.want)
		}
	}
}

// TestVersionsOfOneBatchActAsOneByOne applies random changes at once and one by one, and has daemons
// read from the first. Guards against a version that is passed over although no newer one comes
// into force.
func TestVersionsOfOneBatchActAsOneByOne(t *testing.T) {
	for seed := range uint64(2000) {
		random := rand.New(rand.NewPCG(seed, 0))
		together, _ := newCountingFollower()
		separate, _ := newCountingFollower()
		lagging, _ := newCountingFollower()
		started, _ := newCountingFollower()
		for range 1 + random.IntN(3) {
			var values []string
			for range 1 + random.IntN(5) {
				values = append(values, randomValue(random))
			}
			b := changes(together.Revision(), values...)
			b.Complete = random.IntN(4) == 0
			together.applyBatch(b, FromPeer)
			for i := range b.Records {
				separate.applyBatch(Batch{Position: at(b.Records[i].Revision), Records: b.Records[i : i+1], Complete: b.Complete}, FromPeer)
			}
			if random.IntN(2) == 0 {
				lagging.applyBatch(together.Records(lagging.Position()), FromPeer)
			}
			if version(together) != version(separate) || together.Unusable() != separate.Unusable() {
				t.Fatalf("seed %d, %v: versions %d and %d, unusable records %d and %d", seed, values,
					version(together), version(separate), together.Unusable(), separate.Unusable())
			}
		}
		for kind, reader := range map[string]*Follower{"the complete list": started, "changes": lagging} {
			reader.applyBatch(together.Records(reader.Position()), FromPeer)
			if version(reader) != version(together) || reader.Unusable() != together.Unusable() {
				t.Fatalf("seed %d, reader of %s: version %d, %d at its peer; unusable records %d and %d", seed, kind,
					version(reader), version(together), reader.Unusable(), together.Unusable())
			}
		}
	}
}

// randomValue returns a value of a configuration: mostly a version, else an invalid one.
func randomValue(random *rand.Rand) string {
	v := strconv.Itoa(1 + random.IntN(9))
	switch random.IntN(6) {
	case 0:
		return "none"
	case 1:
		return "!" + v
	default:
		return v
	}
}

// TestReaderOfPeerGetsVersionBeforeInvalidOne has a daemon read from a peer that follows the
// source. Guards against handing on the invalid version alone: the reader never gets the one
// before it, which is in force at the peer.
func TestReaderOfPeerGetsVersionBeforeInvalidOne(t *testing.T) {
	for _, invalid := range [][]string{{"none"}, {"none", "none"}, {"!4"}, {"1"}, {"none", "!5", "1", "none"}} {
		peer, _ := newCountingFollower()
		peer.applyBatch(Batch{Position: at(1), Complete: true, Records: changes(0, "1").Records}, FromSource)
		behind, _ := newCountingFollower()
		behind.applyBatch(peer.Records(at(0)), FromPeer)
		peer.applyBatch(changes(1, "2", "3"), FromSource)
		for _, value := range invalid {
			peer.applyBatch(changes(peer.Revision(), value), FromSource)
		}
		behind.applyBatch(peer.Records(behind.Position()), FromPeer)
		if version(peer) != 3 || version(behind) != 3 || behind.Unusable() != peer.Unusable() {
			t.Errorf("%v: version %d at the peer, %d at the reader of its changes; %d and %d unusable records",
				invalid, version(peer), version(behind), peer.Unusable(), behind.Unusable())
		}
		started, _ := newCountingFollower()
		started.applyBatch(peer.Records(replicas.Position{}), FromPeer)
		if version(started) != 3 || started.Unusable() != peer.Unusable() {
			t.Errorf("%v: version %d at a reader of the complete list; %d and %d unusable records",
				invalid, version(started), peer.Unusable(), started.Unusable())
		}
		if n := len(peer.history); n > 2 {
			t.Errorf("%v: %d changes of one key are kept", invalid, n)
		}
		peer.applyBatch(changes(peer.Revision(), "6"), FromSource)
		if b := peer.Records(replicas.Position{}); len(b.Records) != 1 || len(peer.history) != 1 {
			t.Errorf("%v: %d records and %d changes are kept once a newer version is in force", invalid, len(b.Records), len(peer.history))
		}
	}
}

// TestInvalidVersionIsLoggedOnce writes the same invalid value again and again.
func TestInvalidVersionIsLoggedOnce(t *testing.T) {
	zapCore, logs := observer.New(zap.WarnLevel)
	f, _ := newCountingFollower()
	f.log = zap.New(zapCore)
	f.applyBatch(changes(0, "1"), FromSource)
	for range 3 {
		f.applyBatch(changes(f.Revision(), "none", "none"), FromSource)
	}
	if n := logs.FilterMessage("a published record is not used").Len(); n != 1 || f.Unusable() != 1 {
		t.Errorf("logged %d times, %d unusable records", n, f.Unusable())
	}
	f.applyBatch(changes(f.Revision(), "1"), FromSource)
	if f.Unusable() != 0 {
		t.Error("an unusable record is counted after the one in force was published again")
	}
}

// TestInvalidVersionsBeforeTheFirst has a daemon start while only invalid versions are published.
// Guards against taking the first one for that in force.
func TestInvalidVersionsBeforeTheFirst(t *testing.T) {
	f, _ := newCountingFollower()
	for i, value := range []string{"!1", "!2", "none", "!2", "3"} {
		f.applyBatch(changes(uint64(i), value), FromSource)
	}
	if version(f) != 3 {
		t.Errorf("version %d", version(f))
	}
}

// TestInvalidVersionOfRestoredSource restores the source to an invalid version, then to an older one.
// Guards against handing these on in place of the version in force.
func TestInvalidVersionOfRestoredSource(t *testing.T) {
	f, _ := newCountingFollower()
	f.applyBatch(changes(0, "1", "5", "none"), FromSource)
	for era, value := range []string{"none", "2", "5", "!9"} {
		f.applyBatch(Batch{Position: replicas.Position{Era: uint64(era + 1), Revision: 2}, Complete: true, Records: []Record{configRecord(2, value)}}, FromSource)
		reader, _ := newCountingFollower()
		reader.applyBatch(f.Records(replicas.Position{}), FromPeer)
		if version(f) != 5 || version(reader) != 5 {
			t.Errorf("restored to %q: version %d, %d at a reader", value, version(f), version(reader))
		}
	}
}

func BenchmarkApplyTwelveVersions(b *testing.B) {
	f, d := newCountingFollower()
	for b.Loop() {
		var values []string
		for i := range 12 {
			values = append(values, fmt.Sprint(f.Revision()+uint64(i)+1))
		}
		f.applyBatch(changes(f.Revision(), values...), FromPeer)
	}
	b.ReportMetric(float64(d.decoded.Load())/float64(b.N), "decoded/op")
}

// Guards against decoding a version that has been replaced, from a peer or an answer of the source
// that was overtaken: on a slow host the next change waits for it.
func TestOvertakenBatchIsNotDecoded(t *testing.T) {
	f, d := newCountingFollower()
	f.applyBatch(changes(0, "1", "5"), FromSource)
	before := d.decoded.Load()
	f.applyBatch(Batch{Position: at(1), Records: []Record{configRecord(1, "4")}}, FromPeer)
	if n := d.decoded.Load() - before; n != 0 || version(f) != 5 {
		t.Errorf("%d configurations decoded, version %d in force", n, version(f))
	}
	f.applyBatch(Batch{Position: at(1), Records: []Record{configRecord(1, "6")}}, FromPeer)
	if version(f) != 6 {
		t.Errorf("version %d in force, want 6, which an older position holds after a restoration", version(f))
	}
}

package edge

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/replicas"
	"carobspoke.example/core/version/routing"
	"carobspoke.example/serving/connection/upstream"
	"carobspoke.example/serving/process/published"
	"carobspoke.example/serving/process/targetstate"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// store is a source whose records a test changes.
type store struct {
	mu       sync.Mutex
	records  map[string]published.Record
	changes  []published.Record
	revision uint64
}

func (s *store) write(r published.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	r.Revision = s.revision
	s.changes = append(s.changes, r)
	s.records[r.Key] = r
	if r.Deleted {
		delete(s.records, r.Key)
	}
}

func (s *store) List(context.Context) (published.Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := published.Batch{Position: replicas.Position{Revision: s.revision}, Complete: true}
	for _, r := range s.records {
		b.Records = append(b.Records, r)
	}
	return b, nil
}

func (s *store) Watch(ctx context.Context, after uint64, wait time.Duration) (published.Batch, error) {
	for until := time.Now().Add(wait); ; time.Sleep(5 * time.Millisecond) {
		s.mu.Lock()
		b := published.Batch{Position: replicas.Position{Revision: s.revision}}
		for _, r := range s.changes {
			if r.Revision > after {
				b.Records = append(b.Records, r)
			}
		}
		s.mu.Unlock()
		if len(b.Records) > 0 || time.Now().After(until) || ctx.Err() != nil {
			return b, nil
		}
	}
}

// silentStore is a source that does not answer a daemon.
type silentStore struct{}

func (silentStore) List(context.Context) (published.Batch, error) {
	return published.Batch{}, errors.New("down")
}

func (silentStore) Watch(context.Context, uint64, time.Duration) (published.Batch, error) {
	return published.Batch{}, errors.New("down")
}

// placesDecoder decodes targets with their data centres, "address data-centre". One that is deaf
// has not heard of evacuations.
type placesDecoder struct {
	decoder
	deaf bool
	// regions are the allowed regions of all routes.
	regions []names.Region
}

func (d placesDecoder) EvacuationOf(key string) (names.DataCentre, bool) {
	dc, ok := d.decoder.EvacuationOf(key)
	return dc, ok && !d.deaf
}

func (d placesDecoder) Decode(r *published.Record) (*routing.Config, *replicas.Target, error) {
	if _, ok := d.decoder.EvacuationOf(r.Key); ok {
		return nil, nil, nil
	}
	config, target, err := d.decoder.Decode(r)
	if config != nil {
		for i := range config.Routes {
			config.Routes[i].Regions = d.regions
		}
	}
	if target != nil {
		address, dc, _ := strings.Cut(target.Address, " ")
		target.Address, target.DataCentre = address, names.DataCentre(dc)
	}
	return config, target, err
}

// placedTarget is a target that counts the requests and connections that reach it.
type placedTarget struct {
	requests, connections atomic.Int64
	released              chan struct{}
	// release ends the slow requests.
	release func()
}

func startPlacedTarget(t *testing.T, s *store, id, dc string) *placedTarget {
	t.Helper()
	target := &placedTarget{released: make(chan struct{})}
	target.release = sync.OnceFunc(func() { close(target.released) })
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		target.requests.Add(1)
		if r.URL.Path == "/slow" {
			<-target.released
		}
		w.Header().Set("Keep-Alive", "timeout=60")
		_, _ = w.Write([]byte(dc))
	}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		switch state {
		case http.StateNew:
			target.connections.Add(1)
		case http.StateClosed:
			target.connections.Add(-1)
		default:
		}
	}
	server.Start()
	t.Cleanup(server.Close)
	t.Cleanup(target.release) // before the server closes
	s.write(published.Record{Key: "target/" + id, Value: []byte(server.Listener.Addr().String() + " " + dc)})
	return target
}

// placesFleet is a fleet before targets in data centres a and b. Ports are the same at all
// daemons.
type placesFleet struct {
	store   *store
	ports   []uint16
	a, b    *placedTarget
	regions map[names.DataCentre]names.Region
	// centres are the data centres of daemons, "dc" if absent.
	centres map[int]names.DataCentre
	// cutOff is the daemon that is cut off from all targets, negative if none.
	cutOff int
	// dials counts the connections of daemons to targets.
	dials [4]atomic.Int64
}

func newPlacesFleet(t *testing.T) *placesFleet {
	t.Helper()
	f := &placesFleet{store: &store{records: make(map[string]published.Record)}, ports: freePorts(t, 5), regions: map[names.DataCentre]names.Region{"dc": "region"}, cutOff: -1}
	f.store.write(published.Record{Key: "config", Value: []byte("{}")})
	f.a, f.b = startPlacedTarget(t, f.store, "1", "a"), startPlacedTarget(t, f.store, "2", "b")
	return f
}

// start starts daemon i, which reads from a source.
func (f *placesFleet) start(t *testing.T, i int, source published.Source, d published.Decoder) *Daemon {
	t.Helper()
	address := func(i, port int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i + 1)}), f.ports[port])
	}
	dial := func(ctx context.Context, id names.Target, address string) (net.Conn, error) {
		if i == f.cutOff {
			return nil, errors.New("cut off")
		}
		f.dials[i].Add(1)
		return upstream.DialTCP(ctx, id, address)
	}
	daemon, err := New(Options{
		DialTarget: dial,
		NewOrders:  func(upstream.Dialer) targetstate.OrderClient { return nil }, // no test sends orders
		Settings: &Settings{
			Name: fmt.Sprint("host-", i), DataCentre: cmp.Or(f.centres[i], "dc"), Regions: f.regions,
			CallerAddress: address(i, 0), ReadyAddress: address(i, 1), MetricsAddress: address(i, 2), PeerAddress: address(i, 3), SharePort: f.ports[4],
			ReadyPath: "/ready", MetricsPath: "/metrics", Seeds: []netip.AddrPort{address(0, 3)}, StoreAddress: address(i, 0),
			GracePeriod: 6 * time.Second, RetryRatio: 0.2, RetrySlack: 100, RetryWindow: 10 * time.Second,
		},
		Codec: codec{}, Source: source, Decoder: d, Log: zap.NewNop(), DroppedLines: func() int64 { return 0 },
	})
	if err != nil {
		t.Fatal(err)
	}
	daemon.Start()
	t.Cleanup(daemon.Close)
	return daemon
}

// call sends a request to a daemon and returns the data centre that has answered.
func (f *placesFleet) call(t *testing.T, d *Daemon) string {
	t.Helper()
	status, body := get(t, url(d.Settings.CallerAddress, "/x"))
	if status != http.StatusOK {
		t.Fatalf("%s: status %d, %q", d.self, status, body)
	}
	return body
}

// evacuationAim is the time after which nothing new reaches a data centre, or it is used again.
const evacuationAim = 2 * time.Second

// begin starts requests that take until the targets release them, and returns once some run in
// both data centres.
func (f *placesFleet) begin(t *testing.T, d *Daemon) *sync.WaitGroup {
	t.Helper()
	a, b := f.a.requests.Load(), f.b.requests.Load()
	var slow sync.WaitGroup
	for range 6 {
		slow.Go(func() {
			if status, body := get(t, url(d.Settings.CallerAddress, "/slow")); status != http.StatusOK {
				t.Errorf("a running request: status %d, %q", status, body)
			}
		})
	}
	eventually(t, "slow requests in both", func() bool { return f.a.requests.Load() >= a+2 && f.b.requests.Load() >= b+2 })
	return &slow
}

// checkNothingReachesB sends requests to a daemon, and to one that starts and reads from peers
// alone.
func (f *placesFleet) checkNothingReachesB(t *testing.T, d *Daemon) {
	t.Helper()
	before := f.b.requests.Load()
	for range 100 {
		if got := f.call(t, d); got != "a" {
			t.Fatalf("answered by %s", got)
		}
	}
	young := f.start(t, 3, silentStore{}, placesDecoder{})
	eventually(t, "a daemon that starts", func() bool { return young.follower.View() != nil })
	for range 20 {
		f.call(t, young)
	}
	if got := f.b.requests.Load(); got != before {
		t.Errorf("%d requests reached the data centre", got-before)
	}
}

// An evacuation at a daemon that hears of it, while its home does not: the home's decoder ignores
// the key. Guards against new requests in the data centre, against the end of those that run
// there, and against a data centre that stays unused when it is taken back.
func TestEvacuatedDataCentreGetsNothingNew(t *testing.T) {
	f := newPlacesFleet(t)
	for _, i := range []int{0, 1} {
		f.start(t, i, f.store, placesDecoder{deaf: true})
	}
	d := f.start(t, 2, f.store, placesDecoder{})
	eventually(t, "two peers and the list", func() bool { return d.follower.View() != nil && d.peerCount() == 2 })
	eventually(t, "both data centres", func() bool { return f.call(t, d) == "b" })
	slow := f.begin(t, d)
	f.store.write(published.Record{Key: "evacuate/b"})
	for began := time.Now(); time.Since(began) < evacuationAim; time.Sleep(20 * time.Millisecond) {
		f.call(t, d)
	}
	if running := f.b.connections.Load(); running > 6 {
		t.Errorf("%d connections to the data centre are open", running)
	}
	f.checkNothingReachesB(t, d)
	f.a.release()
	f.b.release()
	slow.Wait()
	eventually(t, "no connection to the data centre", func() bool { return f.b.connections.Load() == 0 })
	f.store.write(published.Record{Key: "evacuate/b", Deleted: true})
	removed := time.Now()
	for f.call(t, d) != "b" {
		if time.Since(removed) > evacuationAim {
			t.Fatal("the data centre is not used again")
		}
	}
}

// All data centres are evacuated at once. Guards against a refusal that counts as another one.
func TestEvacuationOfAllDataCentresIsCounted(t *testing.T) {
	f := newPlacesFleet(t)
	d := f.start(t, 0, f.store, placesDecoder{})
	eventually(t, "the list", func() bool { return d.follower.View() != nil })
	f.store.write(published.Record{Key: "evacuate/a"})
	f.store.write(published.Record{Key: "evacuate/b"})
	eventually(t, "a refusal", func() bool {
		status, _ := get(t, url(d.Settings.CallerAddress, "/x"))
		return status == http.StatusServiceUnavailable
	})
	_, text := get(t, url(d.Settings.MetricsAddress, "/metrics"))
	for _, line := range []string{"carobspoke_refused_evacuated 1", "carobspoke_evacuated_data_centres 2"} {
		if !strings.Contains(text, line+"\n") {
			t.Errorf("metrics do not contain %q", line)
		}
	}
}

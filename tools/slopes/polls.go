package slopes

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"carobspoke.example/core/process/keeping"
	"carobspoke.example/core/process/subset"
	"carobspoke.example/core/target"
	"carobspoke.example/serving/connection/targetapi"
	"carobspoke.example/serving/process/keeper"
)

// pollRuns is how many polls of each kind are measured.
const pollRuns = 2000

// pollHeaderBytes is taken for the headers of TCP and IP of a poll: two
// segments and two acknowledgements.
const pollHeaderBytes = 4 * 52

// countedConn counts what crosses a connection.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// pollCosts are those of one poll.
type pollCosts struct {
	bytes     float64
	processor time.Duration
}

func pollTables(p *printer, o Options) {
	p.line("### Polls of targets")
	p.line("")
	p.line("Over HTTP on loopback, by the daemon's own client; %d bytes for headers of TCP and IP added. CPU is of client and stand-in server together.", pollHeaderBytes)
	p.line("")
	p.header("poll", "at most every", "B, both ways", "CPU")
	kinds := pollKinds()
	costs := make([]pollCosts, 0, len(kinds))
	for _, kind := range kinds {
		c, err := measurePoll(kind.call)
		if err != nil {
			p.err = err
			return
		}
		costs = append(costs, c)
		p.row(kind.name, kind.every.String(), number(c.bytes), c.processor.String())
	}
	p.line("")
	p.line("Of one daemon, worked out from these costs and the pace of its polls, as if no answer told an engine's load. Holdings are polled by an engine's first keeper only.")
	p.line("")
	p.header("daemons", "targets", "kept by one, mean", "pace", "B/s", "of it holdings", "CPU, fraction of a core")
	for i, n := range o.Sizes {
		kept := float64(subset.KeeperCount(n, o.Targets[i])*o.Targets[i]) / float64(n)
		pace := pollPace(n, int(kept))
		var bytes, cpu, last float64
		for j, kind := range kinds {
			each := max(pace, keeper.ScaledInterval(kind.every, pace, kind.longest)).Seconds()
			asked := kept
			if kind.first {
				asked = float64(o.Targets[i]) / float64(n)
			}
			last = asked * costs[j].bytes / each
			bytes += last
			cpu += asked * costs[j].processor.Seconds() / each
		}
		p.row(fmt.Sprint(n), fmt.Sprint(o.Targets[i]), number(kept), pace.Round(time.Millisecond).String(),
			number(bytes), number(last), fmt.Sprintf("%.4f", cpu))
	}
	p.line("")
}

// pollPace is the time between two polls of a target in a fleet of n.
func pollPace(n, kept int) time.Duration {
	return keeping.PollInterval(kept, keeper.ReportPollBytes, keeper.PollRate(n), keeper.ReportInterval, keeper.MaxReportInterval)
}

// pollKind is a kind of poll and how often the keeper makes it.
type pollKind struct {
	name           string
	every, longest time.Duration
	// first is set if only the first keeper makes it.
	first bool
	call  func(context.Context, *targetapi.Client) error
}

func pollKinds() []pollKind {
	return []pollKind{
		{"report", keeper.ReportInterval, keeper.MaxReportInterval, false, func(ctx context.Context, c *targetapi.Client) error {
			_, err := c.Report(ctx)
			return err
		}},
		{"cache events, none new", keeper.EventsInterval, keeper.MaxEventsInterval, false, func(ctx context.Context, c *targetapi.Client) error {
			_, err := c.Events(ctx, 1)
			return err
		}},
		{"holdings, 20 handles and streams", keeper.HoldingsInterval, keeper.MaxHoldingsInterval, true, func(ctx context.Context, c *targetapi.Client) error {
			_, err := c.Holdings(ctx)
			return err
		}},
	}
}

// measurePoll makes one poll many times over one connection.
func measurePoll(call func(context.Context, *targetapi.Client) error) (pollCosts, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return pollCosts{}, errors.Wrap(err, "slopes")
	}
	server := &http.Server{Handler: http.HandlerFunc(answerPoll), ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	var bytes atomic.Int64
	transport := targetapi.NewTransport()
	dial := transport.DialContext
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return countedConn{conn, &bytes}, nil
	}
	defer transport.CloseIdleConnections()
	client := targetapi.NewClient(listener.Addr().String(), transport)
	if err := call(context.Background(), client); err != nil {
		return pollCosts{}, err
	}
	start, before := processor(), bytes.Load()
	for range pollRuns {
		if err := call(context.Background(), client); err != nil {
			return pollCosts{}, err
		}
	}
	return pollCosts{
		bytes:     float64(bytes.Load()-before)/pollRuns + pollHeaderBytes,
		processor: (processor() - start) / pollRuns,
	}, nil
}

// answerPoll stands in for an engine under load.
func answerPoll(w http.ResponseWriter, r *http.Request) {
	var answer any
	switch r.URL.Path {
	case "/v1/report":
		answer = target.Report{
			Target: "replica-1234", BootID: 1 << 60, Seq: 1 << 20, MeasuredAt: time.Unix(1_700_000_000, 123_456_789),
			QueuedTokens: 123_456, RunningStreams: 64, FreeBlocks: 12_345, TotalBlocks: 65_536, BlockTokens: 16,
			PrefillRate: 12_345.6, StepTime: 25 * time.Millisecond, Fence: 1 << 20,
			State: target.State{Model: "drafting-large", Version: "2026-11-30", Role: target.Mixed},
		}
	case "/v1/holdings":
		answer = holdings()
	default:
		answer = []target.CacheEvent{}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer) // the client reports what it misses
}

func holdings() target.Holdings {
	var h target.Holdings
	for i := range 20 {
		id := fmt.Sprintf("10.0.0.1:7000/1700000000000000000/1700000000000/%016x", i)
		h.Handles = append(h.Handles, target.Handle{ID: target.HandleID(id), Scope: "scope", Blocks: 100, Tokens: 1600})
		h.Streams = append(h.Streams, target.StreamInfo{ID: target.StreamID(id), Blocks: 100})
	}
	return h
}

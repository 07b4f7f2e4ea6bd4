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

// pollHeaderBytes is the assumed size of the TCP and IP headers of a poll: two
// segments and two acknowledgements of 52 bytes each.
const pollHeaderBytes = 4 * 52

// countedConn counts the bytes read from and written to a connection.
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

// pollCosts are the costs of one poll.
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
		p.row(kind.name, kind.interval.String(), formatNumber(c.bytes), c.processor.String())
	}
	p.line("")
	p.line("Of one daemon, worked out from these costs and the pace of its polls, as if no answer told an engine's load. Holdings are polled by an engine's first keeper only.")
	p.line("")
	p.header("daemons", "targets", "kept by one, mean", "pace", "B/s", "of it holdings", "CPU, fraction of a core")
	for i, n := range o.Sizes {
		keptTargets := float64(subset.KeeperCount(n, o.Targets[i])*o.Targets[i]) / float64(n)
		reportInterval := pollInterval(n, int(keptTargets))
		// After the loop kindBytes is the rate of the last kind, holdings.
		var bytes, cpu, kindBytes float64
		for j, kind := range kinds {
			period := max(reportInterval, keeper.ScaledInterval(kind.interval, reportInterval, kind.maxInterval)).Seconds()
			polled := keptTargets
			if kind.firstKeeperOnly {
				polled = float64(o.Targets[i]) / float64(n)
			}
			kindBytes = polled * costs[j].bytes / period
			bytes += kindBytes
			cpu += polled * costs[j].processor.Seconds() / period
		}
		p.row(fmt.Sprint(n), fmt.Sprint(o.Targets[i]), formatNumber(keptTargets), reportInterval.Round(time.Millisecond).String(),
			formatNumber(bytes), formatNumber(kindBytes), fmt.Sprintf("%.4f", cpu))
	}
	p.line("")
}

// pollInterval returns the time between two polls of a target by a daemon that
// keeps the given number of targets, in a fleet of n daemons.
func pollInterval(n, keptTargets int) time.Duration {
	return keeping.PollInterval(keptTargets, keeper.ReportPollBytes, keeper.PollRate(n), keeper.ReportInterval, keeper.MaxReportInterval)
}

// pollKind is a kind of poll and the intervals at which a keeper sends it.
type pollKind struct {
	name                  string
	interval, maxInterval time.Duration
	// firstKeeperOnly is set if only a target's first keeper sends the poll.
	firstKeeperOnly bool
	call            func(context.Context, *targetapi.Client) error
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

// measurePoll sends one poll pollRuns times over one connection and returns the
// mean costs.
func measurePoll(call func(context.Context, *targetapi.Client) error) (pollCosts, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return pollCosts{}, errors.Wrap(err, "slopes")
	}
	server := &http.Server{Handler: http.HandlerFunc(servePoll), ReadHeaderTimeout: time.Minute}
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
	start, before := processorTime(), bytes.Load()
	for range pollRuns {
		if err := call(context.Background(), client); err != nil {
			return pollCosts{}, err
		}
	}
	return pollCosts{
		bytes:     float64(bytes.Load()-before)/pollRuns + pollHeaderBytes,
		processor: (processorTime() - start) / pollRuns,
	}, nil
}

// servePoll answers polls as an engine under load would.
func servePoll(w http.ResponseWriter, r *http.Request) {
	var response any
	switch r.URL.Path {
	case "/v1/report":
		response = target.Report{
			Target: "replica-1234", BootID: 1 << 60, Seq: 1 << 20, MeasuredAt: time.Unix(1_700_000_000, 123_456_789),
			QueuedTokens: 123_456, RunningStreams: 64, FreeBlocks: 12_345, TotalBlocks: 65_536, BlockTokens: 16,
			PrefillRate: 12_345.6, StepTime: 25 * time.Millisecond, Fence: 1 << 20,
			State: target.State{Model: "drafting-large", Version: "2026-11-30", Role: target.Mixed},
		}
	case "/v1/holdings":
		response = holdings()
	default:
		response = []target.CacheEvent{}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(response) // the client reports an incomplete response
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

package keeper

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"carobspoke.example/core/target"
	"carobspoke.example/serving/connection/targetapi"
)

// countingConn counts the bytes that are read and written.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// TestReportPollFitsPollBytes measures a poll of a report over HTTP. If a poll had
// more than ReportPollBytes, the polls would exceed their rate limit.
func TestReportPollFitsPollBytes(t *testing.T) {
	report := target.Report{
		Target: "drafting-0001", BootID: 1 << 60, Seq: 1 << 30, MeasuredAt: time.Unix(1800000000, 123456789),
		QueuedTokens: 1000000, RunningStreams: 64, FreeBlocks: 20000, TotalBlocks: 28672, BlockTokens: 16,
		PrefillRate: 20000.5, StepTime: 15 * time.Millisecond, Fence: 1 << 40,
		State: target.State{Model: "drafting-model", Version: "2026-01", Role: target.Mixed},
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(report) //nolint:errcheck // the client then returns an error
	}))
	defer server.Close()
	var bytes atomic.Int64
	transport := targetapi.NewTransport()
	defer transport.CloseIdleConnections()
	transport.DialContext = func(_ context.Context, network, address string) (net.Conn, error) {
		conn, err := net.Dial(network, address)
		return countingConn{Conn: conn, bytes: &bytes}, err
	}
	client := targetapi.NewClient(strings.TrimPrefix(server.URL, "http://"), transport)
	const polls = 20
	for range polls {
		if _, err := client.Report(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	bytesPerPoll := bytes.Load() / polls
	t.Logf("%d bytes per poll, without the headers of TCP and IP", bytesPerPoll)
	if bytesPerPoll > ReportPollBytes {
		t.Fatalf("a poll has %d bytes, the limit is %d", bytesPerPoll, ReportPollBytes)
	}
}

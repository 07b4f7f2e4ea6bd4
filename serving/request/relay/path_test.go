package relay

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/verdict"
	"carobspoke.example/serving/connection/upstream"
	"github.com/pkg/errors"
)

// Neither this host nor a peer reaches targets. Guards against tries of one target after
// the other, and against a failure that is held against the target.
func TestRequestWithoutAPathIsRefusedAtOnce(t *testing.T) {
	for _, path := range []string{"/read/x", "/order/x", "/stream/x"} {
		f := newFixture(t, newFakeServer(t, answersOK("x")), newFakeServer(t, answersOK("x")))
		dials := 0
		f.relay.Pool.Dial = func(context.Context, names.Target, string) (net.Conn, error) {
			dials++
			return nil, errors.WithStack(upstream.ErrNoPath)
		}
		response, _, err := f.call(path, nil)
		wantRefusal(t, response, err, verdict.PeerUnreachable, verdict.NotRun)
		if dials != 1 || len(f.board.failed) != 0 {
			t.Errorf("%s: %d connections, failures %v", path, dials, f.board.failed)
		}
		if response.Header.Get("Come-Back") != noPathRetryAfter.String() {
			t.Errorf("%s: told to return after %q", path, response.Header.Get("Come-Back"))
		}
	}
}

// The connection takes a part of the request's time. Guards against a target that is given
// more time than is left.
func TestTimeLeftIsThatAfterTheConnection(t *testing.T) {
	server := newFakeServer(t, answersOK("x"))
	f := newFixture(t, server)
	const connect = 300 * time.Millisecond
	f.relay.Pool.Dial = func(ctx context.Context, id names.Target, address string) (net.Conn, error) {
		time.Sleep(connect)
		return upstream.DialTCP(ctx, id, address)
	}
	response, _, err := f.call("/order/x", nil)
	if err != nil || response.StatusCode != http.StatusOK {
		t.Fatalf("%v %v", response, err)
	}
	left, err := strconv.Atoi(server.receivedHeaders()[0].Get("Left"))
	if most := 2*time.Second - connect; err != nil || time.Duration(left)*time.Millisecond > most {
		t.Fatalf("the target is given %d ms, %s are left: %v", left, most, err)
	}
}

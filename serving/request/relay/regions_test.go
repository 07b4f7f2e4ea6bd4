package relay

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"

	"carobspoke.example/core/names"
	"carobspoke.example/core/request/placement"
	"carobspoke.example/core/verdict"
	"carobspoke.example/core/version/routing"
	"carobspoke.example/serving/connection/upstream"
)

// regionBoard records the regions of placements.
type regionBoard struct {
	*fakeBoard
	mu   sync.Mutex
	seen [][]names.Region
}

func (b *regionBoard) Place(ctx context.Context, r *placement.Request, s *routing.Service) (*Placement, error) {
	b.mu.Lock()
	b.seen = append(b.seen, r.Regions)
	b.mu.Unlock()
	return b.fakeBoard.Place(ctx, r, s)
}

// restricted returns a fixture whose routes and customer allow regions, its board, and the
// regions of its connections.
func restricted(t *testing.T, route, customer []names.Region, targets ...*fakeServer) (*fixture, *regionBoard, *[][]names.Region) {
	t.Helper()
	f := newFixture(t, targets...)
	for i := range f.routes {
		f.routes[i].Regions = route
	}
	f.build()
	table, err := routing.NewTable(&routing.Config{
		Version: 1, Routes: f.routes, Services: []routing.Service{{Name: "s"}},
		Customers: []routing.Customer{{Name: "customer", Keys: []string{"key"}, Regions: customer}}, Limits: routing.Limits{BodyBytes: 1 << 10, HeaderBytes: 4 << 10},
	})
	if err != nil {
		t.Fatal(err)
	}
	f.relay.Configuration = func() Configuration { return Configuration{Table: table, Recent: true} }
	board := &regionBoard{fakeBoard: f.board}
	f.relay.Board = board
	dialled := &[][]names.Region{}
	f.relay.Pool.Dial = func(ctx context.Context, id names.Target, address string) (net.Conn, error) {
		*dialled = append(*dialled, upstream.RegionsOf(ctx))
		return upstream.DialTCP(ctx, id, address)
	}
	return f, board, dialled
}

// Guards against a list that is not applied: to the first attempt, to a retry, to a stream that
// is resumed, or to their connections.
func TestAllowedRegionsOfRouteAndCustomerBindAllAttempts(t *testing.T) {
	cases := map[string]struct{ route, customer, want []names.Region }{
		"none":     {},
		"route":    {route: []names.Region{"n", "s"}, want: []names.Region{"n", "s"}},
		"customer": {customer: []names.Region{"s"}, want: []names.Region{"s"}},
		"both":     {route: []names.Region{"n", "s"}, customer: []names.Region{"s", "w"}, want: []names.Region{"s"}},
	}
	for name, c := range cases {
		for path, targets := range map[string][]responder{
			"/read/x":   {closesWithoutAnswer, answersOK("x")},
			"/stream/x": {streamsEvents(0, 2, false), streamsEvents(3, 4, true)},
		} {
			t.Run(name+path, func(t *testing.T) {
				f, board, dialled := restricted(t, c.route, c.customer, newFakeServer(t, targets[0]), newFakeServer(t, targets[1]))
				response, _, err := f.call(path, nil)
				if err != nil || response.StatusCode != http.StatusOK {
					t.Fatalf("%v %v", response, err)
				}
				if len(board.seen) != 2 || len(*dialled) != 2 {
					t.Fatalf("placements %v, connections %v", board.seen, *dialled)
				}
				for _, got := range slices.Concat(board.seen, *dialled) {
					if !slices.Equal(got, c.want) {
						t.Errorf("regions %v, want %v", got, c.want)
					}
				}
			})
		}
	}
}

// No region is allowed by both lists. The refusal must name no retry delay, since no later
// attempt can succeed.
func TestRequestWithoutCommonRegionIsRefusedForGood(t *testing.T) {
	f, board, _ := restricted(t, []names.Region{"n"}, []names.Region{"s"}, newFakeServer(t, answersOK("x")))
	response, _, err := f.call("/read/x", nil)
	wantRefusal(t, response, err, verdict.RegionNotAllowed, verdict.NotRun)
	if after := response.Header.Get("Come-Back"); after != "" || len(board.seen) != 0 {
		t.Errorf("told to return after %q, placed %v", after, board.seen)
	}
}

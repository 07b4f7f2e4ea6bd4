package quota

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/membership"
	"carobspoke.example/core/process/quota"
	"carobspoke.example/serving/peerpb"
)

// fleet is a number of daemons that talk gRPC over loopback, under one clock.
type fleet struct {
	now      time.Time
	members  []membership.Member
	services []*Service
	clients  map[names.Host]peerpb.QuotasClient
	down     map[names.Host]bool
}

type oneMember struct {
	fleet *fleet
	self  membership.Member
}

func (m oneMember) Live() []membership.Member        { return m.fleet.members }
func (m oneMember) Unreachable() []membership.Member { return nil }
func (m oneMember) Self() membership.Member          { return m.self }

func (f *fleet) Quotas(h names.Host) (peerpb.QuotasClient, error) {
	if f.down[h] {
		return nil, errors.New("down")
	}
	return f.clients[h], nil
}

func newFleet(t *testing.T, n int) *fleet {
	t.Helper()
	f := &fleet{
		now:     time.Unix(1_700_000_000, 0),
		clients: make(map[names.Host]peerpb.QuotasClient),
		down:    make(map[names.Host]bool),
	}
	for i := range n {
		f.members = append(f.members, membership.Member{
			Host:        names.Host(fmt.Sprintf("10.0.0.%03d:7000", i)),
			DataCentre:  names.DataCentre(fmt.Sprint("dc", i%3)),
			Incarnation: names.Incarnation(i + 1),
		})
	}
	for i := range f.members {
		f.start(t, f.members[i])
	}
	return f
}

func (f *fleet) start(t *testing.T, self membership.Member) {
	t.Helper()
	s, err := New(Options{
		Config:  quota.ConfigFor(len(f.members)),
		Members: oneMember{f, self},
		Peers:   f,
		Now:     func() time.Time { return f.now },
	})
	if err != nil {
		t.Fatal(err)
	}
	s.SetQuotas([]quota.Quota{{Customer: "a", Rate: 1000}})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer()
	peerpb.RegisterQuotasServer(server, s)
	go func() { _ = server.Serve(listener) }()
	conn, err := grpc.NewClient(listener.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close(); server.Stop() })
	f.clients[self.Host] = peerpb.NewQuotasClient(conn)
	f.services = append(f.services, s)
}

// run lets seconds pass in which the first users daemons' callers together ask
// for rate tokens a second, and returns what is admitted a second in the last
// half.
func (f *fleet) run(seconds, users, rate int) float64 {
	admitted := 0
	for s := range seconds {
		for range 20 {
			for _, service := range f.services[:users] {
				tokens := max(1, rate/users/20)
				if ok, _ := service.Admit("a", tokens); ok && s >= seconds/2 {
					admitted += tokens
				}
			}
			f.now = f.now.Add(50 * time.Millisecond)
		}
		for _, service := range f.services {
			service.Round(context.Background())
		}
	}
	return float64(admitted) / float64(seconds-seconds/2)
}

func TestDaemonsShareAQuotaOverGRPC(t *testing.T) {
	for _, n := range []int{6, 66} {
		f := newFleet(t, n)
		if got := f.run(40, n, 20*1000); got < 700 || got > 1050 {
			t.Errorf("%d daemons admitted %0.f of 1000 tokens a second", n, got)
		}
		if got := f.run(28, 1, 3000); got > 1050 {
			t.Errorf("while it moved, one of %d daemons admitted %0.f of 1000 tokens a second", n, got)
		}
		if got := f.run(20, 1, 3000); got < 700 || got > 1050 {
			t.Errorf("one of %d daemons admitted %0.f of 1000 tokens a second", n, got)
		}
	}
}

func TestTheHomesDeathDoesNotStopOrMultiplyAQuota(t *testing.T) {
	f := newFleet(t, 6)
	f.run(20, 6, 6000)
	home, _ := quota.NewRoutes(f.members).Top("a")
	f.down[home.Host] = true
	var left []membership.Member
	var services []*Service
	for i, m := range f.members {
		if m.Host != home.Host {
			left = append(left, m)
			services = append(services, f.services[i])
		}
	}
	f.services = services
	if got := f.run(30, 5, 6000); got < 500 || got > 1050 {
		t.Errorf("%0.f admitted while the home's death is not yet known", got)
	}
	f.members = left
	if got := f.run(30, 5, 6000); got < 700 || got > 1050 {
		t.Errorf("%0.f admitted under the next home", got)
	}
}

func TestADaemonThatIsNotTheHomeSaysSo(t *testing.T) {
	f := newFleet(t, 6)
	home, _ := quota.NewRoutes(f.members).Top("a")
	for i, m := range f.members {
		if m.Host == home.Host {
			continue
		}
		report := &peerpb.QuotaReport{Format: Format, From: "x", Demands: []*peerpb.QuotaDemand{{Customer: "a", TokensPerSecond: 5}}}
		if _, err := f.services[i].Report(context.Background(), report); err == nil {
			t.Fatal("it granted")
		}
		report.Incarnation = 99
		if _, err := f.services[i].Report(context.Background(), report); err == nil {
			t.Fatal("it answered for another incarnation")
		}
	}
}

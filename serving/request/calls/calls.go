// Package calls serves calls to plain services.
//
// A call to an idempotent service runs at any daemon and is retried. A call to
// any other service runs at most once, and the package serves it in one of two
// ways.
//
// With a ticket: only the incarnation that minted the ticket ever runs it.
// Each other daemon forwards to that incarnation, and answers may_have_run if
// it cannot be reached or is gone. The promise holds whatever fails; what a
// failure costs is an answer.
//
// With only a key of the caller's: the key's home runs it, under the promise
// that core/process/keys states. A home that is not settled refuses, with a
// ticket that the caller may use if it knows that it never sent the call.
//
// The verdict of a failure covers the call and not only this send of it. A
// daemon that refuses a send which brings a ticket or a key, without being the
// owner or the settled home, therefore says may_have_run: an earlier send may
// have run. Only a send without either, the owner and the settled home say
// not_run.
//
// Calls in flight outlive their callers: a resend joins them or is given the
// kept answer.
package calls

import (
	"context"
	"io"
	"sync"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/keys"
	"carobspoke.example/core/process/owned"
	"carobspoke.example/core/request/ticket"
	"carobspoke.example/core/verdict"
	"carobspoke.example/serving/connection/targetapi"
	"carobspoke.example/serving/request/retries"
)

// Limits bound calls.
type Limits struct {
	// BodyBytes is the longest body of a call, in bytes.
	BodyBytes int64
	// Timeout is the time of a call that names none; MaxTimeout the longest
	// that it may name.
	Timeout    time.Duration
	MaxTimeout time.Duration
	// TicketLifetime is how long a ticket may be used.
	TicketLifetime time.Duration
	// Owned bounds the table of calls that this daemon remembers.
	Owned owned.Limits
}

// DefaultLimits returns the limits of this release.
func DefaultLimits() Limits {
	return Limits{
		BodyBytes:      1 << 20,
		Timeout:        30 * time.Second,
		MaxTimeout:     5 * time.Minute,
		TicketLifetime: 10 * time.Minute,
		Owned: owned.Limits{
			Calls:            32 << 10,
			CallsPerCustomer: 8 << 10,
			AnswerBytes:      16 << 20,
		},
	}
}

// Self is this incarnation of the daemon.
type Self struct {
	// Host is the address at which other daemons reach this one.
	Host        names.Host
	Incarnation names.Incarnation
	// Started is when the incarnation started, with a monotonic reading.
	Started time.Time
}

// Directory answers from the manifest in force. Its errors are *verdict.Error.
type Directory interface {
	// Service returns a service that the customer may call.
	Service(customer names.Customer, service names.Service) (Service, error)
}

// Service is what the manifest says of a service.
type Service struct {
	Idempotent bool
	// Version is the manifest's version.
	Version names.Version
}

// Picker chooses replicas of services. Its errors are *verdict.Error with
// NotRun.
type Picker interface {
	// Pick returns a replica to call. It prefers those not in tried.
	Pick(service names.Service, tried []names.Target) (names.Target, targetapi.Service, error)
}

// Deps is what a Server needs. All of it is safe for concurrent use.
type Deps struct {
	Self         Self
	Limits       Limits
	Clock        func() time.Time
	Random       io.Reader
	Ring         func() *ticket.Keyring
	Authenticate func(authorization string) (names.Customer, error)
	Directory    Directory
	Picker       Picker
	Peers        Peers
	Retries      *retries.Retries
	// Ready returns nil if the daemon mints tickets: one that is about to leave
	// would take the calls' answers with it. Nil means that it always does.
	Ready func() error
	// Choose is the choice function of homes of keys.
	Choose keys.ChooseHome
	// Count is told the reason of each failure that a caller is given.
	Count func(verdict.Reason)
	// RequestID returns a number for the logs.
	RequestID func() string
}

// Server implements goa's calls service and the peers' Call. Create it once
// for a process.
type Server struct {
	deps  Deps
	owner *owner

	homesMu sync.Mutex
	homes   *keys.HomeTracker
}

// New returns a server that owns no call and knows no members.
func New(deps Deps) *Server {
	return &Server{
		deps:  deps,
		owner: newOwner(deps.Limits.Owned),
		homes: keys.New(deps.Self.Host, keys.SettleAfter, deps.Choose),
	}
}

// Observe tells the live members, this daemon included, and how many daemons
// the manifest expects. It is to be called at each change of either.
func (s *Server) Observe(members []names.Host, expected int) {
	s.homesMu.Lock()
	defer s.homesMu.Unlock()
	s.homes.SetExpected(expected)
	s.homes.Observe(members, s.age())
}

// tickEvery is the time between two ticks of Run.
const tickEvery = time.Second

// Run ticks until the context ends. A server that does not run settles no key.
func (s *Server) Run(ctx context.Context) {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.Tick()
		case <-ctx.Done():
			return
		}
	}
}

// Tick tells that the process runs. It is to be called about once a second;
// by its absence the server knows that the process was paused.
func (s *Server) Tick() {
	s.homesMu.Lock()
	defer s.homesMu.Unlock()
	s.homes.Heartbeat(s.age())
}

// Owned returns how many calls the daemon remembers, and the size of their
// answers in bytes.
func (s *Server) Owned() (calls, answerBytes int) { return s.owner.size() }

func (s *Server) place(key names.Digest) keys.HomeStatus {
	s.homesMu.Lock()
	defer s.homesMu.Unlock()
	return s.homes.Find(key, s.age())
}

// age is the time since the incarnation started, by the monotonic clock.
func (s *Server) age() time.Duration {
	return s.deps.Clock().Sub(s.deps.Self.Started)
}

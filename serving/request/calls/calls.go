// Package calls serves calls to plain services.
//
// Any daemon runs a call to an idempotent service, and retries it. A call to a
// non-idempotent service runs at most once and needs a ticket or an idempotency
// key.
//
// With a ticket, only the incarnation that minted the ticket, its owner, runs
// the call. Other daemons forward to the owner, and answer may_have_run if the
// owner cannot be reached or is gone. This guarantee holds under every failure;
// a failure can only cost the caller the answer.
//
// With an idempotency key only, the key's home runs the call, under the
// guarantee of core/process/keys. A home that is not settled refuses the call
// and offers a ticket, which the caller may use if it knows that it never sent
// the call before.
//
// A caller may send a call several times. The verdict of a failure covers all
// sends of the call, not only the failed one. A daemon that is neither the owner
// nor the settled home therefore refuses a send with a ticket or a key with
// may_have_run, because an earlier send may have run. Only the owner, the
// settled home, and a daemon that refuses a send without ticket and key answer
// not_run.
//
// A call continues to run when its caller disconnects. A resend waits for the
// running call or gets its stored answer.
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

// Limits are the limits of calls.
type Limits struct {
	// BodyBytes is the maximum size of a call's body, in bytes.
	BodyBytes int64
	// Timeout is the timeout of a call that sets none. MaxTimeout is the
	// maximum; longer timeouts are reduced to it.
	Timeout    time.Duration
	MaxTimeout time.Duration
	// TicketLifetime is the time from the minting of a ticket to its expiry.
	TicketLifetime time.Duration
	// Owned limits the table of non-idempotent calls that this daemon runs or
	// has run.
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

// Self identifies this incarnation of the daemon.
type Self struct {
	// Host is the address at which other daemons reach this one.
	Host        names.Host
	Incarnation names.Incarnation
	// Started is when the incarnation started. It includes a monotonic clock
	// reading.
	Started time.Time
}

// Directory looks up services in the manifest in force. Its errors are
// *verdict.Error.
type Directory interface {
	// Service returns a service, or an error if the customer may not call it.
	Service(customer names.Customer, service names.Service) (Service, error)
}

// Service is a service's entry in the manifest.
type Service struct {
	Idempotent bool
	// Version is the version of the manifest.
	Version names.Version
}

// Picker selects replicas of services. Its errors are *verdict.Error with
// NotRun.
type Picker interface {
	// Pick returns a replica to call and its client. It prefers replicas that
	// are not in tried.
	Pick(service names.Service, tried []names.Target) (names.Target, targetapi.Service, error)
}

// Deps are the dependencies of a Server. All must be safe for concurrent use.
type Deps struct {
	Self         Self
	Limits       Limits
	Clock        func() time.Time
	Random       io.Reader
	Keyring      func() *ticket.Keyring
	Authenticate func(authorization string) (names.Customer, error)
	Directory    Directory
	Picker       Picker
	Peers        Peers
	Retries      *retries.Retries
	// Ready returns nil if the daemon may mint tickets, and otherwise the
	// refusal. A draining daemon must not mint any, because the answers of their
	// calls would be lost when it stops. If Ready is nil, the daemon always may.
	Ready func() error
	// ChooseHome returns the home of an idempotency key.
	ChooseHome keys.ChooseHome
	// CountFailure counts a failure that is returned to a caller, by its reason.
	CountFailure func(verdict.Reason)
	// NewRequestID returns a new request ID, which the caller gets and the logs
	// contain.
	NewRequestID func() string
}

// Server implements goa's calls service and runs calls that peers forward. It
// is safe for concurrent use. A process must have only one, because it holds the
// table of the incarnation's calls.
type Server struct {
	deps  Deps
	owned *ownedCalls

	homesMu sync.Mutex
	homes   *keys.HomeTracker
}

// New returns a server with an empty table of calls and no members.
func New(deps Deps) *Server {
	return &Server{
		deps:  deps,
		owned: newOwnedCalls(deps.Limits.Owned),
		homes: keys.New(deps.Self.Host, keys.SettleAfter, deps.ChooseHome),
	}
}

// SetMembers sets the live members, including this daemon, and the number of
// daemons that the manifest expects. It must be called whenever either changes.
func (s *Server) SetMembers(members []names.Host, expected int) {
	s.homesMu.Lock()
	defer s.homesMu.Unlock()
	s.homes.SetExpected(expected)
	s.homes.Observe(members, s.sinceStart())
}

// heartbeatInterval is the interval at which Run records a heartbeat.
const heartbeatInterval = time.Second

// Run records heartbeats until the context ends. Without them the server becomes
// the settled home of no key.
func (s *Server) Run(ctx context.Context) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.Heartbeat()
		case <-ctx.Done():
			return
		}
	}
}

// Heartbeat records that the process runs. It must be called about once a second; a
// long interval between two calls means that the process was paused.
func (s *Server) Heartbeat() {
	s.homesMu.Lock()
	defer s.homesMu.Unlock()
	s.homes.Heartbeat(s.sinceStart())
}

// OwnedSize returns the number of calls in the table of owned calls, and the
// total size of their stored answers in bytes.
func (s *Server) OwnedSize() (calls, answerBytes int) { return s.owned.size() }

func (s *Server) homeStatus(key names.Digest) keys.HomeStatus {
	s.homesMu.Lock()
	defer s.homesMu.Unlock()
	return s.homes.Find(key, s.sinceStart())
}

// sinceStart returns the time since the incarnation started, on the monotonic
// clock.
func (s *Server) sinceStart() time.Duration {
	return s.deps.Clock().Sub(s.deps.Self.Started)
}

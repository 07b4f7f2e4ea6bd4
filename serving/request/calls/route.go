package calls

import (
	"context"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/keys"
	"carobspoke.example/core/request/retry"
	"carobspoke.example/core/request/ticket"
	"carobspoke.example/core/verdict"
	"carobspoke.example/serving/peerpb"
	"carobspoke.example/serving/request/failure"
)

const (
	// Format is the version of forwarded calls.
	Format = 1
	// maxHops is how often a call is forwarded at most.
	maxHops = 1

	ticketPrefix = "t-"
	keyPrefix    = "k-"
)

// route runs a send here or forwards it to the daemon that may run it.
func (s *Server) route(ctx context.Context, in send) (outcome, error) {
	service, err := s.deps.Directory.Service(in.customer, in.service)
	if err != nil {
		return outcome{}, in.refused(err)
	}
	in.version = service.Version
	switch {
	case service.Idempotent:
		return s.runIdempotent(ctx, in)
	case in.ticket != "":
		return s.routeTicket(ctx, in)
	case in.key != "":
		return s.routeKey(ctx, in)
	default:
		return outcome{}, s.offer(in, verdict.New(verdict.NotRun, verdict.KeyRequired, "calls of this service need a ticket or a key"))
	}
}

// refused returns the failure of a send that its owner or home did not see.
func (in send) refused(err error) error {
	refusal := verdict.From(err)
	if in.ticket == "" && in.key == "" {
		return refusal
	}
	return refusal.WithVerdict(verdict.MayHaveRun)
}

func (s *Server) runIdempotent(ctx context.Context, in send) (outcome, error) {
	ctx, cancel := context.WithDeadline(ctx, in.deadline)
	defer cancel()
	body, err := s.attempts(ctx, in, in.requestID, true, func() error { return nil })
	return outcome{body: body}, err
}

func (s *Server) routeTicket(ctx context.Context, in send) (outcome, error) {
	t, err := s.deps.Ring().OpenCall(in.ticket, in.customer, in.service, s.deps.Clock())
	if err != nil {
		return outcome{}, err
	}
	key := ticket.KeyDigest(in.customer, in.service, in.key)
	if t.Key != "" && key != "" && t.Key != key {
		return outcome{}, verdict.New(verdict.MayHaveRun, verdict.TicketInvalid, "the ticket was minted for another key")
	}
	self := s.deps.Self
	if t.Owner != self.Host {
		return s.forward(ctx, in, t.Owner, t.Incarnation)
	}
	if t.Incarnation != self.Incarnation {
		return outcome{}, ownerGone()
	}
	return s.runOwned(ctx, in, ticketPrefix+t.ID, t.ExpiresAfterStart)
}

func (s *Server) routeKey(ctx context.Context, in send) (outcome, error) {
	key := ticket.KeyDigest(in.customer, in.service, in.key)
	place := s.place(key)
	if place.Home != "" && place.Home != s.deps.Self.Host && !place.Paused {
		out, err := s.forward(ctx, in, place.Home, 0)
		return out, s.offerUnsettled(in, err)
	}
	if !place.Settled || place.Paused {
		refusal := verdict.New(verdict.MayHaveRun, verdict.KeyHomeUnsettled,
			"this send did not run; it is not known whether an earlier one with the key did")
		return outcome{}, s.offer(in, refusal.WithRetryAfter(place.SettledIn))
	}
	out, err := s.runOwned(ctx, in, keyPrefix+string(key), s.age()+keys.DedupWindow)
	return out, keyReason(err)
}

// keyReason names what went wrong as callers that brought a key know it.
func keyReason(err error) error {
	if e := verdict.From(err); e != nil && e.Reason == verdict.TicketUsed {
		return verdict.New(e.Verdict, verdict.KeyInUse, e.Message)
	}
	return err
}

// offerUnsettled adds a ticket to the refusal of a home that is not settled.
func (s *Server) offerUnsettled(in send, err error) error {
	if e := verdict.From(err); e != nil && e.Reason == verdict.KeyHomeUnsettled {
		return s.offer(in, e)
	}
	return err
}

// offer adds a ticket of this daemon to a failure. Only the daemon that the
// caller speaks to offers one.
func (s *Server) offer(in send, refusal *verdict.Error) error {
	if in.hops > 0 {
		return refusal
	}
	text, _, err := s.mint(in.customer, in.service, in.key)
	if err != nil {
		return refusal
	}
	return &failure.Ticketed{Cause: refusal, Ticket: text}
}

func ownerGone() *verdict.Error {
	return verdict.New(verdict.MayHaveRun, verdict.TicketOwnerGone, "the daemon that could run this ticket is gone; an earlier send may have run")
}

// forward passes a send to the daemon that may run it; incarnation is zero if
// any may. A connection that fails is tried again: whatever became of the first
// try, the receiver knows the call by its ticket or key and runs it once.
func (s *Server) forward(ctx context.Context, in send, host names.Host, incarnation names.Incarnation) (outcome, error) {
	if in.hops >= maxHops {
		return outcome{}, verdict.New(verdict.MayHaveRun, verdict.HopLimit, "the daemons disagree about who runs the call")
	}
	ctx, cancel := context.WithDeadline(ctx, in.deadline)
	defer cancel()
	for made := 1; ; made++ {
		out, err := s.forwardOnce(ctx, in, host, incarnation)
		if err == nil || !peerFailed(err) {
			return out, err
		}
		err = s.deps.Retries.Next(ctx, retry.Attempt{
			Count:      made,
			Failure:    verdict.From(err),
			Idempotent: true,
			Deadline:   in.deadline,
		})
		if err != nil {
			return outcome{}, in.refused(err)
		}
	}
}

// peerFailed reports whether a send failed between the daemons. Failures that
// the receiver answers with have other reasons.
func peerFailed(err error) bool {
	reason := verdict.From(err).Reason
	return reason == verdict.PeerUnreachable || reason == verdict.PeerFailed
}

func (s *Server) forwardOnce(ctx context.Context, in send, host names.Host, incarnation names.Incarnation) (outcome, error) {
	if incarnation != 0 && s.deps.Peers.Gone(host, incarnation) {
		return outcome{}, ownerGone()
	}
	left := in.deadline.Sub(s.deps.Clock())
	if left <= 0 {
		return outcome{}, verdict.New(verdict.MayHaveRun, verdict.DeadlineExceeded, "the call's time has passed")
	}
	reply, err := s.deps.Peers.Call(ctx, host, &peerpb.CallRequest{
		Format:      Format,
		RequestId:   in.requestID,
		Customer:    string(in.customer),
		Service:     string(in.service),
		Body:        in.body,
		TimeoutMs:   left.Milliseconds(),
		Version:     uint64(in.version),
		Hops:        in.hops + 1,
		Ticket:      in.ticket,
		Key:         in.key,
		Incarnation: uint64(incarnation),
	})
	if err != nil {
		return outcome{}, in.refused(err)
	}
	if reply.GetFailure() != nil {
		return outcome{}, fromWire(reply.GetFailure())
	}
	return outcome{body: reply.GetBody(), replayed: reply.GetReplayed()}, nil
}

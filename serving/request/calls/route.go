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
	// FormatVersion is the version of the message that forwards a call.
	FormatVersion = 1
	// maxHops is the maximum number of times a call is forwarded.
	maxHops = 1

	// Prefixes of the IDs of calls, by what identifies the call.
	ticketCallPrefix = "t-"
	keyCallPrefix    = "k-"
)

// route runs a call, or forwards it to the daemon that may run it.
func (s *Server) route(ctx context.Context, in send) (outcome, error) {
	service, err := s.deps.Directory.Service(in.customer, in.service)
	if err != nil {
		return outcome{}, in.failedBeforeOwner(err)
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
		return outcome{}, s.withTicket(in, verdict.New(verdict.NotRun, verdict.KeyRequired, "calls of this service need a ticket or a key"))
	}
}

// failedBeforeOwner returns the failure of a send that its owner or home did not
// process. If the send has a ticket or a key, the verdict is MayHaveRun, because
// an earlier send may have run.
func (in send) failedBeforeOwner(err error) error {
	refusal := verdict.From(err)
	if in.ticket == "" && in.key == "" {
		return refusal
	}
	return refusal.WithVerdict(verdict.MayHaveRun)
}

func (s *Server) runIdempotent(ctx context.Context, in send) (outcome, error) {
	ctx, cancel := context.WithDeadline(ctx, in.deadline)
	defer cancel()
	body, err := s.callWithRetries(ctx, in, in.requestID, true, func() error { return nil })
	return outcome{body: body}, err
}

// routeTicket runs a call that has a ticket, or forwards it to the ticket's owner.
func (s *Server) routeTicket(ctx context.Context, in send) (outcome, error) {
	t, err := s.deps.Keyring().OpenCall(in.ticket, in.customer, in.service, s.deps.Clock())
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
		return outcome{}, ownerGoneError()
	}
	return s.runOwned(ctx, in, ticketCallPrefix+t.ID, t.ExpiresAfterStart)
}

// routeKey runs a call that has only an idempotency key, or forwards it to the
// key's home.
func (s *Server) routeKey(ctx context.Context, in send) (outcome, error) {
	key := ticket.KeyDigest(in.customer, in.service, in.key)
	status := s.homeStatus(key)
	if status.Home != "" && status.Home != s.deps.Self.Host && !status.Paused {
		result, err := s.forward(ctx, in, status.Home, 0)
		return result, s.withTicketIfUnsettled(in, err)
	}
	if !status.Settled || status.Paused {
		refusal := verdict.New(verdict.MayHaveRun, verdict.KeyHomeUnsettled,
			"this send did not run; it is not known whether an earlier one with the key did")
		return outcome{}, s.withTicket(in, refusal.WithRetryAfter(status.SettledIn))
	}
	result, err := s.runOwned(ctx, in, keyCallPrefix+string(key), s.sinceStart()+keys.DedupWindow)
	return result, keyError(err)
}

// keyError returns the error for a caller that sent a key and no ticket. It
// replaces the reason TicketUsed by KeyInUse.
func keyError(err error) error {
	if e := verdict.From(err); e != nil && e.Reason == verdict.TicketUsed {
		return verdict.New(e.Verdict, verdict.KeyInUse, e.Message)
	}
	return err
}

// withTicketIfUnsettled adds a ticket to the refusal of a home that is not
// settled, and returns other errors unchanged.
func (s *Server) withTicketIfUnsettled(in send, err error) error {
	if e := verdict.From(err); e != nil && e.Reason == verdict.KeyHomeUnsettled {
		return s.withTicket(in, e)
	}
	return err
}

// withTicket adds a ticket of this daemon to a refusal. Only the daemon that
// received the call from its caller adds one. If no ticket can be minted, it
// returns the refusal without one.
func (s *Server) withTicket(in send, refusal *verdict.Error) error {
	if in.hops > 0 {
		return refusal
	}
	text, _, err := s.mint(in.customer, in.service, in.key)
	if err != nil {
		return refusal
	}
	return &failure.TicketError{Cause: refusal, Ticket: text}
}

func ownerGoneError() *verdict.Error {
	return verdict.New(verdict.MayHaveRun, verdict.TicketOwnerGone, "the daemon that could run this ticket is gone; an earlier send may have run")
}

// forward sends a call to the daemon that may run it. incarnation is zero if any
// incarnation of the host may. Connection failures are retried, which is safe
// because the receiver identifies the call by its ticket or key and runs it
// once.
func (s *Server) forward(ctx context.Context, in send, host names.Host, incarnation names.Incarnation) (outcome, error) {
	if in.hops >= maxHops {
		return outcome{}, verdict.New(verdict.MayHaveRun, verdict.HopLimit, "the daemons disagree about who runs the call")
	}
	ctx, cancel := context.WithDeadline(ctx, in.deadline)
	defer cancel()
	for attempts := 1; ; attempts++ {
		result, err := s.forwardOnce(ctx, in, host, incarnation)
		if err == nil || !isPeerFailure(err) {
			return result, err
		}
		err = s.deps.Retries.WaitForRetry(ctx, retry.Attempt{
			Count:      attempts,
			Failure:    verdict.From(err),
			Idempotent: true,
			Deadline:   in.deadline,
		})
		if err != nil {
			return outcome{}, in.failedBeforeOwner(err)
		}
	}
}

// isPeerFailure reports whether forwarding failed between the daemons. Failures
// that the receiver returns have other reasons.
func isPeerFailure(err error) bool {
	reason := verdict.From(err).Reason
	return reason == verdict.PeerUnreachable || reason == verdict.PeerFailed
}

func (s *Server) forwardOnce(ctx context.Context, in send, host names.Host, incarnation names.Incarnation) (outcome, error) {
	if incarnation != 0 && s.deps.Peers.Superseded(host, incarnation) {
		return outcome{}, ownerGoneError()
	}
	remaining := in.deadline.Sub(s.deps.Clock())
	if remaining <= 0 {
		return outcome{}, verdict.New(verdict.MayHaveRun, verdict.DeadlineExceeded, "the call's time has passed")
	}
	reply, err := s.deps.Peers.Call(ctx, host, &peerpb.CallRequest{
		Format:      FormatVersion,
		RequestId:   in.requestID,
		Customer:    string(in.customer),
		Service:     string(in.service),
		Body:        in.body,
		TimeoutMs:   remaining.Milliseconds(),
		Version:     uint64(in.version),
		Hops:        in.hops + 1,
		Ticket:      in.ticket,
		Key:         in.key,
		Incarnation: uint64(incarnation),
	})
	if err != nil {
		return outcome{}, in.failedBeforeOwner(err)
	}
	if reply.GetFailure() != nil {
		return outcome{}, decodeFailure(reply.GetFailure())
	}
	return outcome{body: reply.GetBody(), replayed: reply.GetReplayed()}, nil
}

package calls

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/owned"
	"carobspoke.example/core/request/retry"
	"carobspoke.example/core/target"
	"carobspoke.example/core/verdict"
)

// send is one send of a call, received from a caller or forwarded by a peer.
type send struct {
	requestID string
	customer  names.Customer
	service   names.Service
	ticket    string
	key       string
	body      []byte
	deadline  time.Time
	version   names.Version
	hops      uint32
}

// outcome is the successful answer to a send. replayed is set if an earlier send
// of the call produced it.
type outcome struct {
	body     []byte
	replayed bool
}

// runOwned runs a non-idempotent call that this incarnation owns. The run is not
// cancelled with ctx, because a caller that disconnects may resend the call and
// then gets its answer.
func (s *Server) runOwned(ctx context.Context, in send, id string, expires time.Duration) (outcome, error) {
	sum := sha256.Sum256(in.body)
	call := owned.Call{
		ID:         id,
		Customer:   in.customer,
		BodyDigest: names.Digest(hex.EncodeToString(sum[:])),
		Expires:    expires,
	}
	run := func() owned.Answer {
		ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), in.deadline)
		defer cancel()
		commit := func() error { return s.owned.commit(id, s.sinceStart) }
		body, err := s.callWithRetries(ctx, in, id, false, commit)
		return owned.Answer{Body: body, Failure: verdict.From(err)}
	}
	answer, replayed := s.owned.do(ctx, call, s.sinceStart, run)
	if answer.Failure != nil {
		return outcome{}, answer.Failure
	}
	return outcome{body: answer.Body, replayed: replayed}, nil
}

// callWithRetries calls replicas until one answers or the retry policy allows no
// further attempt. The verdict of its error covers all attempts. commit is called
// immediately before each request is written.
func (s *Server) callWithRetries(ctx context.Context, in send, id string, idempotent bool, commit func() error) ([]byte, error) {
	s.deps.Retries.RecordFirstAttempt()
	var tried []names.Target
	worst := verdict.NotRun
	for attempt := 1; ; attempt++ {
		replica, body, err := s.callReplica(ctx, in, id, attempt, tried, commit)
		if err == nil {
			return body, nil
		}
		failure := verdict.From(err)
		worst = verdict.Join(worst, failure.Verdict)
		if replica != "" {
			tried = append(tried, replica)
		}
		err = s.deps.Retries.WaitForRetry(ctx, retry.Attempt{
			Count:      attempt,
			Failure:    failure,
			Idempotent: idempotent,
			Deadline:   in.deadline,
		})
		if err != nil {
			return nil, verdict.From(err).WithVerdict(worst)
		}
	}
}

// callReplica makes one attempt at one replica, and returns the replica if one
// was selected.
func (s *Server) callReplica(ctx context.Context, in send, id string, attempt int, tried []names.Target, commit func() error) (names.Target, []byte, error) {
	replica, service, err := s.deps.Picker.Pick(in.service, tried)
	if err != nil {
		return "", nil, err
	}
	if err := commit(); err != nil {
		return replica, nil, err
	}
	if ctx.Err() != nil {
		return replica, nil, verdict.Wrap(ctx.Err(), verdict.NotRun, verdict.DeadlineExceeded, "the call's time passed before it was sent")
	}
	reply, err := service.Call(ctx, target.Call{
		ID:       id,
		Attempt:  uint32(attempt),
		Customer: in.customer,
		Key:      in.key,
		Body:     in.body,
		Deadline: in.deadline,
	})
	if err != nil {
		return replica, nil, err
	}
	return replica, reply.Body, replyError(reply.Status)
}

// replyError returns the error for a reply with the given HTTP status, or nil for
// 2xx. Its verdict is MayHaveRun, because the service may have acted before it
// replied with an error.
func replyError(status int) error {
	switch status / 100 {
	case 2:
		return nil
	case 4:
		return verdict.Newf(verdict.MayHaveRun, verdict.BadRequest, "the service answered with status %d", status)
	default:
		return verdict.Newf(verdict.MayHaveRun, verdict.TargetFailed, "the service answered with status %d", status)
	}
}

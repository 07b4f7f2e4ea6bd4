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

// send is one send of a call, as it came in or was forwarded.
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

// outcome is what a send is answered with.
type outcome struct {
	body     []byte
	replayed bool
}

// runOwned runs a non-idempotent call of which this incarnation decides. The
// run is detached from ctx: a caller that goes away may resend.
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
		commit := func() error { return s.owner.commit(id, s.age) }
		body, err := s.attempts(ctx, in, id, false, commit)
		return owned.Answer{Body: body, Failure: verdict.From(err)}
	}
	answer, replayed := s.owner.do(ctx, call, s.age, run)
	if answer.Failure != nil {
		return outcome{}, answer.Failure
	}
	return outcome{body: answer.Body, replayed: replayed}, nil
}

// attempts calls replicas until one answers or the retry policy ends it.
func (s *Server) attempts(ctx context.Context, in send, id string, idempotent bool, commit func() error) ([]byte, error) {
	s.deps.Retries.Fresh()
	var tried []names.Target
	worst := verdict.NotRun
	for made := 1; ; made++ {
		at, body, err := s.attempt(ctx, in, id, made, tried, commit)
		if err == nil {
			return body, nil
		}
		failure := verdict.From(err)
		worst = verdict.Join(worst, failure.Verdict)
		if at != "" {
			tried = append(tried, at)
		}
		err = s.deps.Retries.Next(ctx, retry.Attempt{
			Count:      made,
			Failure:    failure,
			Idempotent: idempotent,
			Deadline:   in.deadline,
		})
		if err != nil {
			return nil, verdict.From(err).WithVerdict(worst)
		}
	}
}

// attempt calls one replica once.
func (s *Server) attempt(ctx context.Context, in send, id string, made int, tried []names.Target, commit func() error) (names.Target, []byte, error) {
	at, service, err := s.deps.Picker.Pick(in.service, tried)
	if err != nil {
		return "", nil, err
	}
	if err := commit(); err != nil {
		return at, nil, err
	}
	if ctx.Err() != nil {
		return at, nil, verdict.Wrap(ctx.Err(), verdict.NotRun, verdict.DeadlineExceeded, "the call's time passed before it was sent")
	}
	reply, err := service.Call(ctx, target.Call{
		ID:       id,
		Attempt:  uint32(made),
		Customer: in.customer,
		Key:      in.key,
		Body:     in.body,
		Deadline: in.deadline,
	})
	if err != nil {
		return at, nil, err
	}
	return at, reply.Body, replyError(reply.Status)
}

// replyError returns the error of a service's answer that is no success. What
// the service did before it answered so is not known.
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

// Package reserve reserves memory at targets for the duration of a request.
//
// A reservation has a short time to live and is renewed, so that it expires if its
// daemon fails. A target may execute an unanswered order seconds after it was
// sent, even after the release of the reservation. The release is therefore
// repeated until no unanswered order can be executed any more.
package reserve

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/serving/process/atomictime"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// Timing of reservations.
const (
	// TTL is how long a target keeps a reservation that is not renewed. The
	// requirement is that memory stays reserved for at most 4 s after its
	// request ends.
	TTL = 3500 * time.Millisecond
	// renewInterval is the time between renewals. It leaves time for a second
	// attempt within TTL.
	renewInterval = 2 * time.Second
	// orderTimeout is the timeout of an order. Targets normally answer within
	// milliseconds.
	orderTimeout = 600 * time.Millisecond
	// retryInterval is the delay before a failed order is retried.
	retryInterval = 300 * time.Millisecond
	// releaseTimeout is how long a failing release is retried. At a target that
	// is unreachable for longer, the reservation has expired.
	releaseTimeout = 2 * TTL
	// MaxOrderDelay is the maximum time between the sending of an order and its
	// execution by the target.
	MaxOrderDelay = 12500 * time.Millisecond
	// repeatReleaseInterval is the time between releases while an unanswered
	// order may still be executed. It limits how long such an order keeps memory
	// reserved.
	repeatReleaseInterval = 1500 * time.Millisecond
)

// ErrTargetGone means that the target which held the reservation no longer exists,
// so that there is no memory to release.
var ErrTargetGone = errors.New("reserve: the target is gone")

// ErrNotSent means that an order was not sent, because the target takes none for now.
var ErrNotSent = errors.New("reserve: the order was not sent")

// Orders sends orders to targets. Its methods make one attempt.
type Orders interface {
	Reserve(ctx context.Context, address string, target names.Target, id string, tokens int, hold time.Duration) error
	Release(ctx context.Context, address string, target names.Target, id string) error
}

// Manager makes, renews and releases reservations. It is safe for concurrent use.
type Manager struct {
	orders Orders
	owner  string
	log    *zap.Logger
	lastID atomic.Uint64

	mu     sync.Mutex
	active map[string]*reservation
}

// reservation is memory reserved at one target.
type reservation struct {
	address string
	target  names.Target
	id      string
	tokens  int
	cancel  context.CancelFunc
	// renewalsEnded is closed when no renewal is in flight any more. A renewal
	// that arrives after the release would reserve the memory again.
	renewalsEnded chan struct{}
	// lastUnanswered is a time at which the last reserve order that failed had been sent.
	lastUnanswered atomictime.Time
}

// New returns a manager. The IDs of its reservations begin with owner, which must
// be unique among all incarnations of all daemons.
func New(orders Orders, owner string, log *zap.Logger) *Manager {
	return &Manager{orders: orders, owner: owner, log: log, active: make(map[string]*reservation)}
}

// Reserve reserves memory for tokens at a target, keeps the reservation until
// Release, and returns its ID. If it fails, it releases in the background what the
// target may have reserved.
func (m *Manager) Reserve(ctx context.Context, address string, target names.Target, tokens int) (string, error) {
	renewContext, cancel := context.WithCancel(context.WithoutCancel(ctx))
	r := &reservation{
		address: address, target: target, id: fmt.Sprintf("%s-%d", m.owner, m.lastID.Add(1)), tokens: tokens, cancel: cancel,
		renewalsEnded: make(chan struct{}),
	}
	if err := m.sendReserve(ctx, r); err != nil {
		cancel()
		close(r.renewalsEnded)
		if !errors.Is(err, ErrNotSent) {
			go m.release(r)
		}
		return "", err
	}
	m.mu.Lock()
	m.active[r.id] = r
	m.mu.Unlock()
	go m.renew(renewContext, r)
	return r.id, nil
}

// Release ends a reservation. It returns before the target has released the memory.
// Unknown IDs are ignored.
func (m *Manager) Release(id string) {
	m.mu.Lock()
	r, ok := m.active[id]
	delete(m.active, id)
	m.mu.Unlock()
	if ok {
		r.cancel()
		go m.release(r)
	}
}

func (m *Manager) sendReserve(ctx context.Context, r *reservation) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := m.orders.Reserve(ctx, r.address, r.target, r.id, r.tokens, TTL)
	if err != nil && !errors.Is(err, ErrNotSent) {
		r.lastUnanswered.Set(time.Now()) // the order may have waited for its connection
	}
	return err
}

func (m *Manager) renew(ctx context.Context, r *reservation) {
	defer close(r.renewalsEnded)
	wait := renewInterval
	for sleep(ctx, wait) {
		wait = renewInterval
		if err := m.sendReserve(context.WithoutCancel(ctx), r); err != nil {
			wait = retryInterval
			m.log.Warn("reservation not renewed", zap.String("target", string(r.target)), zap.String("reservation", r.id), zap.String("error", err.Error()))
		}
	}
}

// release sends release orders until the target has confirmed one and no unanswered
// order can reserve the memory again.
func (m *Manager) release(r *reservation) {
	<-r.renewalsEnded
	ctx := context.Background()
	started := time.Now()
	for {
		latestExecution := r.lastUnanswered.Get().Add(MaxOrderDelay)
		err := m.sendRelease(ctx, r)
		now := time.Now()
		wait := repeatReleaseInterval
		switch {
		case errors.Is(err, ErrTargetGone), err == nil && now.After(latestExecution):
			return
		case err != nil && now.Sub(started) > releaseTimeout && now.After(latestExecution):
			m.log.Warn("reservation not released, it has lapsed", zap.String("target", string(r.target)), zap.String("reservation", r.id), zap.String("error", err.Error()))
			return
		case err != nil:
			wait = retryInterval
		}
		sleep(ctx, wait)
	}
}

func (m *Manager) sendRelease(ctx context.Context, r *reservation) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return m.orders.Release(ctx, r.address, r.target, r.id)
}

// sleep waits for d, and reports whether it elapsed before ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

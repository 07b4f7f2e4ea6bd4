// Package reserve keeps memory set aside at targets for as long as a request
// needs it, and no longer.
//
// A reservation is short and renewed, so that one whose daemon dies lapses by
// itself. An order that was not answered may be carried out seconds later, also
// after the release: it is released again until that can no longer be.
package reserve

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/serving/process/moment"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// Timing of reservations.
const (
	// Hold is how long a target keeps a reservation that is not renewed. The
	// users allow memory to stay set aside for 4 s after its request.
	Hold = 3500 * time.Millisecond
	// renewEvery leaves time for a second try within Hold.
	renewEvery = 2 * time.Second
	// orderTimeout bounds an order; targets answer within milliseconds.
	orderTimeout = 600 * time.Millisecond
	// retryEvery is the pause after an order that failed.
	retryEvery = 300 * time.Millisecond
	// releaseFor is how long a release is tried: a target that is cut off for
	// longer has let the reservation lapse.
	releaseFor = 2 * Hold
	// LateOrders is how long after it was sent an order may be carried out.
	LateOrders = 12500 * time.Millisecond
	// againEvery is the time between releases while a late order may come; it
	// bounds how long one sets memory aside.
	againEvery = 1500 * time.Millisecond
)

// ErrGone says that the target which held the reservation is gone, and the
// memory with it.
var ErrGone = errors.New("reserve: the target is gone")

// Orders sends single orders to targets.
type Orders interface {
	Reserve(ctx context.Context, address string, target names.Target, id string, tokens int, hold time.Duration) error
	Release(ctx context.Context, address string, target names.Target, id string) error
}

// Keeper keeps reservations. It is safe for concurrent use.
type Keeper struct {
	orders Orders
	owner  string
	log    *zap.Logger
	next   atomic.Uint64

	mu   sync.Mutex
	held map[string]*reservation
}

// reservation is memory at one target.
type reservation struct {
	address string
	target  names.Target
	id      string
	tokens  int
	cancel  context.CancelFunc
	// renewed is closed when no renewal is under way any more: one that
	// arrives after the release would set the memory aside again.
	renewed chan struct{}
	// unanswered is when the last order without an answer was sent.
	unanswered moment.AtomicTime
}

// New returns a keeper whose reservations begin with the owner's name, which is
// unique among daemons and their incarnations.
func New(orders Orders, owner string, log *zap.Logger) *Keeper {
	return &Keeper{orders: orders, owner: owner, log: log, held: make(map[string]*reservation)}
}

// Reserve sets memory aside and returns the reservation's name. If it fails,
// nothing stays set aside.
func (k *Keeper) Reserve(ctx context.Context, address string, target names.Target, tokens int) (string, error) {
	renewing, cancel := context.WithCancel(context.WithoutCancel(ctx))
	r := &reservation{
		address: address, target: target, id: fmt.Sprintf("%s-%d", k.owner, k.next.Add(1)), tokens: tokens, cancel: cancel,
		renewed: make(chan struct{}),
	}
	if err := k.order(ctx, r); err != nil {
		cancel()
		close(r.renewed)
		go k.release(r)
		return "", err
	}
	k.mu.Lock()
	k.held[r.id] = r
	k.mu.Unlock()
	go k.renew(renewing, r)
	return r.id, nil
}

// Release ends a reservation.
func (k *Keeper) Release(id string) {
	k.mu.Lock()
	r, ok := k.held[id]
	delete(k.held, id)
	k.mu.Unlock()
	if ok {
		r.cancel()
		go k.release(r)
	}
}

func (k *Keeper) order(ctx context.Context, r *reservation) error {
	sent := time.Now()
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := k.orders.Reserve(ctx, r.address, r.target, r.id, r.tokens, Hold)
	if err != nil {
		r.unanswered.Set(sent)
	}
	return err
}

func (k *Keeper) renew(ctx context.Context, r *reservation) {
	defer close(r.renewed)
	wait := renewEvery
	for pause(ctx, wait) {
		wait = renewEvery
		if err := k.order(context.WithoutCancel(ctx), r); err != nil {
			wait = retryEvery
			k.log.Warn("reservation not renewed", zap.String("target", string(r.target)), zap.String("reservation", r.id), zap.String("error", err.Error()))
		}
	}
}

// release releases until the target has said so and no late order can set the
// memory aside again.
func (k *Keeper) release(r *reservation) {
	<-r.renewed
	ctx := context.Background()
	began := time.Now()
	for {
		late := r.unanswered.Get().Add(LateOrders)
		err := k.releaseOnce(ctx, r)
		now := time.Now()
		wait := againEvery
		switch {
		case errors.Is(err, ErrGone), err == nil && now.After(late):
			return
		case err != nil && now.Sub(began) > releaseFor && now.After(late):
			k.log.Warn("reservation not released, it has lapsed", zap.String("target", string(r.target)), zap.String("reservation", r.id), zap.String("error", err.Error()))
			return
		case err != nil:
			wait = retryEvery
		}
		pause(ctx, wait)
	}
}

func (k *Keeper) releaseOnce(ctx context.Context, r *reservation) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return k.orders.Release(ctx, r.address, r.target, r.id)
}

// pause waits and reports whether ctx goes on.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

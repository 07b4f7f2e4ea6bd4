package engine

import (
	"context"
	"net/http"
	"net/url"
	"slices"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/target"
	"github.com/pkg/errors"
)

// loadRetry is the pause between attempts to read weights.
const loadRetry = 20 * time.Millisecond

var errOldFence = errors.New("old fencing number")

// serving is what the engine serves and was ordered to serve.
type serving struct {
	state target.State
	fence uint64
	want  target.State
	// cancel ends the load that runs; nil if none does.
	cancel context.CancelFunc
	orders []target.Order
}

// adapter is a loaded adapter, or one being loaded.
type adapter struct {
	readyAt time.Time
	used    time.Time
}

// Orders returns the orders that the engine obeyed, in order.
func (e *Server) Orders() []target.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]target.Order(nil), e.serves.orders...)
}

// order obeys an order or refuses it for its fencing number. It returns before
// the weights are read.
func (e *Server) order(o target.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.config.Fencing && o.Fence < e.serves.fence {
		return errOldFence
	}
	if e.config.Fencing {
		e.serves.fence = o.Fence
	}
	e.serves.orders = append(e.serves.orders, o)
	e.obeyLocked(o.Want)
	return nil
}

func (e *Server) obeyLocked(want target.State) {
	want.Loading = false
	if sameWeights(want, e.serves.want) && e.serves.cancel != nil {
		e.serves.want = want
		return
	}
	if e.serves.cancel != nil {
		e.serves.cancel()
		e.serves.cancel = nil
	}
	e.serves.want = want
	if sameWeights(want, e.serves.state) && !e.serves.state.Loading {
		e.serves.state = want
		return
	}
	e.unloadLocked()
	ctx, cancel := context.WithCancel(context.Background())
	e.serves.cancel = cancel
	go e.load(ctx, want)
}

// unloadLocked cuts what runs: new weights leave no KV blocks of use.
func (e *Server) unloadLocked() {
	for _, s := range e.streams {
		e.failLocked(s, FailureUnloaded)
	}
	e.clearLocked()
	e.serves.state.Loading = true
}

func (e *Server) load(ctx context.Context, want target.State) {
	for {
		err := e.readWeights(ctx, want)
		if err == nil {
			break
		}
		if ctx.Err() != nil || e.stopped() {
			return
		}
		time.Sleep(loadRetry)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	e.serves.state = e.serves.want
	e.serves.cancel()
	e.serves.cancel = nil
}

// readWeights returns when the weights were read from the store.
func (e *Server) readWeights(ctx context.Context, want target.State) error {
	if e.config.WeightStore == "" {
		time.Sleep(e.config.scaled(e.config.LoadTime))
		return nil
	}
	address := "http://" + e.config.WeightStore + "/v1/weights/" +
		url.PathEscape(string(want.Model)) + "/" + url.PathEscape(want.Version)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, http.NoBody)
	if err != nil {
		return errors.WithStack(err)
	}
	response, err := e.client.Do(request)
	if err != nil {
		return errors.Wrap(err, "weights")
	}
	defer response.Body.Close() //nolint:errcheck // the body is of no use
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("weights: status %d", response.StatusCode)
	}
	return nil
}

// restartServingLocked is what a restart does to orders: a load is lost, the
// engine serves what it served when it was first started, and the highest
// fencing number is kept with the engine's own settings.
func (e *Server) restartServingLocked() {
	if e.serves.cancel != nil {
		e.serves.cancel()
		e.serves.cancel = nil
	}
	e.serves.state = e.config.State
	e.serves.want = e.config.State
}

func sameWeights(a, b target.State) bool {
	return a.Model == b.Model && a.Version == b.Version
}

// adapterReadyLocked loads an adapter on demand, in place of the one that was
// unused longest, and returns when it is ready.
func (e *Server) adapterReadyLocked(name names.Adapter, now time.Time) time.Time {
	if name == "" || slices.Contains(e.serves.state.Adapters, name) {
		return now
	}
	loaded, ok := e.adapters[name]
	if !ok {
		if len(e.adapters) >= e.config.MaxAdapters {
			delete(e.adapters, e.oldestAdapterLocked())
		}
		loaded = &adapter{readyAt: now.Add(e.config.scaled(e.config.AdapterLoad))}
		e.adapters[name] = loaded
	}
	loaded.used = now
	return loaded.readyAt
}

func (e *Server) oldestAdapterLocked() names.Adapter {
	var oldest names.Adapter
	var used time.Time
	for name, a := range e.adapters {
		if oldest == "" || a.used.Before(used) || (a.used.Equal(used) && name < oldest) {
			oldest, used = name, a.used
		}
	}
	return oldest
}

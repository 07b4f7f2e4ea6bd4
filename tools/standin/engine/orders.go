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

// loadRetryDelay is the delay before another attempt to fetch weights.
const loadRetryDelay = 20 * time.Millisecond

var errStaleFence = errors.New("old fencing number")

// servingState is what the engine currently serves and what it was ordered to
// serve.
type servingState struct {
	state    target.State
	maxFence uint64
	desired  target.State
	// cancelLoad cancels the load in progress; nil if there is none.
	cancelLoad context.CancelFunc
	orders     []target.Order
}

// adapter is an adapter that is loaded or being loaded.
type adapter struct {
	readyAt  time.Time
	lastUsed time.Time
}

// AcceptedOrders returns the orders that the engine accepted, oldest first.
func (e *Server) AcceptedOrders() []target.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]target.Order(nil), e.serving.orders...)
}

// applyOrder applies an order, or refuses it with errStaleFence if its fencing
// token is stale. It does not wait for the weights to be loaded.
func (e *Server) applyOrder(o target.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.config.Fencing && o.Fence < e.serving.maxFence {
		return errStaleFence
	}
	if e.config.Fencing {
		e.serving.maxFence = o.Fence
	}
	e.serving.orders = append(e.serving.orders, o)
	e.applyDesiredLocked(o.Want)
	return nil
}

// applyDesiredLocked starts to load the desired weights and cancels a load of
// others. If the weights are the same, only the rest of the state changes.
func (e *Server) applyDesiredLocked(want target.State) {
	want.Loading = false
	if sameWeights(want, e.serving.desired) && e.serving.cancelLoad != nil {
		e.serving.desired = want
		return
	}
	if e.serving.cancelLoad != nil {
		e.serving.cancelLoad()
		e.serving.cancelLoad = nil
	}
	e.serving.desired = want
	if sameWeights(want, e.serving.state) && !e.serving.state.Loading {
		e.serving.state = want
		return
	}
	e.unloadLocked()
	ctx, cancel := context.WithCancel(context.Background())
	e.serving.cancelLoad = cancel
	go e.load(ctx, want)
}

// unloadLocked fails all streams and clears the memory, because KV blocks are not
// usable with other weights.
func (e *Server) unloadLocked() {
	for _, s := range e.streams {
		e.failLocked(s, FailureUnloaded)
	}
	e.clearLocked()
	e.serving.state.Loading = true
}

// load fetches the desired weights, retrying after errors, and then serves them.
func (e *Server) load(ctx context.Context, want target.State) {
	for {
		err := e.fetchWeights(ctx, want)
		if err == nil {
			break
		}
		if ctx.Err() != nil || e.stopped() {
			return
		}
		time.Sleep(loadRetryDelay)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	e.serving.state = e.serving.desired
	e.serving.cancelLoad()
	e.serving.cancelLoad = nil
}

// fetchWeights fetches the weights from the store. Without a store it sleeps for
// LoadTime.
func (e *Server) fetchWeights(ctx context.Context, want target.State) error {
	if e.config.WeightStore == "" {
		time.Sleep(e.config.toRealTime(e.config.LoadTime))
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
	defer response.Body.Close() //nolint:errcheck // the body is not used
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("weights: status %d", response.StatusCode)
	}
	return nil
}

// resetServingLocked applies the effects of a restart: a load in progress is
// cancelled and the engine serves its initial state again. The highest fencing
// token stays, because an engine stores it with its settings.
func (e *Server) resetServingLocked() {
	if e.serving.cancelLoad != nil {
		e.serving.cancelLoad()
		e.serving.cancelLoad = nil
	}
	e.serving.state = e.config.State
	e.serving.desired = e.config.State
}

func sameWeights(a, b target.State) bool {
	return a.Model == b.Model && a.Version == b.Version
}

// adapterReadyLocked returns the time at which an adapter is ready. It loads the
// adapter if needed and evicts the least recently used one if MaxAdapters are
// loaded.
func (e *Server) adapterReadyLocked(name names.Adapter, now time.Time) time.Time {
	if name == "" || slices.Contains(e.serving.state.Adapters, name) {
		return now
	}
	loaded, ok := e.adapters[name]
	if !ok {
		if len(e.adapters) >= e.config.MaxAdapters {
			delete(e.adapters, e.lruAdapterLocked())
		}
		loaded = &adapter{readyAt: now.Add(e.config.toRealTime(e.config.AdapterLoadTime))}
		e.adapters[name] = loaded
	}
	loaded.lastUsed = now
	return loaded.readyAt
}

// lruAdapterLocked returns the least recently used adapter, and the first by name
// of several.
func (e *Server) lruAdapterLocked() names.Adapter {
	var oldest names.Adapter
	var used time.Time
	for name, a := range e.adapters {
		if oldest == "" || a.lastUsed.Before(used) || (a.lastUsed.Equal(used) && name < oldest) {
			oldest, used = name, a.lastUsed
		}
	}
	return oldest
}

package retry

// Defaults of a budget.
const (
	// DefaultShare is the number of retries allowed per first attempt when the
	// manifest sets none.
	DefaultShare = 0.1
	// Burst is the default capacity of a budget, in retries.
	Burst = 100
)

// Budget limits retries to a share of first attempts. It is a token bucket: each
// first attempt adds share tokens and each retry takes one, so that retries never
// exceed share*attempts + Burst, however many requests fail. A Budget is not safe
// for concurrent use.
type Budget struct {
	share    float64
	capacity float64
	tokens   float64
}

// NewBudget returns a full budget. A share of zero means DefaultShare.
func NewBudget(share float64) *Budget {
	b := &Budget{tokens: Burst, capacity: Burst}
	b.SetShare(share)
	return b
}

// SetCapacity sets the capacity of the budget, in retries, and drops the tokens
// that exceed it.
func (b *Budget) SetCapacity(capacity float64) {
	b.capacity = capacity
	b.tokens = min(b.tokens, capacity)
}

// Add adds retries that are independent of first attempts, such as a fixed number
// per time window.
func (b *Budget) Add(retries float64) {
	b.tokens = min(b.capacity, b.tokens+retries)
}

// SetShare sets the share for later first attempts. Zero means DefaultShare.
func (b *Budget) SetShare(share float64) {
	if share <= 0 {
		share = DefaultShare
	}
	b.share = min(share, 1)
}

// RecordFirstAttempt records a first attempt of a request.
func (b *Budget) RecordFirstAttempt() {
	b.Add(b.share)
}

// Available returns the number of retries that are available.
func (b *Budget) Available() float64 { return b.tokens }

// TryTake takes one retry from the budget and reports whether one was available.
func (b *Budget) TryTake() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

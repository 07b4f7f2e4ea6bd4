package retry

// Limits of a budget.
const (
	// DefaultShare is the share of fresh requests that may be retries when
	// the manifest says nothing.
	DefaultShare = 0.1
	// Burst is the most retries that a budget saves up, unless SetMost says
	// otherwise.
	Burst = 100
)

// Budget lets retries be a share of fresh requests. Each fresh request earns
// a part of a retry and each retry spends a whole one, so that retries can't
// exceed share*fresh + Burst however many requests fail. A Budget is not safe
// for concurrent use.
type Budget struct {
	share float64
	most  float64
	saved float64
}

// NewBudget returns a full budget. A share of zero means DefaultShare.
func NewBudget(share float64) *Budget {
	b := &Budget{saved: Burst, most: Burst}
	b.SetShare(share)
	return b
}

// SetMost bounds what the budget saves up.
func (b *Budget) SetMost(most float64) {
	b.most = most
	b.saved = min(b.saved, most)
}

// Earn adds retries that no fresh request earned, such as a fixed number for
// each span of time.
func (b *Budget) Earn(retries float64) {
	b.saved = min(b.most, b.saved+retries)
}

// SetShare changes the share from now on. Zero means DefaultShare.
func (b *Budget) SetShare(share float64) {
	if share <= 0 {
		share = DefaultShare
	}
	b.share = min(share, 1)
}

// Fresh counts a request that is sent for the first time.
func (b *Budget) Fresh() {
	b.Earn(b.share)
}

// Left returns how many retries are saved up.
func (b *Budget) Left() float64 { return b.saved }

// Take spends a retry, or reports false if there is none.
func (b *Budget) Take() bool {
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}

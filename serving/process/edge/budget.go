package edge

import (
	"math/rand/v2"
	"sync"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/request/retry"
)

// Division of the fleet's retry budget among its daemons.
const (
	// budgetShare is the share of the budget that all daemons use together.
	// The rest is a margin for requests that are counted late.
	budgetShare = 0.85
	// peerDiscoveryTime is how long after its start a daemon may not know all
	// peers yet. Until then it takes no share of the slack, because the slack
	// is divided by the number of known daemons, except for firstRetries.
	peerDiscoveryTime = 5 * time.Second
	// firstRetries is the number of retries that a daemon has from firstRetryTime
	// after its start: the seconds after a common start are those in which targets
	// refuse most. It has them only if the slack suffices for unknownFactor times the
	// daemons that it knows by then.
	firstRetries   = 1
	firstRetryTime = 500 * time.Millisecond
	unknownFactor  = 3
)

// budgets holds this daemon's share of the fleet's retry budget of each service.
// The slack is divided by the largest number of daemons seen, so that the sides of
// a partition do not each use all of it. It is safe for concurrent use.
type budgets struct {
	settings  *Settings
	hostCount func() int

	mu       sync.Mutex
	services map[names.Service]*budget
	started  time.Time
	maxHosts int
	random   *rand.Rand
}

// budget is the retry budget of one service.
type budget struct {
	*retry.Budget
	// updated is when the slack was last added.
	updated time.Time
	// hasFirst is true once the first retries were added.
	hasFirst bool
}

func newBudgets(s *Settings, hosts func() int, random *rand.Rand) *budgets {
	return &budgets{settings: s, hostCount: hosts, services: make(map[names.Service]*budget), started: time.Now(), maxHosts: 1, random: random}
}

// get returns the budget of a service after adding the slack for the time since
// the last call. Half of this daemon's share of the slack of a window is the
// capacity of the budget, the other half is added over the window. The caller must
// hold b.mu.
func (b *budgets) get(service names.Service, now time.Time) *budget {
	b.maxHosts = max(b.maxHosts, b.hostCount())
	slack := budgetShare * b.settings.RetrySlack / float64(b.maxHosts)
	found, ok := b.services[service]
	if !ok {
		found = &budget{Budget: retry.NewBudget(budgetShare * b.settings.RetryRatio), updated: now}
		found.SetCapacity(0)
		b.services[service] = found
	}
	found.SetCapacity(max(slack/2, 1))
	age := now.Sub(b.started)
	if !found.hasFirst && age > firstRetryTime && firstRetries <= slack/unknownFactor {
		found.Add(firstRetries)
		found.hasFirst = true
	}
	if age > peerDiscoveryTime {
		found.Add(slack / 2 * now.Sub(found.updated).Seconds() / b.settings.RetryWindow.Seconds())
	}
	found.updated = now
	return found
}

// available returns the number of retries available in the budget of each service.
func (b *budgets) available() map[names.Service]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	left := make(map[names.Service]float64, len(b.services))
	for service, budget := range b.services {
		left[service] = budget.Available()
	}
	return left
}

// RecordFirstAttempt implements relay.Budget.
func (b *budgets) RecordFirstAttempt(service names.Service) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.get(service, time.Now()).RecordFirstAttempt()
}

// Decide implements relay.Budget.
func (b *budgets) Decide(service names.Service, p retry.Policy, a retry.Attempt) retry.Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	return p.Decide(a, b.get(service, now).Budget, now, b.random)
}

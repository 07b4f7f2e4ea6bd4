package edge

import (
	"math/rand/v2"
	"sync"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/request/retry"
)

// Shares of the fleet's retry budget.
const (
	// budgetPart is what the daemons use of the budget together, so that
	// late counting does not exceed it.
	budgetPart = 0.85
	// settle is how long after its start a daemon may still miss peers. It
	// takes no part of the fixed slack until then, which is divided by the
	// number of daemons.
	settle = 5 * time.Second
)

// budgets keeps a retry budget for each service: the daemon's part of the
// fleet's. The part follows the largest number of daemons seen, so that the
// sides of a partition do not each take the whole.
type budgets struct {
	settings *Settings
	hosts    func() int

	mu       sync.Mutex
	services map[names.Service]*budget
	started  time.Time
	most     int
	random   *rand.Rand
}

type budget struct {
	*retry.Budget
	at time.Time
}

func newBudgets(s *Settings, hosts func() int, random *rand.Rand) *budgets {
	return &budgets{settings: s, hosts: hosts, services: make(map[names.Service]*budget), started: time.Now(), most: 1, random: random}
}

// get returns a service's budget, with what time has earned. The slack of one
// window is split: half is saved up at most, half is earned over the window.
func (b *budgets) get(service names.Service, now time.Time) *budget {
	b.most = max(b.most, b.hosts())
	slack := budgetPart * b.settings.RetrySlack / float64(b.most)
	found, ok := b.services[service]
	if !ok {
		found = &budget{Budget: retry.NewBudget(budgetPart * b.settings.RetryRatio), at: now}
		found.SetCapacity(0)
		b.services[service] = found
	}
	found.SetCapacity(max(slack/2, 1))
	if now.Sub(b.started) > settle {
		found.Add(slack / 2 * now.Sub(found.at).Seconds() / b.settings.RetryWindow.Seconds())
	}
	found.at = now
	return found
}

// left returns how many retries each service's budget holds.
func (b *budgets) left() map[names.Service]float64 {
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

package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/gossip"
)

// payload is what the queue of updates holds: a host whose entry is read when
// it is sent, or a digest.
type payload struct {
	host   names.Host
	digest Digest
}

// Machine is one daemon's view of the fleet.
type Machine struct {
	config   Config
	random   *rand.Rand
	self     Member
	table    *table
	queue    *gossip.Queue[payload]
	seen     *seen
	counters Counters

	now      time.Time
	lastTick time.Time
	sequence uint64
	// pushDue is set while an urgent digest waits, and pushed is when the
	// last push was.
	pushDue bool
	pushed  time.Time
	// allowance is how many bytes may be sent now without deferring updates.
	allowance float64
	probe     probe
	relays    []relay
	suspects  []*entry
	hints     hints
	wake      wake
	sync      syncer
	actions   []Action
	// pulled is true while a page is taken in: what was pulled is not passed
	// on, since others pull it too.
	pulled bool
}

// New returns the view of a daemon that has just started. The caller draws
// self's incarnation; host and data centre come from settings.
func New(config Config, self Member, random *rand.Rand) *Machine {
	m := &Machine{
		config: config,
		random: random,
		self:   self,
		table:  newTable(),
		queue:  gossip.New[payload](limits(1)),
		seen:   newSeen(),
	}
	m.self.Region = m.region(self.DataCentre)
	m.self.State = Alive
	return m
}

// Step takes an event and returns what the shell must do. The actions are
// valid until the next call.
func (m *Machine) Step(now time.Time, event Event) []Action {
	m.actions = m.actions[:0]
	if m.lastTick.IsZero() {
		m.start(now)
	}
	m.now = now
	switch e := event.(type) {
	case Tick:
		m.tick()
	case Receive:
		m.receive(&e.Datagram)
	case Seeds:
		m.hints.set(e.Hosts, m.self.Host)
	case Regions:
		m.setRegions(e.Regions)
	case Publish:
		m.publish(e.Digest)
	case Drain:
		m.drain()
	case Leave:
		m.leave()
	}
	return m.actions
}

// Self returns the daemon's own entry.
func (m *Machine) Self() Member { return m.self }

// Live returns the members that take new work, this daemon among them, sorted
// by host. The slice is shared and must not be changed.
func (m *Machine) Live() []Member {
	if m.table.live == nil {
		m.table.live = m.collect(func(e *entry) bool { return e.Takes() })
		if m.self.Takes() {
			m.table.live = insert(m.table.live, m.self)
		}
	}
	return m.table.live
}

// Unreachable returns the members of other regions that are dead but kept, in
// the order of their hosts. They may be serving on the other side of a
// partition.
func (m *Machine) Unreachable() []Member {
	if len(m.table.ring) == len(m.table.byHost) {
		return nil
	}
	return m.collect(func(e *entry) bool { return e.State == Dead && e.Region != m.self.Region })
}

// Lookup returns the entry of a host.
func (m *Machine) Lookup(h names.Host) (Member, bool) {
	if h == m.self.Host {
		return m.self, true
	}
	e, ok := m.table.byHost[h]
	if !ok {
		return Member{}, false
	}
	return e.Member, true
}

// Counters returns the counters since the start.
func (m *Machine) Counters() Counters { return m.counters }

// QueueCounters returns the counters of the updates of one kind.
func (m *Machine) QueueCounters(k gossip.Kind) gossip.Counters { return m.queue.Counters(k) }

func (m *Machine) collect(want func(*entry) bool) []Member {
	var found []Member
	for _, e := range m.table.all() {
		if want(e) {
			found = append(found, e.Member)
		}
	}
	return found
}

func insert(members []Member, self Member) []Member {
	i, _ := slices.BinarySearchFunc(members, self, func(a, b Member) int { return cmp.Compare(a.Host, b.Host) })
	return slices.Insert(members, i, self)
}

func (m *Machine) region(dc names.DataCentre) names.Region {
	if r, ok := m.config.Regions[dc]; ok {
		return r
	}
	return names.Region(dc)
}

// setRegions gives all entries the regions that a manifest tells.
func (m *Machine) setRegions(regions map[names.DataCentre]names.Region) {
	m.config.Regions = regions
	m.self.Region = m.region(m.self.DataCentre)
	for _, e := range m.table.all() {
		e.Region = m.region(e.DataCentre)
	}
	m.table.live = nil
}

// start sets the clocks of a machine that was never ticked.
func (m *Machine) start(now time.Time) {
	m.now = now
	m.lastTick = now
	m.sequence = m.random.Uint64() >> 16
	m.allowance = float64(m.config.BytesPerSecond)
	m.probe.next = now.Add(m.jitter(m.config.Period))
	m.hints.next = now
	m.sleepEnded(now, true)
}

func (m *Machine) jitter(d time.Duration) time.Duration {
	return time.Duration(m.random.Int64N(int64(d)))
}

func (m *Machine) tick() {
	gap := m.now.Sub(m.lastTick)
	m.lastTick = m.now
	if gap > m.config.PauseAfter {
		m.paused(gap)
	}
	m.allowance = min(m.allowance+gap.Seconds()*float64(m.config.BytesPerSecond), float64(m.config.BytesPerSecond))
	m.push()
	if m.cutOff() {
		m.postpone(gap)
	}
	m.tickProbe()
	m.tickSuspects()
	m.tickHints()
	m.tickSync()
	m.tickWake()
	m.expireRelays()
}

// set gives an entry newer knowledge, tells the shell, and passes it on.
func (m *Machine) set(e *entry, u Member) {
	u.Region = m.region(u.DataCentre)
	u.Version = max(u.Version, e.Version)
	before := e.State
	counted := len(m.table.ring)
	m.table.put(e, u, m.random.IntN)
	switch {
	case u.State == Suspect:
		m.suspected(e)
	case !u.Counted() && before < Dead:
		e.diedAt = m.now
	}
	if digits(counted) != digits(len(m.table.ring)) {
		m.resize()
	}
	if !m.pulled {
		m.pass(u.Host)
		m.hurry(before == Suspect && u.State == Alive)
	}
	m.actions = append(m.actions, Changed{Member: u})
}

// resize sets the queue's limits for the fleet's size.
func (m *Machine) resize() {
	for k, l := range limits(len(m.table.ring)) {
		m.queue.SetLimits(gossip.Kind(k), l)
	}
}

// pass queues a member's entry for gossip.
func (m *Machine) pass(h names.Host) {
	dc := m.self.DataCentre
	if e, ok := m.table.byHost[h]; ok {
		dc = e.DataCentre
	}
	m.queue.Add(gossip.Entry[payload]{
		Kind:  gossip.Member,
		Key:   string(h),
		Bytes: updateBound(h, dc),
		Value: payload{host: h},
	})
}

// hurry pushes a refutation to some members at once, so that it overtakes the
// suspicion. When many members change, each waits for its turn in the queue.
func (m *Machine) hurry(refutation bool) {
	if !refutation || m.queue.Len(gossip.Member) > hurryBelow {
		return
	}
	for _, e := range m.sample(m.config.Fanout) {
		m.send(e.Host, Datagram{Purpose: Push})
	}
}

// hurryBelow is the number of queued member updates above which none is pushed.
const hurryBelow = 8

// announce passes on this daemon's own entry.
func (m *Machine) announce() {
	m.table.live = nil
	m.pass(m.self.Host)
}

// drain announces the change under a new refutation, since it would not
// supersede the entry that the others have.
func (m *Machine) drain() {
	if m.self.Draining {
		return
	}
	m.self.Draining = true
	m.self.Refutation++
	m.announce()
}

func (m *Machine) leave() {
	m.self.State = Left
	m.announce()
	for _, e := range m.sample(m.config.Fanout) {
		m.send(e.Host, Datagram{Purpose: Push})
	}
}

// update returns the state of a host to send, if there is one.
func (m *Machine) update(h names.Host) (Update, bool) {
	if h == m.self.Host {
		return Update{Member: m.self}, true
	}
	e, ok := m.table.byHost[h]
	if !ok {
		return Update{}, false
	}
	return m.updateOf(e), true
}

func (m *Machine) updateOf(e *entry) Update {
	u := Update{Member: e.Member}
	if !e.Counted() {
		u.DeadFor = m.now.Sub(e.diedAt)
	}
	return u
}

// sample returns up to n counted members, chosen at random, each once.
func (m *Machine) sample(n int) []*entry {
	ring := m.table.ring
	if len(ring) <= n {
		return slices.Clone(ring)
	}
	chosen := make([]*entry, 0, n)
	for len(chosen) < n {
		e := ring[m.random.IntN(len(ring))]
		if !slices.Contains(chosen, e) {
			chosen = append(chosen, e)
		}
	}
	return chosen
}

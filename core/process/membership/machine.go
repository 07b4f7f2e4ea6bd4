package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/gossip"
)

// payload is the value of an entry in the gossip queue: either a host, whose
// member entry is read when it is sent, or a digest.
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
	seen     *seenDigests
	counters Counters

	now      time.Time
	lastTick time.Time
	sequence uint64
	// pushPending is true while an urgent digest waits to be pushed, and
	// lastPush is the time of the last push.
	pushPending bool
	lastPush    time.Time
	// byteBudget is how many bytes may be sent now before updates and
	// digests are deferred. It is refilled at Config.BytesPerSecond.
	byteBudget    float64
	probe         probe
	indirectPings []indirectPing
	suspects      []*entry
	seeds         seedHosts
	recovery      recovery
	sync          syncer
	actions       []Action
	// applyingPage is true while the updates of a SyncReply are applied.
	// They are not forwarded as gossip, since other daemons pull them too.
	applyingPage bool
}

// New returns the Machine of a daemon that has just started. The caller chooses
// the incarnation in self.
func New(config Config, self Member, random *rand.Rand) *Machine {
	m := &Machine{
		config: config,
		random: random,
		self:   self,
		table:  newTable(),
		queue:  gossip.New[payload](queueLimits(1)),
		seen:   newSeenDigests(),
	}
	m.self.Region = m.region(self.DataCentre)
	m.self.State = Alive
	return m
}

// Step processes an event and returns the actions that the shell must perform.
// The slice is valid until the next call.
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
		m.seeds.set(e.Hosts, m.self.Host)
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

// Live returns the members that accept new work, including this daemon, sorted
// by host. The slice is shared and must not be modified.
func (m *Machine) Live() []Member {
	if m.table.live == nil {
		m.table.live = m.selectMembers(func(e *entry) bool { return e.AcceptsWork() })
		if m.self.AcceptsWork() {
			m.table.live = insertSorted(m.table.live, m.self)
		}
	}
	return m.table.live
}

// Unreachable returns the dead members of other regions that are retained,
// sorted by host. They may be serving on the other side of a partition.
func (m *Machine) Unreachable() []Member {
	if len(m.table.ring) == len(m.table.byHost) {
		return nil
	}
	return m.selectMembers(func(e *entry) bool { return e.State == Dead && e.Region != m.self.Region })
}

// Lookup returns the entry of a host, and whether there is one.
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

// QueueCounters returns the counters of the gossip queue for one kind of update.
func (m *Machine) QueueCounters(k gossip.Kind) gossip.Counters { return m.queue.Counters(k) }

func (m *Machine) selectMembers(match func(*entry) bool) []Member {
	var selected []Member
	for _, e := range m.table.sortedEntries() {
		if match(e) {
			selected = append(selected, e.Member)
		}
	}
	return selected
}

func insertSorted(members []Member, self Member) []Member {
	i, _ := slices.BinarySearchFunc(members, self, func(a, b Member) int { return cmp.Compare(a.Host, b.Host) })
	return slices.Insert(members, i, self)
}

func (m *Machine) region(dc names.DataCentre) names.Region {
	if r, ok := m.config.Regions[dc]; ok {
		return r
	}
	return names.Region(dc)
}

// setRegions replaces the configured regions and updates those of all entries.
func (m *Machine) setRegions(regions map[names.DataCentre]names.Region) {
	m.config.Regions = regions
	m.self.Region = m.region(m.self.DataCentre)
	for _, e := range m.table.sortedEntries() {
		e.Region = m.region(e.DataCentre)
	}
	m.table.live = nil
}

// start initialises the timers at the first event.
func (m *Machine) start(now time.Time) {
	m.now = now
	m.lastTick = now
	m.sequence = m.random.Uint64() >> 16
	m.byteBudget = float64(m.config.BytesPerSecond)
	m.probe.nextPeriod = now.Add(m.jitter(m.config.Period))
	m.seeds.nextContact = now
	m.startRecovery(now, true)
}

func (m *Machine) jitter(d time.Duration) time.Duration {
	return time.Duration(m.random.Int64N(int64(d)))
}

func (m *Machine) tick() {
	gap := m.now.Sub(m.lastTick)
	m.lastTick = m.now
	if gap > m.config.PauseThreshold {
		m.handlePause(gap)
	}
	m.byteBudget = min(m.byteBudget+gap.Seconds()*float64(m.config.BytesPerSecond), float64(m.config.BytesPerSecond))
	m.pushIfDue()
	if m.detectionSuspended() {
		m.extendSuspicions(gap)
	}
	m.tickProbe()
	m.tickSuspects()
	m.tickContacts()
	m.tickSync()
	m.tickRecovery()
	m.expireIndirectPings()
}

// setMember stores a newer state of a member, reports the change to the shell,
// and queues it for gossip unless it was pulled from a peer.
func (m *Machine) setMember(e *entry, u Member) {
	u.Region = m.region(u.DataCentre)
	u.Version = max(u.Version, e.Version)
	previous := e.State
	activeBefore := len(m.table.ring)
	m.table.put(e, u, m.random.IntN)
	switch {
	case u.State == Suspect:
		m.startSuspicion(e)
	case !u.Active() && previous < Dead:
		e.inactiveSince = m.now
	}
	if decimalDigits(activeBefore) != decimalDigits(len(m.table.ring)) {
		m.resizeQueue()
	}
	if !m.applyingPage {
		m.queueMember(u.Host)
		m.pushRefutation(previous == Suspect && u.State == Alive)
	}
	m.actions = append(m.actions, MemberChanged{Member: u})
}

// resizeQueue adapts the gossip queue's limits to the size of the fleet.
func (m *Machine) resizeQueue() {
	for k, l := range queueLimits(len(m.table.ring)) {
		m.queue.SetLimits(gossip.Kind(k), l)
	}
}

// queueMember queues a member's entry for gossip.
func (m *Machine) queueMember(h names.Host) {
	dc := m.self.DataCentre
	if e, ok := m.table.byHost[h]; ok {
		dc = e.DataCentre
	}
	m.queue.Add(gossip.Entry[payload]{
		Kind:  gossip.Member,
		Key:   string(h),
		Bytes: maxUpdateBytes(h, dc),
		Value: payload{host: h},
	})
}

// pushRefutation pushes queued updates to some members at once if the change is
// a refutation, so that it overtakes the suspicion. When many members change,
// updates wait for their turn in the queue instead.
func (m *Machine) pushRefutation(refuted bool) {
	if !refuted || m.queue.Len(gossip.Member) > maxQueuedForPush {
		return
	}
	for _, e := range m.randomMembers(m.config.Fanout) {
		m.send(e.Host, Datagram{Purpose: Push})
	}
}

// maxQueuedForPush is the number of queued member updates above which a
// refutation is not pushed.
const maxQueuedForPush = 8

// announceSelf queues this daemon's own entry for gossip.
func (m *Machine) announceSelf() {
	m.table.live = nil
	m.queueMember(m.self.Host)
}

// drain announces the change under a higher refutation number, since it would
// otherwise not supersede the entry that the peers have.
func (m *Machine) drain() {
	if m.self.Draining {
		return
	}
	m.self.Draining = true
	m.self.Refutation++
	m.announceSelf()
}

func (m *Machine) leave() {
	m.self.State = Left
	m.announceSelf()
	for _, e := range m.randomMembers(m.config.Fanout) {
		m.send(e.Host, Datagram{Purpose: Push})
	}
}

// updateFor returns the update to send for a host, and false if the host is
// unknown.
func (m *Machine) updateFor(h names.Host) (Update, bool) {
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
	if !e.Active() {
		u.DeadFor = m.now.Sub(e.inactiveSince)
	}
	return u
}

// randomMembers returns up to n distinct active members, chosen at random.
func (m *Machine) randomMembers(n int) []*entry {
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

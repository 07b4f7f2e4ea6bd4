package memory

import "time"

// state is what a connection is doing.
type state uint8

const (
	// idle: no byte of a request has come.
	idle state = iota
	// reading: a head or body is unfinished.
	reading
	// serving: the request is complete and may have been sent to a target.
	serving
	// evicted: the connection is being closed.
	evicted
)

// holder is a connection and the bytes that it uses.
type holder struct {
	id    ID
	group Group
	state state
	// connection, head and body are bytes; see Class.
	connection, head, body int64
	// progressAt is when the connection last made progress or changed its state, pending
	// the bytes received since.
	progressAt time.Time
	pending    int
}

// input returns the bytes of the request.
func (h *holder) input() int64 { return h.head + h.body }

func (h *holder) total() int64 { return h.connection + h.input() }

func (h *holder) large() bool { return h.input() > SmallBytes }

// score orders unfinished input: that with the highest score is given up first. It is the
// size multiplied by the time without progress.
func (h *holder) score(now time.Time) float64 {
	return float64(h.total()) * (now.Sub(h.progressAt) + minStall).Seconds()
}

// Account is the sum of the bytes that callers use.
type Account struct {
	config  Config
	holders map[ID]*holder
	// counts are the open connections of each group, closing those that were evicted and
	// are not closed yet.
	counts, closing [groupCount]int
	used            [classCount]int64
	// large is the input of the requests that exceed SmallBytes.
	large int64
	// leaving is the sum of the bytes of evicted connections; used does not include it.
	leaving int64
}

// New returns an empty account.
func New(c Config) *Account { return &Account{config: c, holders: make(map[ID]*holder)} }

// Limit returns the bound on all bytes.
func (a *Account) Limit() int64 { return a.config.Limit }

// Used returns the bytes of a class. Connections that are being closed do not count.
func (a *Account) Used(c Class) int64 { return a.used[c] }

// Count returns the number of open connections of a group.
func (a *Account) Count(g Group) int { return a.counts[g] }

func (a *Account) total() int64 {
	sum := int64(0)
	for _, bytes := range a.used {
		sum += bytes
	}
	return sum
}

// count adds the bytes of a holder to the sums, or subtracts them if sign is -1.
func (a *Account) count(h *holder, sign int64) {
	if h.state == evicted {
		a.leaving += sign * h.total()
		return
	}
	a.used[Connections] += sign * h.connection
	a.used[Heads] += sign * h.head
	if !h.large() {
		a.used[SmallBodies] += sign * h.body
		return
	}
	a.used[LargeBodies] += sign * h.body
	a.large += sign * h.input()
}

// Open adds a connection that costs this many bytes to a group that may have most
// connections. If the group is full, another of its connections is given up: first the
// unfinished request that has been without progress for longest, and at least for
// stalledAfter, then the connection that has been idle for longest.
func (a *Account) Open(id ID, g Group, bytes int64, most int, now time.Time) Decision {
	var d Decision
	if a.closing[g] > most/releaseShare {
		return d
	}
	if a.counts[g] >= most {
		victim := a.spare(g, now)
		if victim == nil {
			return d
		}
		a.evict(victim, &d)
	}
	h := &holder{id: id, group: g, connection: bytes, progressAt: now}
	if g == Peers {
		h.state = serving
	}
	if !a.makeRoom(h, bytes, a.config.Limit-a.total(), everything, now, &d) {
		return d
	}
	a.holders[id] = h
	a.counts[g]++
	a.count(h, 1)
	d.Granted = true
	return d
}

// Spare gives up a connection of a group, since the process has no descriptor left.
func (a *Account) Spare(g Group, now time.Time) Decision {
	var d Decision
	if victim := a.spare(g, now); victim != nil {
		a.evict(victim, &d)
	}
	return d
}

// spare returns the connection of a group that is given up for another one, or nil.
func (a *Account) spare(g Group, now time.Time) *holder {
	var found *holder
	rank := func(h *holder) int {
		quiet := now.Sub(h.progressAt)
		switch {
		case h.group != g || h.state == evicted:
			return 0
		case g == Peers && quiet >= quietAfter:
			return 1
		case h.state == idle:
			return 1
		case h.state == reading && quiet >= stalledAfter:
			return 2
		default:
			return 0
		}
	}
	for _, h := range a.holders {
		switch r := rank(h); {
		case r == 0:
		case found == nil, r > rank(found), r == rank(found) && earlier(h, found):
			found = h
		}
	}
	return found
}

// earlier orders holders by their last progress, and then by ID.
func earlier(h, other *holder) bool {
	return h.progressAt.Before(other.progressAt) || h.progressAt.Equal(other.progressAt) && h.id < other.id
}

// Close removes a connection. It does nothing for an unknown one.
func (a *Account) Close(id ID) {
	h, ok := a.holders[id]
	if !ok {
		return
	}
	a.count(h, -1)
	if h.state == evicted {
		a.closing[h.group]--
	} else {
		a.counts[h.group]--
	}
	delete(a.holders, id)
}

// GrowHead adds bytes for a head, and GrowBody for a body. If they are not granted, the
// request must be refused. Nothing is granted to an evicted connection.
func (a *Account) GrowHead(id ID, bytes int64, now time.Time) Decision {
	return a.grow(id, Heads, bytes, now)
}

// GrowBody is described at GrowHead.
func (a *Account) GrowBody(id ID, bytes int64, now time.Time) Decision {
	return a.grow(id, SmallBodies, bytes, now)
}

// grow adds bytes for a head or a body, whatever the size of the body.
func (a *Account) grow(id ID, c Class, bytes int64, now time.Time) Decision {
	var d Decision
	h, ok := a.holders[id]
	if !ok || h.state == evicted {
		return d
	}
	if h.state == idle {
		h.state, h.progressAt = reading, now
	}
	if !a.makeRoom(h, bytes, a.config.Limit-a.total(), everything, now, &d) {
		return d
	}
	if input := h.input() + bytes; input > SmallBytes {
		added := bytes
		if !h.large() {
			added = input
		}
		if !a.makeRoom(h, added, a.config.Large-a.large, largeOnly, now, &d) {
			return d
		}
	}
	a.count(h, -1)
	if c == Heads {
		h.head += bytes
	} else {
		h.body += bytes
	}
	a.count(h, 1)
	d.Granted = true
	return d
}

// Received records bytes that have arrived.
func (a *Account) Received(id ID, bytes int, now time.Time) {
	h, ok := a.holders[id]
	if !ok {
		return
	}
	h.pending += bytes
	if h.pending >= progressBytes || h.group == Peers {
		h.progressAt, h.pending = now, 0
	}
}

// ShrinkBody subtracts bytes from a body.
func (a *Account) ShrinkBody(id ID, bytes int64) {
	if h, ok := a.holders[id]; ok {
		a.count(h, -1)
		h.body -= bytes
		a.count(h, 1)
	}
}

// Serve records that a request is complete, and reports whether it may be sent. From then
// on its connection is not given up. A request whose connection is being closed may not be
// sent.
func (a *Account) Serve(id ID) bool {
	h, ok := a.holders[id]
	if !ok || h.state == evicted {
		return false
	}
	h.state = serving
	return true
}

// Release records that nothing is kept of a request any more. The connection is idle
// unless it is being closed.
func (a *Account) Release(id ID, now time.Time) {
	h, ok := a.holders[id]
	if !ok {
		return
	}
	a.count(h, -1)
	h.head, h.body = 0, 0
	a.count(h, 1)
	h.progressAt, h.pending = now, 0
	if h.state != evicted {
		h.state = idle
	}
}

// GrowAnswers adds bytes of answers. Unfinished input gives way to them, since the requests
// of answers ran. Only Config.Answers bounds them.
func (a *Account) GrowAnswers(bytes int64, now time.Time) Decision {
	var d Decision
	if a.used[Answers]+bytes > a.config.Answers {
		return d
	}
	a.makeRoom(nil, bytes, a.config.Limit-a.total(), everything, now, &d)
	a.used[Answers] += bytes
	d.Granted = true
	return d
}

// ShrinkAnswers subtracts bytes of answers.
func (a *Account) ShrinkAnswers(bytes int64) { a.used[Answers] -= bytes }

// everything and largeOnly select the holders that can be given up, and say how many bytes
// each of them frees.
func everything(h *holder) int64 { return h.total() }

func largeOnly(h *holder) int64 {
	if h.large() {
		return h.input()
	}
	return 0
}

// makeRoom gives up other connections until need bytes fit into the room. It returns false
// if they do not fit, or if the one that asks is itself the next to be given up: then it is
// to be refused. asks is nil for an answer.
func (a *Account) makeRoom(asks *holder, need, room int64, frees func(*holder) int64, now time.Time, d *Decision) bool {
	if need > room {
		room = a.giveUp(asks, need, room, frees, now, d)
	}
	most := a.config.Limit
	if asks == nil || asks.input()+need <= SmallBytes {
		most += a.config.Limit / releaseShare
	}
	return need <= room && a.total()+need+a.leaving <= most
}

// giveUp evicts connections in order until need bytes fit into the room, and returns the
// room. It then goes on with stalled ones, see marginShare.
func (a *Account) giveUp(asks *holder, need, room int64, frees func(*holder) int64, now time.Time, d *Decision) int64 {
	margin := a.config.Limit / marginShare
	idleOnly := false // what is left of unfinished input goes after the one that asks
	for {
		h := a.next(frees, idleOnly, now)
		enough := need <= room
		switch {
		case h == nil, enough && (need+margin <= room || now.Sub(h.progressAt) < stalledAfter || h == asks):
			return room
		case h == asks && h.input()+need > SmallBytes:
			return room
		case h == asks:
			idleOnly = true
			continue
		}
		room += frees(h)
		a.evict(h, d)
	}
}

// next returns the connection that is given up next, or nil: unfinished input by score
// unless idleOnly is set, then the connection that has been idle for longest.
func (a *Account) next(frees func(*holder) int64, idleOnly bool, now time.Time) *holder {
	var found *holder
	highest := 0.0
	for _, h := range a.holders {
		score := 0.0 // of an idle connection
		switch {
		case h.state == reading && !idleOnly:
			score = h.score(now)
		case h.state != idle:
			continue
		}
		if frees(h) <= 0 || found != nil && (score < highest || score == highest && !earlier(h, found)) {
			continue
		}
		found, highest = h, score
	}
	return found
}

// evict records that a connection is given up.
func (a *Account) evict(h *holder, d *Decision) {
	a.count(h, -1)
	h.state = evicted
	a.count(h, 1)
	a.counts[h.group]--
	a.closing[h.group]++
	d.Evicted = append(d.Evicted, h.id)
}

package memory

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestSteps prints who is given up after each step in an account of 3,200 KB, of which
// 1,600 KB are for large input. Each connection costs 1 KB.
func TestSteps(t *testing.T) {
	datadriven.RunTest(t, "testdata/steps", func(t *testing.T, d *datadriven.TestData) string {
		const kb = 1 << 10
		a := New(Config{Limit: 3200 * kb, Large: 1600 * kb, Answers: 800 * kb})
		now := time.Unix(1000, 0)
		var out strings.Builder
		for _, line := range strings.Split(d.Input, "\n") {
			var command string
			var id ID
			var n int64
			if count, err := fmt.Sscan(line, &command, &id, &n); count < 2 {
				t.Fatalf("%q: %v", line, err)
			}
			var decision Decision
			switch command {
			case "open":
				decision = a.Open(id, Callers, kb, int(n), now)
			case "idle":
				decision = a.Open(id, Callers, n*kb, 10, now)
			case "peer":
				decision = a.Open(id, Peers, kb, int(n), now)
			case "head":
				decision = a.GrowHead(id, n*kb, now)
			case "body":
				decision = a.GrowBody(id, n*kb, now)
			case "answers":
				decision = a.GrowAnswers(n*kb, now)
			case "serve":
				decision.Granted = a.Serve(id)
			case "ms":
				now = now.Add(time.Duration(id) * time.Millisecond)
				continue
			case "receive":
				a.Received(id, int(n), now)
				continue
			case "release":
				a.Release(id, now)
				continue
			case "close":
				a.Close(id)
				continue
			default:
				t.Fatalf("unknown step %q", line)
			}
			fmt.Fprintf(&out, "%s: %t %v, %d KB\n", line, decision.Granted, decision.Evicted, a.total()/kb)
		}
		return out.String()
	})
}

// caller is a hostile caller of a replay. It sends piece bytes in each step of the replay
// until it has sent all, and stops then.
type caller struct {
	id              ID
	head, body      int64
	piece           int64
	sentHead, sent  int64
	complete, moves bool
	finishesAt      time.Time
}

// replay runs hostile callers against an account for a host of 184 MB, in steps of 10 ms.
type replay struct {
	t       *testing.T
	account *Account
	now     time.Time
	nextID  ID
	callers map[ID]*caller
	refused int
}

const (
	hostBytes   = 184 << 20
	replayStep  = 10 * time.Millisecond
	replayTime  = 3 * time.Second
	serviceTime = 300 * time.Millisecond
	connBytes   = 16 << 10
	maxConns    = 1000
)

func (r *replay) open() ID {
	r.nextID++
	if d := r.account.Open(r.nextID, Callers, connBytes, maxConns, r.now); !r.apply(d) {
		return 0
	}
	return r.nextID
}

// apply closes the connections that a decision gives up. None of them may be served.
func (r *replay) apply(d Decision) bool {
	for _, id := range d.Evicted {
		if c := r.callers[id]; c != nil && c.complete {
			r.t.Fatalf("connection %d was given up while its request was served", id)
		}
		delete(r.callers, id)
		r.account.Close(id)
	}
	if sum, most := r.account.total(), r.account.Limit(); sum > most+r.account.config.Answers {
		r.t.Fatalf("%d bytes are in use, the limit is %d", sum, most)
	}
	return d.Granted
}

// step lets a hostile caller send its next piece.
func (r *replay) step(c *caller) {
	switch {
	case c.complete && !r.now.Before(c.finishesAt):
		r.account.Close(c.id)
		delete(r.callers, c.id)
	case c.complete:
	case c.sentHead < c.head:
		r.finish(c, r.apply(r.account.GrowHead(c.id, min(c.piece, c.head-c.sentHead), r.now)))
		c.sentHead += c.piece
	case c.sent < c.body:
		piece := min(c.piece, c.body-c.sent)
		r.account.Received(c.id, int(piece), r.now)
		r.finish(c, r.apply(r.account.GrowBody(c.id, piece, r.now)))
		c.sent += piece
	case c.moves:
		c.complete, c.finishesAt = r.account.Serve(c.id), r.now.Add(serviceTime)
	}
}

func (r *replay) finish(c *caller, granted bool) {
	if !granted {
		r.account.Close(c.id)
		delete(r.callers, c.id)
	}
}

// ordinary sends one request with a body of 120 KB, and reports whether it was granted.
func (r *replay) ordinary() bool {
	id := r.open()
	if id == 0 {
		return false
	}
	defer r.account.Close(id)
	granted := r.apply(r.account.GrowHead(id, HeadCost(800, 16), r.now))
	for bytes := int64(8 << 10); granted && bytes <= 128<<10; bytes *= 2 {
		granted = r.apply(r.account.GrowBody(id, bytes, r.now))
		if bytes > 8<<10 {
			r.account.ShrinkBody(id, bytes/2)
		}
	}
	return granted && r.account.Serve(id)
}

// TestOrdinaryRequestsAreServedAmidHostileCallers replays the loads with which callers used
// up the memory of hosts of 184 MB: 200 callers send bodies of 4 MB or heads of very many
// lines, and open new connections as theirs are closed. It guards against an account that
// such callers fill for good, and against one that gives up requests that are being served.
func TestOrdinaryRequestsAreServedAmidHostileCallers(t *testing.T) {
	const body = 4 << 20
	longHead := HeadCost(16<<10, 16<<10/5)
	for name, kind := range map[string]caller{
		"bodies that stop one byte short":      {body: body, piece: 256 << 10},
		"whole bodies":                         {body: body, piece: 256 << 10, moves: true},
		"bodies sent piece by piece":           {body: body, piece: 4 << 10},
		"bodies sent in bytes":                 {body: body, piece: 100},
		"heads of many lines without end":      {head: longHead, piece: 256 << 10},
		"such heads with a body that is short": {head: longHead, body: body, piece: 256 << 10},
		"idle connections":                     {},
	} {
		t.Run(name, func(t *testing.T) {
			r := &replay{t: t, account: New(ForHost(hostBytes)), now: time.Unix(1000, 0), callers: make(map[ID]*caller)}
			for end := r.now.Add(replayTime); r.now.Before(end); r.now = r.now.Add(replayStep) {
				for range 200 - len(r.callers) {
					c := kind
					if c.id = r.open(); c.id != 0 {
						r.callers[c.id] = &c
					}
				}
				for _, id := range slices.Sorted(maps.Keys(r.callers)) {
					if c := r.callers[id]; c != nil {
						r.step(c)
					}
				}
				if !r.ordinary() {
					r.refused++
				}
			}
			if r.refused > 0 {
				t.Errorf("%d ordinary requests were refused", r.refused)
			}
		})
	}
}

// TestLargestRequestIsServed guards against bounds that a small host sets below the largest
// legal request: a head of 16 KB in the shortest lines, and a body of 4 MB that is copied
// once from half its size.
func TestLargestRequestIsServed(t *testing.T) {
	a, now := New(ForHost(hostBytes)), time.Unix(1000, 0)
	a.Open(1, Callers, connBytes, maxConns, now)
	if !a.GrowHead(1, HeadCost(16<<10, 16<<10/3), now).Granted || !a.GrowBody(1, 6<<20, now).Granted || !a.Serve(1) {
		t.Error("the largest legal request is refused")
	}
}

// TestLongestUnread guards against breaking off answers that are being read.
func TestLongestUnread(t *testing.T) {
	now := time.Unix(1000, 0)
	ago := func(bytes int64, d time.Duration) Unread { return Unread{Bytes: bytes, ReadAt: now.Add(-d)} }
	for _, test := range []struct {
		answers []Unread
		want    int
	}{
		{nil, -1},
		{[]Unread{ago(9000, 900*time.Millisecond), ago(0, time.Hour)}, -1},
		{[]Unread{ago(9000, 900*time.Millisecond), ago(100, time.Second)}, 1},
		{[]Unread{ago(1000, 3*time.Second), ago(2000, 2*time.Second), ago(100, 9*time.Second)}, 1},
	} {
		if got := LongestUnread(test.answers, now); got != test.want {
			t.Errorf("%v: %d, want %d", test.answers, got, test.want)
		}
	}
}

package main

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/replicas"
	"carobspoke.example/core/version/routing"
	"github.com/pkg/errors"
)

const (
	drafts, desk = "drafts", "desk"
	// perService replicas have processes of their own, half of which send some answers
	// without a length. One of each service is killed: a share of 0.17.
	perService = 6
	// killAfter is how long after the begin of an answer without a length its replica is
	// killed.
	killAfter = 150 * time.Millisecond
	// lapse is three heartbeats, after which the platform removes the entry of a replica that
	// is silent.
	lapse         = 3600 * time.Millisecond
	requestPause  = 50 * time.Millisecond
	requestsOfRun = 400
	callsPerDraft = 2
)

// crashing are the replicas of a service, of which one is to be killed.
type crashing struct {
	fleet   *fleet
	service names.Service
	trouble bool
	once    sync.Once
}

// start starts a replica process and publishes its entry.
func (c *crashing) start(id names.Target) error {
	program, err := os.Executable()
	if err != nil {
		return errors.WithStack(err)
	}
	command := exec.Command(program, "replica", string(id))
	command.Stderr = os.Stderr
	input, err := command.StdinPipe() // the replica ends when this process does
	if err != nil {
		return errors.WithStack(err)
	}
	output, err := command.StdoutPipe()
	if err != nil {
		return errors.WithStack(err)
	}
	if err := command.Start(); err != nil {
		return errors.WithStack(err)
	}
	c.fleet.closers = append(c.fleet.closers, func() {
		_ = input.Close()
		_ = command.Process.Kill()
		_ = command.Wait() // it was killed
	})
	lines := bufio.NewScanner(output)
	if !lines.Scan() {
		return errors.Errorf("replica %s has no address", id)
	}
	target := &replicas.Target{
		ID: id, Service: c.service, DataCentre: zone, Slots: slots, Started: time.Now().UnixMilli(),
		Address: strings.TrimPrefix(lines.Text(), lineAddress+" "),
	}
	c.fleet.record.add("replica %s of %s at %s", id, c.service, target.Address)
	go c.follow(target, command, lines)
	return c.fleet.store.putTarget(target)
}

// follow records what a replica prints, and kills it while it sends an answer without a length.
func (c *crashing) follow(target *replicas.Target, command *exec.Cmd, lines *bufio.Scanner) {
	for lines.Scan() {
		what, id, _ := strings.Cut(lines.Text(), " ")
		switch what {
		case lineUnframed:
			c.fleet.record.add("replica %s began an answer without a length to %s", target.ID, id)
			if c.trouble {
				c.once.Do(func() { time.AfterFunc(killAfter, func() { c.kill(target, command, id) }) })
			}
		case lineWhole:
			c.fleet.record.add("replica %s sent its whole answer to %s", target.ID, id)
		}
	}
}

func (c *crashing) kill(target *replicas.Target, command *exec.Cmd, id string) {
	c.fleet.record.add("replica %s is killed while it answers %s", target.ID, id)
	_ = command.Process.Kill()
	time.AfterFunc(lapse, func() { c.fleet.store.removeTarget(target) })
}

// unframedAnswers kills a replica while it sends an answer that has neither a length nor chunks.
// What its client gets must not look complete.
func unframedAnswers(f *fleet, trouble bool) (int, error) {
	for _, service := range []names.Service{drafts, desk} {
		c := &crashing{fleet: f, service: service, trouble: trouble}
		for i := range perService {
			id := fmt.Sprintf("%s-%s-%d", unframedMark, service, i)
			if i%2 == 1 {
				id = fmt.Sprintf("i-f-%s-%d", service, i)
			}
			if err := c.start(names.Target(id)); err != nil {
				return 0, err
			}
		}
	}
	draft := callRoute("r-draft", streamPrefix, drafts, 10*time.Second)
	draft.Kind, draft.Resumable, draft.MaxAttempts, draft.GapTarget, draft.LatencyTarget = routing.Streaming, true, 2, 200*time.Millisecond, 300*time.Millisecond
	status := callRoute("r-status", callPrefix, desk, 2500*time.Millisecond)
	status.Kind, status.MaxAttempts = routing.Idempotent, 2
	config := &routing.Config{
		Limits: limits(), Services: []routing.Service{modelService(drafts), {Name: desk, MaxConnections: connections}},
		Routes: []routing.Route{draft, status},
	}
	if err := f.publish(config); err != nil {
		return 0, err
	}
	if err := f.startDaemons(3); err != nil {
		return 0, err
	}
	var breaches atomic.Int32
	var running sync.WaitGroup
	for i := range requestsOfRun {
		q := &request{id: fmt.Sprintf("c-%03d", i), method: http.MethodGet, path: callPrefix + "form", deadline: 2500 * time.Millisecond}
		if i%(callsPerDraft+1) == 0 {
			q = &request{id: fmt.Sprintf("s-%03d", i), method: http.MethodPost, path: streamPrefix + "petition", deadline: 10 * time.Second, body: 1200}
		}
		running.Go(func() {
			if f.cutShort(f.daemons[i%len(f.daemons)], q) {
				breaches.Add(1)
			}
		})
		time.Sleep(requestPause)
	}
	running.Wait()
	return int(breaches.Load()), nil
}

// cutShort sends a request, and reports whether its answer is not whole and looks complete.
func (f *fleet) cutShort(d *daemon, q *request) bool {
	a := f.send(d, q)
	list, _ := parts(q.id, q.path)
	whole := strings.Join(list, "")
	f.record.add("client got for %s: status %d, %d of %d bytes, error %v", q.id, a.status, len(a.body), len(whole), a.err)
	if a.err == nil && a.status == http.StatusOK && a.sealed && a.body != whole {
		f.record.add("BROKEN: the answer to %s looks complete and lacks %d bytes", q.id, len(whole)-len(a.body))
		return true
	}
	return false
}

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"carobspoke.example/platform"
	"github.com/pkg/errors"
)

// What a replica process answers. A stream has events, a call has a body in parts.
const (
	streamEvents = 30
	callParts    = 8
	callBytes    = 800
	eventPause   = 50 * time.Millisecond
	partPause    = 40 * time.Millisecond
	streamPrefix = "/draft/"
	callPrefix   = "/status/"
	// everyUnframed is one in how many answers of a kind has neither a length nor chunks, at
	// the replicas whose IDs begin with unframedMark.
	everyUnframed = 20
	unframedMark  = "i-u"
)

// Lines that a replica process prints.
const (
	lineAddress  = "address"
	lineUnframed = "unframed"
	lineWhole    = "whole"
)

// parts returns the parts of the answer to a request, and the pause before each.
func parts(id, path string) ([]string, time.Duration) {
	var list []string
	if strings.HasPrefix(path, streamPrefix) {
		for i := range streamEvents {
			list = append(list, fmt.Sprintf("id: %d\ndata: %s %d\n\n", i, id, i))
		}
		return list, eventPause
	}
	for i := range callParts {
		list = append(list, fmt.Sprintf("%-*s", callBytes/callParts, fmt.Sprintf("%s %d", id, i)))
	}
	return list, partPause
}

// process is one replica with a process of its own.
type process struct {
	id      string
	answers [2]atomic.Int64 // streams and calls
}

// replicaProcess serves as a replica until it is killed. It prints its address, and a line for
// each answer that has neither a length nor chunks, and for each that it has sent whole.
func replicaProcess(id string) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.WithStack(err)
	}
	p := &process{id: id}
	fmt.Println(lineAddress, listener.Addr())
	go func() { // the case has ended without a kill
		_, _ = io.Copy(io.Discard, os.Stdin)
		os.Exit(0)
	}()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return errors.WithStack(err)
		}
		go p.serve(conn)
	}
}

// serve serves the requests of a connection one after the other.
func (p *process) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }() // all answers were written
	reader := bufio.NewReader(conn)
	for {
		q, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return
		}
		if !p.answer(conn, q) {
			return
		}
	}
}

// answer answers a request, and reports whether the connection stays open.
func (p *process) answer(conn net.Conn, q *http.Request) bool {
	id, path := q.Header.Get(platform.HeaderAttempt), q.URL.Path
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal.%s\r\n", platform.HeaderAttempt, id, platform.HeaderSeal, p.id)
	switch {
	case q.Header.Get(platform.HeaderTarget) != p.id:
		_, err := io.WriteString(conn, "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	case id == "":
		_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
		return err == nil
	}
	list, pause := parts(id, path)
	list = list[len(list)-left(q, len(list)):]
	stream := strings.HasPrefix(path, streamPrefix)
	kind := 0
	if stream {
		kind = 1
		head += "Content-Type: text/event-stream\r\n"
	}
	unframed := strings.HasPrefix(p.id, unframedMark) && p.answers[kind].Add(1)%everyUnframed == 0
	frame := func(part string) string { return part }
	switch {
	case unframed:
		head += "Connection: close\r\n"
	case stream:
		head += "Transfer-Encoding: chunked\r\n"
		frame = func(part string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(part), part) }
	default:
		head += fmt.Sprintf("Content-Length: %d\r\n", len(strings.Join(list, "")))
	}
	if _, err := io.WriteString(conn, head+"\r\n"); err != nil {
		return false
	}
	for i, part := range list {
		time.Sleep(pause)
		if _, err := io.WriteString(conn, frame(part)); err != nil {
			return false
		}
		if unframed && i == 0 {
			fmt.Println(lineUnframed, id)
		}
	}
	if stream && !unframed {
		_, _ = io.WriteString(conn, "0\r\n\r\n") // fails only if the daemon has gone
	}
	fmt.Println(lineWhole, id)
	return !unframed
}

// left returns how many of the parts the caller does not have yet.
func left(q *http.Request, all int) int {
	last := -1
	_, _ = fmt.Sscan(q.Header.Get(platform.HeaderResume), &last) // without the header nothing was read
	return max(all-1-last, 0)
}

package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"carobspoke.example/platform"
)

// hostname is the host of all routes.
const hostname = "form-desk.example"

var lastAttempt atomic.Int64

// result is what a caller got.
type result struct {
	attempt string
	sent    time.Time
	status  int
	sealed  bool
	body    string
	err     error
}

// call sends a request to a daemon and returns what came back.
func (b *bed) call(d *daemon, path, key string) result {
	res := result{attempt: fmt.Sprintf("a%04d", lastAttempt.Add(1)), sent: time.Now()}
	r, err := http.NewRequest(http.MethodPost, "http://"+d.settings.CallerAddress.String()+path, strings.NewReader("form"))
	if err != nil {
		res.err = err
		return res
	}
	r.Host = hostname
	r.Header.Set(platform.HeaderAttempt, res.attempt)
	r.Header.Set(platform.HeaderDeadline, "2500")
	if key != "" {
		r.Header.Set(platform.HeaderKey, key)
	}
	b.log("request %s sent to %s: POST %s, key %q", res.attempt, d.name, path, key)
	response, err := b.caller.Do(r)
	if err != nil {
		res.err = err
		b.log("request %s: no answer: %v", res.attempt, err)
		return res
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	res.status, res.body, res.err = response.StatusCode, string(body), err
	res.sealed = response.Header.Get(platform.HeaderSeal) != ""
	b.log("request %s: answered %d, sealed %t, %q", res.attempt, res.status, res.sealed, res.body)
	return res
}

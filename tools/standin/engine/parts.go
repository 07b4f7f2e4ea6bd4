package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"carobspoke.example/core/target"
	"github.com/pkg/errors"
)

// partTimeout bounds a look at a part that another engine holds.
const partTimeout = time.Second

// readPart asks another engine for a handle.
func (e *Server) readPart(part target.Part) (target.Handle, error) {
	var info target.Handle
	ctx, cancel := context.WithTimeout(context.Background(), partTimeout)
	defer cancel()
	address := "http://" + part.Address + "/v1/parts/" + url.PathEscape(string(part.Handle))
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, http.NoBody)
	if err != nil {
		return info, errors.WithStack(err)
	}
	response, err := e.client.Do(request)
	if err != nil {
		return info, errors.Wrap(err, "part")
	}
	defer response.Body.Close() //nolint:errcheck // the body was read or is of no use
	if response.StatusCode != http.StatusOK {
		return info, errors.Errorf("part: status %d", response.StatusCode)
	}
	return info, errors.Wrap(json.NewDecoder(response.Body).Decode(&info), "part")
}

// watchParts lets a stream start once all its parts are found, and fails it
// when one is gone.
func (e *Server) watchParts(s *stream) {
	for {
		err := e.readParts(s)
		if !e.partsRead(s, err) {
			return
		}
		time.Sleep(e.config.PartCheck)
	}
}

func (e *Server) readParts(s *stream) error {
	for _, part := range s.submit.Parts {
		info, err := e.readPart(part)
		if err != nil {
			return err
		}
		if info.Scope != s.submit.Scope {
			return errors.New("part of another scope")
		}
	}
	return nil
}

// partsRead reports whether the stream still needs its parts.
func (e *Server) partsRead(s *stream, err error) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err != nil {
		e.failLocked(s, FailurePartGone)
	}
	if s.over() {
		return false
	}
	if !s.partsKnown {
		s.partsKnown = true
		e.wakeBatch()
	}
	return true
}

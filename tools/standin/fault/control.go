package fault

import (
	"encoding/json"
	"net/http"
	"time"
)

// ControlPath is where faults are switched over HTTP.
const ControlPath = "/fault"

// Kind names a fault.
type Kind string

// Faults that a Command can switch.
const (
	Kill    Kind = "kill"
	Pause   Kind = "pause"
	Down    Kind = "down"
	Delay   Kind = "delay"
	Drop    Kind = "drop"
	Cut     Kind = "cut"
	Recover Kind = "recover"
	// Stale freezes what the platform answers.
	Stale Kind = "stale"
	// Crash is the crash of an engine by a prompt.
	Crash Kind = "crash"
)

// Command is the body of a POST to ControlPath.
type Command struct {
	Kind Kind `json:"kind" toml:"kind"`
	// ForMS is how long the fault lasts, in milliseconds; zero means until
	// Recover, which a killed server cannot hear.
	ForMS int64 `json:"for_ms" toml:"for_ms"`
	// Count is the number of answers to drop, or of writes before a cut.
	Count int `json:"count" toml:"count"`
	// DelayMS is the delay of each request, in milliseconds.
	DelayMS int64 `json:"delay_ms" toml:"delay_ms"`
}

func (s *Server) control(w http.ResponseWriter, r *http.Request) {
	var command Command
	if err := json.NewDecoder(r.Body).Decode(&command); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
	go s.Apply(command)
}

// Apply carries out a command and returns after its ForMS.
func (s *Server) Apply(c Command) {
	s.begin(c)
	if c.ForMS == 0 {
		return
	}
	time.Sleep(time.Duration(c.ForMS) * time.Millisecond)
	s.end(c.Kind)
}

func (s *Server) begin(c Command) {
	switch c.Kind {
	case Kill:
		_ = s.Kill()
	case Pause:
		s.Pause()
	case Down:
		s.SetDown(true)
	case Delay:
		s.SetDelay(time.Duration(c.DelayMS) * time.Millisecond)
	case Drop:
		s.DropAnswers(c.Count)
	case Cut:
		s.CutAfter(c.Count)
	case Recover:
		s.recoverAll()
	default:
		s.other(c.Kind, true)
	}
}

func (s *Server) other(kind Kind, on bool) {
	if s.hooks.Switch != nil {
		s.hooks.Switch(kind, on)
	}
}

func (s *Server) end(kind Kind) {
	switch kind {
	case Kill:
		_ = s.Restart()
	case Pause:
		s.Continue()
	case Down:
		s.SetDown(false)
	case Delay:
		s.SetDelay(0)
	case Drop:
		s.DropAnswers(0)
	case Cut:
		s.CutAfter(0)
	default:
		s.other(kind, false)
	}
}

func (s *Server) recoverAll() {
	for _, kind := range []Kind{Pause, Down, Delay, Drop, Cut, Stale} {
		s.end(kind)
	}
}

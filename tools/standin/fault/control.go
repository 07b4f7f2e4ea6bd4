package fault

import (
	"encoding/json"
	"net/http"
	"time"
)

// ControlPath is the HTTP path to which a Command is posted.
const ControlPath = "/fault"

// Kind is a kind of fault.
type Kind string

// Kinds of faults that a Command starts, and Recover, which ends all of them but
// Kill and Crash.
const (
	Kill    Kind = "kill"
	Pause   Kind = "pause"
	Down    Kind = "down"
	Delay   Kind = "delay"
	Drop    Kind = "drop"
	Cut     Kind = "cut"
	Recover Kind = "recover"
	// Stale freezes the answers of the platform.
	Stale Kind = "stale"
	// Crash makes an engine crash, as it does on a prompt that crashes engines.
	Crash Kind = "crash"
)

// Command is the body of a POST to ControlPath.
type Command struct {
	Kind Kind `json:"kind" toml:"kind"`
	// ForMS is the duration of the fault in milliseconds; zero means until
	// Recover, which a killed server cannot receive.
	ForMS int64 `json:"for_ms" toml:"for_ms"`
	// Count is the number of answers that Drop drops, or of writes after which
	// Cut closes the connection.
	Count int `json:"count" toml:"count"`
	// DelayMS is the time by which Delay delays each request, in milliseconds.
	DelayMS int64 `json:"delay_ms" toml:"delay_ms"`
}

func (s *Server) control(w http.ResponseWriter, r *http.Request) {
	var command Command
	if err := json.NewDecoder(r.Body).Decode(&command); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
	// The answer is sent first because Kill closes this connection as well.
	_ = http.NewResponseController(w).Flush() // fails only if the caller has gone
	go s.Apply(command)
}

// Apply starts the fault of a command. If ForMS is set, it blocks for that time
// and then ends the fault.
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
		s.setCustomFault(c.Kind, true)
	}
}

// setCustomFault starts or ends a fault that the stand-in implements itself.
func (s *Server) setCustomFault(kind Kind, on bool) {
	if s.hooks.SetFault != nil {
		s.hooks.SetFault(kind, on)
	}
}

func (s *Server) end(kind Kind) {
	switch kind {
	case Kill:
		_ = s.Restart()
	case Pause:
		s.Resume()
	case Down:
		s.SetDown(false)
	case Delay:
		s.SetDelay(0)
	case Drop:
		s.DropAnswers(0)
	case Cut:
		s.CutAfter(0)
	default:
		s.setCustomFault(kind, false)
	}
}

func (s *Server) recoverAll() {
	for _, kind := range []Kind{Pause, Down, Delay, Drop, Cut, Stale} {
		s.end(kind)
	}
}

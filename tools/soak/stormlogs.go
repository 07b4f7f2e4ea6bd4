package soak

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// refusal is a daemon's log line on a request that it did not answer.
type refusal struct {
	Time          string  `json:"time"`
	Message       string  `json:"msg"`
	Request       string  `json:"request"`
	Reason        string  `json:"reason"`
	Version       uint64  `json:"version"`
	Waited        float64 `json:"waited"`
	Configuration struct {
		Recent   bool    `json:"recent"`
		Age      float64 `json:"age"`
		Evidence string  `json:"evidence"`
	} `json:"configuration"`
}

// String returns what the refusal rests on, or nothing if it isn't known.
func (r refusal) String() string {
	if r.Request == "" {
		return ""
	}
	return fmt.Sprintf(" (logged at %s: %s, version %d, confirmed %.0f ms before by %s)", r.Time, r.Reason, r.Version, r.Configuration.Age, r.Configuration.Evidence)
}

// daemonLogs is what the logs of the daemons show.
type daemonLogs struct {
	// refusals are by the ID of the request.
	refusals map[string]refusal
	delayed  Tally
	// names replaces the addresses of the daemons by their names.
	names *strings.Replacer
}

// overstated returns by how much the confirmation on which an added route was refused is at
// least after the acknowledgement, which was late before the request.
func (l *daemonLogs) overstated(a *answer, late time.Duration) (time.Duration, bool) {
	r, ok := l.refusals[a.id]
	if !ok || a.kind != onAdded || !a.refusedAsUnknown() {
		return 0, false
	}
	by := late - time.Duration(r.Configuration.Age*float64(time.Millisecond)) // it was read after the request was sent
	return by, by > 0
}

// readLogs reads the logs of the daemons.
func readLogs(hosts []*host) (*daemonLogs, error) {
	var addresses []string
	for _, h := range hosts {
		addresses = append(addresses, h.settings.PeerAddress.String(), h.settings.Name)
	}
	logs := &daemonLogs{refusals: make(map[string]refusal), names: strings.NewReplacer(addresses...)}
	for _, h := range hosts {
		if err := logs.read(h); err != nil {
			return nil, err
		}
	}
	return logs, nil
}

func (l *daemonLogs) read(h *host) error {
	return eachLine(h.log, func(line string) {
		refused := strings.Contains(line, `"msg":"not answered"`)
		if !refused && !strings.Contains(line, `"msg":"heartbeat delayed"`) {
			return
		}
		var r refusal
		if json.Unmarshal([]byte(line), &r) != nil {
			return // a line that was being written
		}
		r.Configuration.Evidence = l.names.Replace(r.Configuration.Evidence)
		if refused {
			l.refusals[r.Request] = r
		} else {
			l.delayed.add(time.Duration(r.Waited * float64(time.Millisecond)))
		}
	})
}

// relays returns the daemons from which others have read.
func relays(hosts []*host) []*host {
	named := make(map[string]bool)
	for _, h := range hosts {
		_ = eachLine(h.log, func(line string) { // without a log there are none
			var r struct {
				Message string `json:"msg"`
				Peer    string `json:"peer"`
			}
			if strings.Contains(line, `"msg":"published records taken in"`) && json.Unmarshal([]byte(line), &r) == nil {
				named[r.Peer] = true
			}
		})
	}
	var list []*host
	for _, h := range hosts {
		if named[h.settings.Name] {
			list = append(list, h)
		}
	}
	return list
}

// eachLine calls f for each line of a file.
func eachLine(path string, f func(string)) error {
	file, err := os.Open(path)
	if err != nil {
		return errors.Wrap(err, "soak")
	}
	defer func() { _ = file.Close() }() // it is only read
	lines := bufio.NewReader(file)
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			return nil //nolint:nilerr // the last line ends with the file
		}
		f(line)
	}
}

// writeAnswers writes a line for each answer, to be read beside the logs of the daemons.
func writeAnswers(path string, answers []answer, acknowledged map[int]time.Time) error {
	text := []byte("id,host,incarnation,kind,version,sent,after_acknowledgement_ms,took_ms,status\n")
	for i := range answers {
		a := &answers[i]
		text = fmt.Appendf(text, "%s,%s,%d,%s,%d,%s,%d,%d,%d\n", a.id, a.host, a.incarnation, a.kind, a.version, a.sent.UTC().Format(time.RFC3339Nano),
			a.sent.Sub(acknowledged[a.version]).Milliseconds(), a.answered.Sub(a.sent).Milliseconds(), a.status)
	}
	return errors.Wrap(os.WriteFile(path, text, 0o600), "soak")
}

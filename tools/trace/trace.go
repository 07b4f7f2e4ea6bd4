// Package trace reads the logs of daemons. It prints the log lines of one request
// in time order with the outcome of the request, and summarises logs.
package trace

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// LogLine is a log line that belongs to a request.
type LogLine struct {
	// Source is the host: the last word before the JSON. It is the name of the
	// log if fewer than two words precede the JSON.
	Source string
	Time   string
	Fields map[string]any
}

// ReadLines returns the lines of a log that belong to a request. The time and the
// host may precede the JSON of a line, in the form "TIME HOST {json}".
func ReadLines(log io.Reader, name, request string) ([]LogLine, error) {
	var lines []LogLine
	scanner := bufio.NewScanner(log)
	scanner.Buffer(make([]byte, 64<<10), maxLineBytes)
	for scanner.Scan() {
		text := scanner.Text()
		jsonStart := strings.IndexByte(text, '{')
		if jsonStart < 0 || !strings.Contains(text, request) {
			continue
		}
		line := LogLine{Source: name}
		if err := json.Unmarshal([]byte(text[jsonStart:]), &line.Fields); err != nil {
			continue // not a log line of a daemon
		}
		if line.Fields["request"] != request {
			continue
		}
		if prefix := strings.Fields(text[:jsonStart]); len(prefix) > 1 {
			line.Source = prefix[len(prefix)-1]
		}
		line.Time, _ = line.Fields["time"].(string)
		lines = append(lines, line)
	}
	return lines, errors.Wrap(scanner.Err(), name)
}

// Print writes the lines in time order, followed by the request's outcome. It sorts
// lines in place.
func Print(out io.Writer, lines []LogLine) error {
	slices.SortStableFunc(lines, func(a, b LogLine) int { return strings.Compare(a.Time, b.Time) })
	for i := range lines {
		if _, err := fmt.Fprintf(out, "%s %s %s\n", lines[i].Time, lines[i].Source, formatFields(&lines[i])); err != nil {
			return errors.WithStack(err)
		}
	}
	_, err := fmt.Fprintln(out, "\n"+Outcome(lines))
	return errors.WithStack(err)
}

// omittedFields are the fields that Print does not print as name=value: every line
// has them, or they are printed separately.
var omittedFields = map[string]bool{"time": true, "level": true, "msg": true, "request": true, "logger": true}

// formatFields returns the message of a line and its other fields, by name.
func formatFields(l *LogLine) string {
	names := make([]string, 0, len(l.Fields))
	for name := range l.Fields {
		if !omittedFields[name] {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	text := fmt.Sprint(l.Fields["msg"])
	for _, name := range names {
		text += fmt.Sprintf(" %s=%v", name, l.Fields[name])
	}
	return text
}

// Outcome describes how a request ended and why, from its lines in time order. The
// number of sends is that of placements. A request whose end is not in the logs may
// also still be running.
func Outcome(lines []LogLine) string {
	if len(lines) == 0 {
		return "no line names this request: it reached no daemon whose log was read, or its lines were dropped"
	}
	sends := 0
	var sendFailure, failedAttempt *LogLine
	for i := range lines {
		l := &lines[i]
		switch l.Fields["msg"] {
		case "placed":
			sends++
		case "send failed":
			sendFailure = l
		case "attempt failed":
			failedAttempt = l
		case "answered":
			return fmt.Sprintf("answered after %v ms, the first event after %v ms, the longest pause %v ms, %d sends",
				l.Fields["took"], l.Fields["first"], l.Fields["longest_pause"], sends)
		case "not answered":
			text := fmt.Sprintf("not answered: %v (%v) after %v ms and %d sends", l.Fields["reason"], l.Fields["verdict"], l.Fields["took"], sends)
			if sendFailure != nil {
				text += fmt.Sprintf("; the last send failed at target %v: %v", sendFailure.Fields["target"], sendFailure.Fields["reason"])
				if sendFailure.Fields["hung"] == true {
					text += ", which said nothing for too long"
				}
			}
			if failedAttempt != nil && failedAttempt.Fields["outcome"] != "retried" {
				text += fmt.Sprintf("; no other send followed: %v", failedAttempt.Fields["outcome"])
			}
			if why, ok := l.Fields["error"]; ok && sendFailure == nil {
				text += fmt.Sprintf("; %v", why)
			}
			return text
		}
	}
	return "the logs end before the request does: its daemon died, or the lines were dropped"
}

// PrintRequest writes a request's lines from the log files and its outcome.
func PrintRequest(out io.Writer, request string, files []string) error {
	var all []LogLine
	for _, name := range files {
		lines, err := readFile(name, request)
		if err != nil {
			return err
		}
		all = append(all, lines...)
	}
	return Print(out, all)
}

func readFile(name, request string) ([]LogLine, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer func() { _ = file.Close() }() // opened only for reading
	return ReadLines(file, name, request)
}

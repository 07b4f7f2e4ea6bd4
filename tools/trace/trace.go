// Package trace reads daemons' logs and shows the way of one request through
// all of them, with the cause of its end.
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

// maxLine bounds a log line, in bytes.
const maxLine = 1 << 20

// Line is one log line that names a request.
type Line struct {
	// Source is the host, or the file if the line does not tell.
	Source string
	Time   string
	Fields map[string]any
}

// Read returns the lines of a log that name a request. Before its JSON a line
// may have the time and the host, as the users' bench prints them.
func Read(log io.Reader, name, request string) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(log)
	scanner.Buffer(make([]byte, 64<<10), maxLine)
	for scanner.Scan() {
		text := scanner.Text()
		at := strings.IndexByte(text, '{')
		if at < 0 || !strings.Contains(text, request) {
			continue
		}
		line := Line{Source: name}
		if err := json.Unmarshal([]byte(text[at:]), &line.Fields); err != nil {
			continue // not a line of a daemon's
		}
		if line.Fields["request"] != request {
			continue
		}
		if before := strings.Fields(text[:at]); len(before) > 1 {
			line.Source = before[len(before)-1]
		}
		line.Time, _ = line.Fields["time"].(string)
		lines = append(lines, line)
	}
	return lines, errors.Wrap(scanner.Err(), name)
}

// Print writes the lines in the order of their times, and what they come to.
func Print(out io.Writer, lines []Line) error {
	slices.SortStableFunc(lines, func(a, b Line) int { return strings.Compare(a.Time, b.Time) })
	for i := range lines {
		if _, err := fmt.Fprintf(out, "%s %s %s\n", lines[i].Time, lines[i].Source, describe(&lines[i])); err != nil {
			return errors.WithStack(err)
		}
	}
	_, err := fmt.Fprintln(out, "\n"+Cause(lines))
	return errors.WithStack(err)
}

// skipped are fields that every line has or that say nothing new.
var skipped = map[string]bool{"time": true, "level": true, "msg": true, "request": true, "logger": true}

func describe(l *Line) string {
	names := make([]string, 0, len(l.Fields))
	for name := range l.Fields {
		if !skipped[name] {
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

// Cause names what a request's lines come to.
func Cause(lines []Line) string {
	if len(lines) == 0 {
		return "no line names this request: it reached no daemon whose log was read, or its lines were dropped"
	}
	sends := 0
	var failure, attempt *Line
	for i := range lines {
		l := &lines[i]
		switch l.Fields["msg"] {
		case "placed":
			sends++
		case "send failed":
			failure = l
		case "attempt failed":
			attempt = l
		case "answered":
			return fmt.Sprintf("answered after %v ms, the first event after %v ms, the longest pause %v ms, %d sends",
				l.Fields["took"], l.Fields["first"], l.Fields["longest_pause"], sends)
		case "not answered":
			text := fmt.Sprintf("not answered: %v (%v) after %v ms and %d sends", l.Fields["reason"], l.Fields["verdict"], l.Fields["took"], sends)
			if failure != nil {
				text += fmt.Sprintf("; the last send failed at target %v: %v", failure.Fields["target"], failure.Fields["reason"])
				if failure.Fields["hung"] == true {
					text += ", which said nothing for too long"
				}
			}
			if attempt != nil && attempt.Fields["outcome"] != "retried" {
				text += fmt.Sprintf("; no other send followed: %v", attempt.Fields["outcome"])
			}
			if why, ok := l.Fields["error"]; ok && failure == nil {
				text += fmt.Sprintf("; %v", why)
			}
			return text
		}
	}
	return "the logs end before the request does: its daemon died, or the lines were dropped"
}

// Explain writes the way of a request through the logs in files.
func Explain(out io.Writer, request string, files []string) error {
	var all []Line
	for _, name := range files {
		lines, err := readFile(name, request)
		if err != nil {
			return err
		}
		all = append(all, lines...)
	}
	return Print(out, all)
}

func readFile(name, request string) ([]Line, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer func() { _ = file.Close() }() // it was only read
	return Read(file, name, request)
}

package trace

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// Summary is what logs of several daemons come to.
type Summary struct {
	// Ratios are the times to first events divided by their predictions, of
	// answers by one send, by class.
	Ratios map[string][]float64
	// lines and bytes are those of each source and second, placed the
	// predictions of each request.
	lines, bytes map[string]int
	placed       map[string][]float64
}

// NewSummary returns the summary of no lines.
func NewSummary() *Summary {
	return &Summary{
		Ratios: make(map[string][]float64), lines: make(map[string]int), bytes: make(map[string]int), placed: make(map[string][]float64),
	}
}

// entry has the fields of log lines that the summary uses. Times are in ms.
type entry struct {
	Time      string  `json:"time"`
	Message   string  `json:"msg"`
	Request   string  `json:"request"`
	Predicted float64 `json:"predicted"`
	Class     string  `json:"class"`
	Queue     float64 `json:"queue"`
	First     float64 `json:"first"`
	Sends     int     `json:"sends"`
}

// Read takes in a log, plain or as the users' bench prints it.
func (s *Summary) Read(log io.Reader, name string) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(make([]byte, 64<<10), maxLine)
	for scanner.Scan() {
		text := scanner.Text()
		at := strings.IndexByte(text, '{')
		var e entry
		if at < 0 || json.Unmarshal([]byte(text[at:]), &e) != nil || e.Message == "" {
			continue // not a line of a daemon's
		}
		source := name
		if before := strings.Fields(text[:at]); len(before) > 1 {
			source = before[len(before)-1]
		}
		s.add(&e, source, len(text)-at+1)
	}
	return errors.Wrap(scanner.Err(), name)
}

// secondChars is the length of a time up to its seconds.
const secondChars = len("2006-01-02T15:04:05")

func (s *Summary) add(e *entry, source string, size int) {
	if len(e.Time) >= secondChars {
		second := source + " " + e.Time[:secondChars]
		s.lines[second]++
		s.bytes[second] += size
	}
	switch e.Message {
	case "placed":
		s.placed[e.Request] = append(s.placed[e.Request], e.Predicted)
	case "answered":
		if sent := s.placed[e.Request]; len(sent) == 1 && e.Sends == 1 && sent[0] > 0 {
			s.Ratios[e.Class] = append(s.Ratios[e.Class], (e.First-e.Queue)/sent[0])
		}
	}
}

// Busiest returns the source and second with the most bytes, and its lines and
// bytes.
func (s *Summary) Busiest() (second string, lines, bytes int) {
	for key, n := range s.bytes {
		if n > bytes || n == bytes && key < second {
			second, lines, bytes = key, s.lines[key], n
		}
	}
	return second, lines, bytes
}

// Print writes the summary as a table.
func (s *Summary) Print(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "first event / prediction\tanswers\tp10\tp50\tp90\tp99") // Flush tells
	classes := make([]string, 0, len(s.Ratios))
	for class := range s.Ratios {
		classes = append(classes, class)
	}
	slices.Sort(classes)
	for _, class := range classes {
		ratios := slices.Sorted(slices.Values(s.Ratios[class]))
		_, _ = fmt.Fprintf(table, "%s\t%d", class, len(ratios)) // the same
		for _, q := range []float64{.1, .5, .9, .99} {
			_, _ = fmt.Fprintf(table, "\t%.2f", ratios[min(int(q*float64(len(ratios))), len(ratios)-1)]) // the same
		}
		_, _ = fmt.Fprintln(table) // the same
	}
	if err := table.Flush(); err != nil {
		return errors.WithStack(err)
	}
	second, lines, bytes := s.Busiest()
	_, err := fmt.Fprintf(out, "busiest second: %s, %d lines, %d bytes\n", second, lines, bytes)
	return errors.WithStack(err)
}

// SummaryCommand is `carobspoke logs`.
func SummaryCommand() *cli.Command {
	return &cli.Command{
		Name:      "logs",
		Usage:     "summarise daemons' logs: how good predictions were, and how much was logged",
		ArgsUsage: "FILE...",
		Action: func(_ context.Context, c *cli.Command) error {
			if c.NArg() == 0 {
				return cli.Exit("a log is needed", 2)
			}
			s := NewSummary()
			for _, name := range c.Args().Slice() {
				if err := s.readFile(name); err != nil {
					return err
				}
			}
			return s.Print(os.Stdout)
		},
	}
}

func (s *Summary) readFile(name string) error {
	file, err := os.Open(name)
	if err != nil {
		return errors.WithStack(err)
	}
	defer func() { _ = file.Close() }() // it was only read
	return s.Read(file, name)
}

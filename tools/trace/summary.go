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

// Summary contains statistics of the logs of one or more daemons.
type Summary struct {
	// FirstEventRatios contains, by class, the time to the first event divided by
	// its prediction, for each answer that needed only one send.
	FirstEventRatios map[string][]float64
	// lineCounts and byteCounts are keyed by source and second, and predictions,
	// in ms, by request.
	lineCounts, byteCounts map[string]int
	predictions            map[string][]float64
}

// NewSummary returns an empty summary.
func NewSummary() *Summary {
	return &Summary{
		FirstEventRatios: make(map[string][]float64), lineCounts: make(map[string]int), byteCounts: make(map[string]int), predictions: make(map[string][]float64),
	}
}

// entry contains the fields of a log line that the summary uses. Predicted, Queue
// and First are in ms.
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

// AddLog adds a log, plain or in the output of the users' bench, to the summary. name
// is the source of lines that do not contain a host.
func (s *Summary) AddLog(log io.Reader, name string) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(make([]byte, 64<<10), maxLineBytes)
	for scanner.Scan() {
		text := scanner.Text()
		jsonStart := strings.IndexByte(text, '{')
		var e entry
		if jsonStart < 0 || json.Unmarshal([]byte(text[jsonStart:]), &e) != nil || e.Message == "" {
			continue // not a log line of a daemon
		}
		source := name
		if prefix := strings.Fields(text[:jsonStart]); len(prefix) > 1 {
			source = prefix[len(prefix)-1]
		}
		s.add(&e, source, len(text)-jsonStart+1)
	}
	return errors.Wrap(scanner.Err(), name)
}

// secondPrefixLen is the length of a timestamp up to and including its seconds.
const secondPrefixLen = len("2006-01-02T15:04:05")

// add counts a line of size bytes and, for an answer after one send, records its
// ratio.
func (s *Summary) add(e *entry, source string, size int) {
	if len(e.Time) >= secondPrefixLen {
		second := source + " " + e.Time[:secondPrefixLen]
		s.lineCounts[second]++
		s.byteCounts[second] += size
	}
	switch e.Message {
	case "placed":
		s.predictions[e.Request] = append(s.predictions[e.Request], e.Predicted)
	case "answered":
		if predicted := s.predictions[e.Request]; len(predicted) == 1 && e.Sends == 1 && predicted[0] > 0 {
			s.FirstEventRatios[e.Class] = append(s.FirstEventRatios[e.Class], (e.First-e.Queue)/predicted[0])
		}
	}
}

// BusiestSecond returns the source and second with the most logged bytes, and the
// numbers of its lines and bytes.
func (s *Summary) BusiestSecond() (second string, lines, bytes int) {
	for key, n := range s.byteCounts {
		if n > bytes || n == bytes && key < second {
			second, lines, bytes = key, s.lineCounts[key], n
		}
	}
	return second, lines, bytes
}

// Print writes quantiles of the ratios by class as a table, and the busiest second.
func (s *Summary) Print(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "first event / prediction\tanswers\tp10\tp50\tp90\tp99") // Flush returns a write error
	classes := make([]string, 0, len(s.FirstEventRatios))
	for class := range s.FirstEventRatios {
		classes = append(classes, class)
	}
	slices.Sort(classes)
	for _, class := range classes {
		ratios := slices.Sorted(slices.Values(s.FirstEventRatios[class]))
		_, _ = fmt.Fprintf(table, "%s\t%d", class, len(ratios)) // see above
		for _, q := range []float64{.1, .5, .9, .99} {
			_, _ = fmt.Fprintf(table, "\t%.2f", ratios[min(int(q*float64(len(ratios))), len(ratios)-1)]) // see above
		}
		_, _ = fmt.Fprintln(table) // see above
	}
	if err := table.Flush(); err != nil {
		return errors.WithStack(err)
	}
	second, lines, bytes := s.BusiestSecond()
	_, err := fmt.Fprintf(out, "busiest second: %s, %d lines, %d bytes\n", second, lines, bytes)
	return errors.WithStack(err)
}

// LogsCommand returns `carobspoke logs`.
func LogsCommand() *cli.Command {
	return &cli.Command{
		Name:      "logs",
		Usage:     "summarise daemons' logs: how good predictions were, and how much was logged",
		ArgsUsage: "FILE...",
		Commands:  []*cli.Command{secondsCommand()},
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
	defer func() { _ = file.Close() }() // opened only for reading
	return s.AddLog(file, name)
}

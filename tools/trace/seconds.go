package trace

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"carobspoke.example/core/verdict"
	"carobspoke.example/core/version/routing"
	"carobspoke.example/serving/request/relay"
	"carobspoke.example/tools/configcheck"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// unknown stands for a priority or size that neither the logs nor the configuration give.
const unknown = "?"

// Seconds counts the requests of daemons' logs by the second of their arrival, by priority
// and by size.
type Seconds struct {
	// routes are those of the configuration, by name.
	routes   map[string]*routing.Route
	requests []endedRequest
	// tokens are the lengths of prompts by request, from the lines of placements.
	tokens map[string]int
	// sizes are the sizes of a route's answered requests.
	sizes map[string]map[string]int
}

// endedRequest is the line with which a daemon logs the end of a request. Times are in ms.
type endedRequest struct {
	Time    string  `json:"time"`
	Message string  `json:"msg"`
	Request string  `json:"request"`
	Route   string  `json:"route"`
	Class   string  `json:"class"`
	Reason  string  `json:"reason"`
	Verdict string  `json:"verdict"`
	Queue   float64 `json:"queue"`
	First   float64 `json:"first"`
	Took    float64 `json:"took"`
	Sends   int     `json:"sends"`
	// Tokens, Priority and Returned are nil if the daemon's build does not log them.
	Tokens   *int  `json:"tokens"`
	Priority *int  `json:"priority"`
	Returned *bool `json:"returned"`

	ended time.Time
}

// NewSeconds returns empty counts. config may be nil; priorities that are not logged and
// aims are then unknown.
func NewSeconds(config *routing.Config) *Seconds {
	s := &Seconds{routes: make(map[string]*routing.Route), tokens: make(map[string]int), sizes: make(map[string]map[string]int)}
	if config != nil {
		for i := range config.Routes {
			s.routes[config.Routes[i].Name] = &config.Routes[i]
		}
	}
	return s
}

// AddLog adds the log of a daemon, plain or in the output of the users' bench.
func (s *Seconds) AddLog(log io.Reader) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(make([]byte, 64<<10), maxLineBytes)
	for scanner.Scan() {
		line := scanner.Bytes()
		var r endedRequest
		if i := slices.Index(line, '{'); i < 0 || json.Unmarshal(line[i:], &r) != nil {
			continue // not a log line of a daemon
		}
		s.add(&r)
	}
	return errors.WithStack(scanner.Err())
}

func (s *Seconds) add(r *endedRequest) {
	switch r.Message {
	case "placed":
		if r.Tokens != nil {
			s.tokens[r.Request] = *r.Tokens
		}
	case "answered", "not answered":
		at, err := time.Parse(time.RFC3339Nano, r.Time)
		if err != nil {
			return
		}
		r.ended = at
		s.requests = append(s.requests, *r)
		if r.Class != "" {
			if s.sizes[r.Route] == nil {
				s.sizes[r.Route] = make(map[string]int)
			}
			s.sizes[r.Route][r.Class]++
		}
	}
}

// arrived returns when the request reached the daemon.
func (r *endedRequest) arrived() time.Time {
	return r.ended.Add(-time.Duration(r.Took * float64(time.Millisecond)))
}

// refused reports whether the request was refused as not run while its caller waited.
func (r *endedRequest) refused() bool {
	return r.Message == "not answered" && r.Verdict == verdict.NotRun.String() && r.Reason != string(verdict.CallerGone)
}

// priority returns the logged priority of a request, or that of its route.
func (s *Seconds) priority(r *endedRequest) string {
	if r.Priority != nil {
		return strconv.Itoa(*r.Priority)
	}
	if route := s.routes[r.Route]; route != nil {
		return strconv.Itoa(route.Priority)
	}
	return unknown
}

// Lengths from which a prompt counts as long and as giant, as in the logs' classes.
const (
	longPromptTokens  = 25_000
	giantPromptTokens = 150_000
)

// size returns the class of a request. The end of a request that was not answered has none:
// the length of its prompt tells it, or the class of all answered requests of its route.
func (s *Seconds) size(r *endedRequest) string {
	tokens := s.tokens[r.Request]
	if r.Tokens != nil {
		tokens = *r.Tokens
	}
	switch {
	case r.Class != "":
		return r.Class
	case tokens >= giantPromptTokens:
		return string(relay.GiantPrompt)
	case tokens >= longPromptTokens:
		return string(relay.LongPrompt)
	case tokens > 0:
		return string(relay.ShortPrompt)
	case len(s.sizes[r.Route]) == 1:
		for class := range s.sizes[r.Route] {
			return class
		}
	}
	return unknown
}

// group is the requests of one priority and size that arrived within one second.
type group struct {
	second         time.Time
	priority, size string
	arrivals       int
	served, late   int
	refused, again int
	failed         int
	// inDaemon is the time to the first send, atTarget from there to the first event, of
	// the answered requests in ms.
	inDaemon, atTarget []float64
}

// groups returns the groups by second, priority and size.
func (s *Seconds) groups() []*group {
	type key struct {
		second         int64
		priority, size string
	}
	slices.SortStableFunc(s.requests, func(a, b endedRequest) int { return a.arrived().Compare(b.arrived()) })
	byKey := make(map[key]*group)
	refusedBefore := make(map[string]bool)
	var list []*group
	for i := range s.requests {
		r := &s.requests[i]
		second := r.arrived().Truncate(time.Second)
		k := key{second.Unix(), s.priority(r), s.size(r)}
		g := byKey[k]
		if g == nil {
			g = &group{second: second, priority: k.priority, size: k.size}
			byKey[k], list = g, append(list, g)
		}
		s.count(g, r, refusedBefore)
	}
	slices.SortFunc(list, func(a, b *group) int {
		return cmp.Or(a.second.Compare(b.second), strings.Compare(a.priority, b.priority), strings.Compare(a.size, b.size))
	})
	return list
}

// count adds a request to its group. refusedBefore has the IDs of refused requests.
func (s *Seconds) count(g *group, r *endedRequest, refusedBefore map[string]bool) {
	g.arrivals++
	switch {
	case r.Message == "answered":
		g.served++
		g.inDaemon, g.atTarget = append(g.inDaemon, r.Queue), append(g.atTarget, r.First-r.Queue)
		if aim := s.aim(r); aim > 0 && r.First > aim {
			g.late++
		}
	case r.refused():
		g.refused++
		if refusedBefore[r.Request] || r.Returned != nil && *r.Returned {
			g.again++
		}
		refusedBefore[r.Request] = true
	default:
		g.failed++
	}
}

// aim returns the time to the first event that callers of a route want, in ms, or zero if it
// is unknown.
func (s *Seconds) aim(r *endedRequest) float64 {
	if route := s.routes[r.Route]; route != nil {
		return float64(route.LatencyTarget) / float64(time.Millisecond)
	}
	return 0
}

// Print writes a table with a line for each second, priority and size, and the sums of
// refusals by reason.
func (s *Seconds) Print(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	const head = "second\tpriority\tsize\tarrived\tserved\tlate\tin daemon p50\tmax\tat target p50\tmax\trefused\tagain\tfailed"
	_, _ = fmt.Fprintln(table, head) // Flush returns a write error
	for _, g := range s.groups() {
		late := strconv.Itoa(g.late)
		if len(s.routes) == 0 {
			late = unknown
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%s\t%s\t%s\t%d\t%d\t%d\n", g.second.UTC().Format(time.TimeOnly), g.priority, g.size,
			g.arrivals, g.served, late, spread(g.inDaemon), spread(g.atTarget), g.refused, g.again, g.failed) // see above
	}
	if err := table.Flush(); err != nil {
		return errors.WithStack(err)
	}
	return s.printRefusals(out)
}

// spread returns the median and the maximum of times in ms, as two columns.
func spread(times []float64) string {
	if len(times) == 0 {
		return "-\t-"
	}
	sorted := slices.Sorted(slices.Values(times))
	return fmt.Sprintf("%.0f\t%.0f", sorted[len(sorted)/2], sorted[len(sorted)-1])
}

// printRefusals writes how often each kind of request was refused for which reason, and
// what the logs do not tell.
func (s *Seconds) printRefusals(out io.Writer) error {
	counts := make(map[string]int)
	noPriority, noReturn := 0, 0
	for i := range s.requests {
		r := &s.requests[i]
		if r.Priority == nil {
			noPriority++
		}
		if r.refused() {
			counts[fmt.Sprintf("refused %s: priority %s, %s", r.Reason, s.priority(r), s.size(r))]++
			if r.Returned == nil {
				noReturn++
			}
		}
	}
	for _, kind := range slices.Sorted(maps.Keys(counts)) {
		if _, err := fmt.Fprintf(out, "%s: %d\n", kind, counts[kind]); err != nil {
			return errors.WithStack(err)
		}
	}
	if noPriority > 0 {
		if _, err := fmt.Fprintf(out, "%d of %d requests are logged without a priority; that of the route in --config stands for it\n", noPriority, len(s.requests)); err != nil {
			return errors.WithStack(err)
		}
	}
	if noReturn > 0 {
		_, err := fmt.Fprintf(out, "%d refusals do not tell whether the request returned after one; only a repeated ID shows it\n", noReturn)
		return errors.WithStack(err)
	}
	return nil
}

// secondsCommand returns `carobspoke logs seconds`.
func secondsCommand() *cli.Command {
	return &cli.Command{
		Name:      "seconds",
		Usage:     "show for each second arrivals, waits, late requests and refusals, by priority and size",
		ArgsUsage: "FILE...",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Usage: "`FILE` with the published configuration, for the routes' priorities and aims"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.NArg() == 0 {
				return cli.Exit("a log is needed", 2)
			}
			config, err := readConfig(c.String("config"))
			if err != nil {
				return err
			}
			s := NewSeconds(config)
			for _, name := range c.Args().Slice() {
				if err := s.readFile(name); err != nil {
					return err
				}
			}
			return s.Print(os.Stdout)
		},
	}
}

// readConfig reads a published configuration. It returns nil for an empty path.
func readConfig(path string) (*routing.Config, error) {
	if path == "" {
		return nil, nil //nolint:nilnil // the configuration is optional
	}
	return configcheck.ReadFile(path) //nolint:wrapcheck // it names the file
}

func (s *Seconds) readFile(name string) error {
	file, err := os.Open(name)
	if err != nil {
		return errors.WithStack(err)
	}
	defer func() { _ = file.Close() }() // opened only for reading
	return errors.Wrap(s.AddLog(file), name)
}

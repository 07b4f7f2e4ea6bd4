package load

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"carobspoke.example/core/target"
	"carobspoke.example/core/version/manifest"
	"carobspoke.example/serving/connection/targetapi"
	"carobspoke.example/tools/load/workload"
	"carobspoke.example/tools/standin/fault"
	"github.com/pkg/errors"
)

// PlatformName is the name of the platform in faults.
const PlatformName = "platform"

// controlTimeout bounds one call to a stand-in.
const controlTimeout = 2 * time.Second

// Standins are the stand-ins behind a run.
type Standins struct {
	manifest  manifest.Manifest
	addresses map[string]string
	client    *http.Client
}

// NewStandins returns the stand-ins that a manifest names, and the platform at
// an address that may be empty.
func NewStandins(m manifest.Manifest, platform string) *Standins {
	s := &Standins{
		manifest:  m,
		addresses: map[string]string{},
		client:    &http.Client{Timeout: controlTimeout},
	}
	for _, t := range m.Targets {
		s.addresses[string(t.Name)] = t.Address
	}
	if platform != "" {
		s.addresses[PlatformName] = platform
	}
	return s
}

// Verify returns an error if a fault names an unknown stand-in.
func (s *Standins) Verify(faults []workload.Fault) error {
	for _, f := range faults {
		if s.addresses[f.Target] == "" && !strings.HasPrefix(f.Target, daemonPrefix) {
			return errors.Errorf("a fault names %q, which is not in the manifest", f.Target)
		}
	}
	return nil
}

// command sends a fault to its stand-in.
func (s *Standins) command(ctx context.Context, f workload.Fault) {
	body, err := json.Marshal(f.Command)
	if err != nil {
		return
	}
	url := "http://" + s.addresses[f.Target] + fault.ControlPath
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return
	}
	response, err := s.client.Do(request)
	if err != nil {
		return
	}
	_ = response.Body.Close()
}

// holding is what all engines hold.
type holding struct {
	blocks  int
	handles int
	streams int
}

func (h holding) empty() bool { return h == holding{} }

// held asks each engine what it holds. An engine that does not answer holds
// nothing that can be seen.
func (s *Standins) held(ctx context.Context, transport http.RoundTripper) holding {
	var sum holding
	for _, t := range s.manifest.Targets {
		if t.Service != "" {
			continue
		}
		client := targetapi.NewClient(t.Address, transport)
		if report, err := client.Report(ctx); err == nil {
			sum.blocks += report.TotalBlocks - report.FreeBlocks
		}
		if held, err := client.Holdings(ctx); err == nil {
			sum.handles += len(held.Handles)
			sum.streams += running(held.Streams)
		}
	}
	return sum
}

func running(streams []target.StreamInfo) int {
	count := 0
	for _, info := range streams {
		if !info.Done {
			count++
		}
	}
	return count
}

// runs asks the application's replicas how often each call ran, by the digest
// of its body.
func (s *Standins) runs(ctx context.Context) (map[uint64]int, error) {
	counts := map[uint64]int{}
	asked := map[string]bool{}
	for _, t := range s.manifest.Targets {
		if t.Service == "" || asked[t.Address] {
			continue
		}
		asked[t.Address] = true
		if err := s.runsOf(ctx, t.Name, t.Address, counts); err != nil {
			return nil, err
		}
	}
	return counts, nil
}

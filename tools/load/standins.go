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

// PlatformName is the target of faults of the platform stand-in.
const PlatformName = "platform"

// controlTimeout bounds one HTTP request to a stand-in.
const controlTimeout = 2 * time.Second

// Standins are the stand-ins for targets and the platform that a run uses.
type Standins struct {
	manifest  manifest.Manifest
	addresses map[string]string
	client    *http.Client
}

// NewStandins returns the stand-ins for the targets of a manifest and for the
// platform at an address, which may be empty.
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
			return errors.Errorf("the target %q of a fault is not in the manifest", f.Target)
		}
	}
	return nil
}

// sendFault sends a fault to its stand-in. Failures are ignored.
func (s *Standins) sendFault(ctx context.Context, f workload.Fault) {
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

// heldResources counts the resources that all engines hold.
type heldResources struct {
	blocks  int
	handles int
	streams int // that have not ended
}

func (h heldResources) empty() bool { return h == heldResources{} }

// listHeld returns the sum of the resources that engines report. An engine that
// does not answer counts as holding none.
func (s *Standins) listHeld(ctx context.Context, transport http.RoundTripper) heldResources {
	var sum heldResources
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
			sum.streams += countRunning(held.Streams)
		}
	}
	return sum
}

func countRunning(streams []target.StreamInfo) int {
	count := 0
	for _, info := range streams {
		if !info.Done {
			count++
		}
	}
	return count
}

// runCounts returns how often each call ran on the replicas of plain services,
// by the digest of its body.
func (s *Standins) runCounts(ctx context.Context) (map[uint64]int, error) {
	counts := map[uint64]int{}
	asked := map[string]bool{}
	for _, t := range s.manifest.Targets {
		if t.Service == "" || asked[t.Address] {
			continue
		}
		asked[t.Address] = true
		if err := s.addRunCounts(ctx, t.Name, t.Address, counts); err != nil {
			return nil, err
		}
	}
	return counts, nil
}

package emulator

import (
	"net/http"
	"slices"
	"strings"

	"carobspoke.example/core/names"
	"carobspoke.example/platform"
)

// HeaderRegions lists the regions that a request may reach. Only the emulator interprets
// it; without it there is no restriction.
const HeaderRegions = "Emulator-Regions"

// checkRegions records a violation if a request may not reach the region of the target or
// that of one of the helpers that it names.
func (t *Target) checkRegions(r *http.Request) {
	allowed := r.Header.Get(HeaderRegions)
	if allowed == "" {
		return
	}
	may := func(region names.Region) bool { return slices.Contains(strings.Split(allowed, ","), string(region)) }
	attempt := r.Header.Get(platform.HeaderAttempt)
	if !may(t.Region) {
		t.checker.recordOnceOf(t.ID, "request %s, which may reach the regions %s, reached target %s in %q", attempt, allowed, t.ID, t.Region)
	}
	if t.RegionAt == nil {
		return
	}
	for helper := range strings.SplitSeq(r.Header.Get(platform.HeaderHelpers), ",") {
		address, _, _ := strings.Cut(helper, "/")
		if region, ok := t.RegionAt(address); ok && !may(region) {
			t.checker.recordOnceOf(t.ID, "request %s, which may reach the regions %s, has a helper in %q", attempt, allowed, region)
		}
	}
}

package slopes

import (
	"math"
	"strings"
	"testing"
)

func TestFitLineRecoversLine(t *testing.T) {
	f := FitLine([]float64{9, 50, 200}, []float64{23, 105, 405})
	if math.Abs(f.Slope-2) > 1e-9 || math.Abs(f.Intercept-5) > 1e-9 || f.R2 < 0.999 {
		t.Fatalf("%+v", f)
	}
	if noisy := FitLine([]float64{1, 2, 3, 4}, []float64{1, 9, 1, 9}); noisy.R2 > 0.5 {
		t.Fatalf("R² of noisy data is too high: %+v", noisy)
	}
}

func TestQuickRunPrintsAllTables(t *testing.T) {
	var out strings.Builder
	if err := Measure(QuickOptions(), &out); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"### Membership: rates", "### Membership: times", "### Keepers", "### Quotas", "### Distribution", "| 40 |"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q missing from the output", want)
		}
	}
	if strings.Contains(out.String(), "| false |") {
		t.Errorf("a fleet did not converge:\n%s", out.String())
	}
	t.Log(out.String())
}

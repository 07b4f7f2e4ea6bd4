package target

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"carobspoke.example/core/names"
	"github.com/pkg/errors"
)

// ReportHeader is the response header in which an engine may send its load report
// together with an answer. The keeper then need not poll the engine.
const ReportHeader = "Load-Report"

// reportFields is the number of fields in the header value.
const reportFields = 14

// HeaderText returns the report as the value of ReportHeader: numbers in a fixed
// order, then role, model and version. It omits the target's name and adapters.
func (r *Report) HeaderText() string {
	loading := 0
	if r.State.Loading {
		loading = 1
	}
	return fmt.Sprintf("%d %d %d %d %d %d %d %d %.0f %d %d %d %s %s/%s",
		r.BootID, r.Seq, r.MeasuredAt.UnixMilli(), r.QueuedTokens, r.RunningStreams, r.FreeBlocks, r.TotalBlocks,
		r.BlockTokens, r.PrefillRate, r.StepTime.Microseconds(), r.Fence, loading, r.State.Role, r.State.Model, r.State.Version)
}

// ParseReportHeader parses a value of ReportHeader, as returned by HeaderText.
func ParseReportHeader(text string) (Report, error) {
	parts := strings.SplitN(text, " ", reportFields)
	if len(parts) != reportFields {
		return Report{}, errors.New("load report: too few fields")
	}
	var n [reportFields - 2]int64
	for i := range n {
		value, err := strconv.ParseInt(parts[i], 10, 64)
		if err != nil || value < 0 {
			return Report{}, errors.Errorf("load report: field %d is not a non-negative integer", i)
		}
		n[i] = value
	}
	model, version, ok := strings.Cut(parts[13], "/")
	if !ok {
		return Report{}, errors.New("load report: missing version")
	}
	return Report{
		BootID: uint64(n[0]), Seq: uint64(n[1]), MeasuredAt: time.UnixMilli(n[2]),
		QueuedTokens: int(n[3]), RunningStreams: int(n[4]), FreeBlocks: int(n[5]), TotalBlocks: int(n[6]),
		BlockTokens: int(n[7]), PrefillRate: float64(n[8]), StepTime: time.Duration(n[9]) * time.Microsecond,
		Fence: uint64(n[10]),
		State: State{Model: names.Model(model), Version: version, Role: Role(parts[12]), Loading: n[11] == 1},
	}, nil
}

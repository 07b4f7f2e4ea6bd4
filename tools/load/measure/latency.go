package measure

import (
	"encoding/base64"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
)

// Range of histogram values in microseconds, and the histograms' precision.
const (
	lowestMicros       = 1
	highestMicros      = int64(time.Hour / time.Microsecond)
	significantFigures = 3
	// ticksPerHalving is the number of points of a cumulative distribution each
	// time the distance to 100% halves.
	ticksPerHalving = 10
)

// Latency is a distribution of durations, in milliseconds.
type Latency struct {
	Count  int64   `json:"count"`
	MeanMS float64 `json:"mean_ms"`
	P50MS  float64 `json:"p50_ms"`
	P90MS  float64 `json:"p90_ms"`
	P95MS  float64 `json:"p95_ms"`
	P99MS  float64 `json:"p99_ms"`
	MaxMS  float64 `json:"max_ms"`
	// Histogram is the complete HdrHistogram in the compressed V2 encoding and
	// base64, with values in microseconds.
	Histogram string `json:"histogram"`
}

// Point is a point of a cumulative distribution: a percentile and its latency in
// milliseconds.
type Point struct {
	Percentile float64
	MS         float64
}

// Points decodes the histogram and returns its cumulative distribution.
func (l Latency) Points() ([]Point, error) {
	encoded, err := base64.StdEncoding.DecodeString(l.Histogram)
	if err != nil {
		return nil, errors.Wrap(err, "histogram")
	}
	h, err := hdrhistogram.Decode(encoded)
	if err != nil {
		return nil, errors.Wrap(err, "histogram")
	}
	brackets := h.CumulativeDistributionWithTicks(ticksPerHalving)
	points := make([]Point, 0, len(brackets))
	for _, b := range brackets {
		points = append(points, Point{Percentile: b.Quantile, MS: microsToMillis(b.ValueAt)})
	}
	return points, nil
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestMicros, highestMicros, significantFigures)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), lowestMicros), highestMicros)) // never fails: the value is clamped to the range
}

func summarise(h *hdrhistogram.Histogram) (Latency, error) {
	encoded, err := h.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	if err != nil {
		return Latency{}, errors.Wrap(err, "histogram")
	}
	return Latency{
		Count:     h.TotalCount(),
		MeanMS:    h.Mean() / float64(time.Millisecond/time.Microsecond),
		P50MS:     microsToMillis(h.ValueAtQuantile(50)),
		P90MS:     microsToMillis(h.ValueAtQuantile(90)),
		P95MS:     microsToMillis(h.ValueAtQuantile(95)),
		P99MS:     microsToMillis(h.ValueAtQuantile(99)),
		MaxMS:     microsToMillis(h.Max()),
		Histogram: base64.StdEncoding.EncodeToString(encoded),
	}, nil
}

func microsToMillis(micros int64) float64 { return float64(micros) / 1000 }

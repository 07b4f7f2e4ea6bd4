package measure

import (
	"encoding/base64"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
)

// Range of histograms in microseconds, and their precision.
const (
	lowest  = 1
	highest = int64(time.Hour / time.Microsecond)
	figures = 3
	// ticksPerHalf is the number of points of a cumulative distribution in
	// each halving of what is left to 100%.
	ticksPerHalf = 10
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
	// Histogram is the whole HdrHistogram, in its V2 encoding and base64,
	// with values in microseconds.
	Histogram string `json:"histogram"`
}

// Point is a point of a cumulative distribution.
type Point struct {
	Percentile float64
	MS         float64
}

// Points returns the cumulative distribution.
func (l Latency) Points() ([]Point, error) {
	encoded, err := base64.StdEncoding.DecodeString(l.Histogram)
	if err != nil {
		return nil, errors.Wrap(err, "histogram")
	}
	h, err := hdrhistogram.Decode(encoded)
	if err != nil {
		return nil, errors.Wrap(err, "histogram")
	}
	brackets := h.CumulativeDistributionWithTicks(ticksPerHalf)
	points := make([]Point, 0, len(brackets))
	for _, b := range brackets {
		points = append(points, Point{Percentile: b.Quantile, MS: millis(b.ValueAt)})
	}
	return points, nil
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(lowest, highest, figures) }

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), lowest), highest)) // it is in range
}

func summarise(h *hdrhistogram.Histogram) (Latency, error) {
	encoded, err := h.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	if err != nil {
		return Latency{}, errors.Wrap(err, "histogram")
	}
	return Latency{
		Count:     h.TotalCount(),
		MeanMS:    h.Mean() / float64(time.Millisecond/time.Microsecond),
		P50MS:     millis(h.ValueAtQuantile(50)),
		P90MS:     millis(h.ValueAtQuantile(90)),
		P95MS:     millis(h.ValueAtQuantile(95)),
		P99MS:     millis(h.ValueAtQuantile(99)),
		MaxMS:     millis(h.Max()),
		Histogram: base64.StdEncoding.EncodeToString(encoded),
	}, nil
}

func millis(micros int64) float64 { return float64(micros) / 1000 }

package report

import (
	"bytes"
	"fmt"
	"path/filepath"
	"strings"

	"carobspoke.example/tools/load/measure"
	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Figure identifies a kind of figure.
type Figure string

// Figures: the distributions of three latencies, and the requests offered and
// answered in each second of the run.
const (
	FirstToken Figure = "first-token"
	InterToken Figure = "inter-token"
	Total      Figure = "total"
	Timeline   Figure = "timeline"
)

// Size of figures, in points.
const (
	width  vg.Length = 454
	height vg.Length = 255
)

// minAxisMS is the left end of logarithmic axes, in milliseconds. Shorter
// latencies are drawn there because such an axis has no zero.
const minAxisMS = 0.1

// formatNumber returns a number with three significant digits.
func formatNumber(value float64) string { return fmt.Sprintf("%.3g", value) }

// SaveFigure draws a figure of some results into a file, as SVG or PNG according
// to the extension of its name. Timeline ignores class.
func SaveFigure(path string, figure Figure, class string, results []*measure.Result) error {
	p, err := draw(figure, class, results)
	if err != nil {
		return err
	}
	switch filepath.Ext(path) {
	case ".svg", ".png":
		return errors.WithStack(p.Save(width, height, path))
	default:
		return errors.Errorf("name of figure file %s must end in .svg or .png", path)
	}
}

// svg draws a figure as an SVG element, without the XML prologue, which cannot
// be embedded in HTML.
func svg(figure Figure, class string, results []*measure.Result) (string, error) {
	p, err := draw(figure, class, results)
	if err != nil {
		return "", err
	}
	writer, err := p.WriterTo(width, height, "svg")
	if err != nil {
		return "", errors.WithStack(err)
	}
	var out bytes.Buffer
	if _, err := writer.WriteTo(&out); err != nil {
		return "", errors.WithStack(err)
	}
	text := out.String()
	return text[max(0, strings.Index(text, "<svg")):], nil
}

func draw(figure Figure, class string, results []*measure.Result) (*plot.Plot, error) {
	if figure == Timeline {
		return drawTimeline(results)
	}
	p := plot.New()
	p.Title.Text = string(figure) + ", " + class
	p.X.Label.Text = "ms"
	p.X.Scale = plot.LogScale{}
	p.X.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Y.Label.Text = "% of requests"
	p.Y.Max = percent
	p.Legend.Top = true
	p.Legend.Left = true
	for i, r := range results {
		if err := addDistribution(p, i, figure, class, r); err != nil {
			return nil, err
		}
	}
	return p, nil
}

func addDistribution(p *plot.Plot, i int, figure Figure, class string, r *measure.Result) error {
	group := r.Find(class, measure.AllPhases)
	if group == nil {
		return nil
	}
	latency, err := latencyOf(figure, group)
	if err != nil || latency.Count == 0 {
		return err
	}
	points, err := latency.Points()
	if err != nil {
		return err
	}
	curve := make(plotter.XYs, 0, len(points))
	for _, point := range points {
		curve = append(curve, plotter.XY{X: max(point.MS, minAxisMS), Y: point.Percentile})
	}
	return addLine(p, i, labelOf(r), curve)
}

func latencyOf(figure Figure, g *measure.Group) (measure.Latency, error) {
	switch figure {
	case FirstToken:
		return g.FirstToken, nil
	case InterToken:
		return g.InterToken, nil
	case Total:
		return g.Total, nil
	default:
		return measure.Latency{}, errors.Errorf("unknown figure %q", figure)
	}
}

func drawTimeline(results []*measure.Result) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = "answers by second of arrival"
	p.X.Label.Text = "s"
	p.Y.Label.Text = "requests a second"
	p.Y.Min = 0
	p.Legend.Top = true
	p.Legend.Left = true
	for i, r := range results {
		offered := make(plotter.XYs, len(r.Timeline))
		whole := make(plotter.XYs, len(r.Timeline))
		for second, entry := range r.Timeline {
			offered[second] = plotter.XY{X: float64(second), Y: float64(entry.Offered)}
			whole[second] = plotter.XY{X: float64(second), Y: float64(entry.Complete)}
		}
		if err := addLine(p, 2*i, labelOf(r)+" offered", offered); err != nil {
			return nil, err
		}
		if err := addLine(p, 2*i+1, labelOf(r)+" whole", whole); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// addLine adds a curve to a plot, in the i-th colour of the palette.
func addLine(p *plot.Plot, i int, label string, points plotter.XYs) error {
	if len(points) == 0 {
		return nil
	}
	curve, err := plotter.NewLine(points)
	if err != nil {
		return errors.WithStack(err)
	}
	curve.Color = plotutil.Color(i) //nolint:misspell // the name is the plotting library's
	curve.Width = vg.Points(1.5)
	p.Add(curve)
	p.Legend.Add(label, curve)
	return nil
}

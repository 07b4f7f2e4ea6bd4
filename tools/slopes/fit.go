package slopes

import "fmt"

// Fit is a straight line through measurements.
type Fit struct {
	Intercept float64
	Slope     float64
	// R2 is the share of the variance that the line explains; 1 if there
	// is no variance.
	R2 float64
}

// Line fits a line by least squares.
func Line(x, y []float64) Fit {
	n := float64(len(x))
	var sx, sy, sxx, sxy float64
	for i := range x {
		sx += x[i]
		sy += y[i]
		sxx += x[i] * x[i]
		sxy += x[i] * y[i]
	}
	spread := n*sxx - sx*sx
	if spread == 0 {
		return Fit{Intercept: sy / n, R2: 1}
	}
	f := Fit{Slope: (n*sxy - sx*sy) / spread}
	f.Intercept = (sy - f.Slope*sx) / n
	f.R2 = f.explained(x, y, sy/n)
	return f
}

func (f Fit) explained(x, y []float64, mean float64) float64 {
	var rest, all float64
	for i := range x {
		d := y[i] - f.At(x[i])
		rest += d * d
		all += (y[i] - mean) * (y[i] - mean)
	}
	if all == 0 {
		return 1
	}
	return 1 - rest/all
}

// At returns the line's value at x.
func (f Fit) At(x float64) float64 { return f.Intercept + f.Slope*x }

// String returns the line and its fit.
func (f Fit) String() string {
	return fmt.Sprintf("%.4g + %.4g·n (R² %.2f)", f.Intercept, f.Slope, f.R2)
}

// floats returns integers as floating-point numbers.
func floats(values []int) []float64 {
	out := make([]float64, len(values))
	for i, v := range values {
		out[i] = float64(v)
	}
	return out
}

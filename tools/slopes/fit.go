package slopes

import "fmt"

// Fit is a straight line fitted to measurements.
type Fit struct {
	Intercept float64
	Slope     float64
	// R2 is the coefficient of determination: the share of the variance that
	// the line explains, or 1 if there is no variance.
	R2 float64
}

// FitLine fits a line by least squares.
func FitLine(x, y []float64) Fit {
	n := float64(len(x))
	var sx, sy, sxx, sxy float64
	for i := range x {
		sx += x[i]
		sy += y[i]
		sxx += x[i] * x[i]
		sxy += x[i] * y[i]
	}
	denominator := n*sxx - sx*sx
	if denominator == 0 {
		return Fit{Intercept: sy / n, R2: 1}
	}
	f := Fit{Slope: (n*sxy - sx*sy) / denominator}
	f.Intercept = (sy - f.Slope*sx) / n
	f.R2 = f.rSquared(x, y, sy/n)
	return f
}

func (f Fit) rSquared(x, y []float64, mean float64) float64 {
	var residual, total float64
	for i := range x {
		d := y[i] - f.At(x[i])
		residual += d * d
		total += (y[i] - mean) * (y[i] - mean)
	}
	if total == 0 {
		return 1
	}
	return 1 - residual/total
}

// At returns the line's value at x.
func (f Fit) At(x float64) float64 { return f.Intercept + f.Slope*x }

// String returns the line's equation and R².
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

// Package slopes measures how the cost of control grows with the size of a
// deployment, on real control and entry processes with light sessions and
// announcing targets, and extrapolates it to the target size.
package slopes

import (
	"fmt"
	"math"
)

// Point is one measured size and its cost.
type Point struct {
	Size float64
	Cost float64
}

// Fit is a least-squares line through points.
type Fit struct {
	Slope     float64
	Intercept float64
	// StdErr is the standard deviation of the residuals.
	StdErr float64
}

// Line fits a line through the points; it needs at least two sizes.
func Line(points []Point) Fit {
	n := float64(len(points))
	var sx, sy, sxx, sxy float64
	for _, p := range points {
		sx, sy = sx+p.Size, sy+p.Cost
		sxx, sxy = sxx+p.Size*p.Size, sxy+p.Size*p.Cost
	}
	f := Fit{Intercept: sy / n}
	if d := n*sxx - sx*sx; d != 0 {
		f.Slope = (n*sxy - sx*sy) / d
		f.Intercept = (sy - f.Slope*sx) / n
	}
	var squares float64
	for _, p := range points {
		r := p.Cost - f.At(p.Size)
		squares += r * r
	}
	if len(points) > 2 {
		f.StdErr = math.Sqrt(squares / (n - 2))
	}
	return f
}

// At returns the line's cost at a size.
func (f Fit) At(size float64) float64 { return f.Intercept + f.Slope*size }

// String formats the fit for the report.
func (f Fit) String() string {
	return fmt.Sprintf("%.4g + %.4g per unit (residual %.2g)", f.Intercept, f.Slope, f.StdErr)
}

// Package slopes measures how the cost of the control plane grows with the size
// of a deployment and extrapolates it to the full size. It runs real control and
// entry processes. Further entry instances are represented by their sessions
// only, and targets by their announcements only.
package slopes

import (
	"fmt"
	"math"
)

// Point is a measured cost at one size.
type Point struct {
	Size float64
	Cost float64
}

// Fit is a least-squares line: cost = Intercept + Slope*size.
type Fit struct {
	Slope     float64
	Intercept float64
	// StdErr is the standard deviation of the residuals; 0 for up to two points.
	StdErr float64
}

// FitLine fits a line to points. If all points have the same size, the slope is 0
// and the intercept is the mean cost.
func FitLine(points []Point) Fit {
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
	var squaredResiduals float64
	for _, p := range points {
		residual := p.Cost - f.At(p.Size)
		squaredResiduals += residual * residual
	}
	if len(points) > 2 {
		f.StdErr = math.Sqrt(squaredResiduals / (n - 2))
	}
	return f
}

// At returns the fitted cost at a size.
func (f Fit) At(size float64) float64 { return f.Intercept + f.Slope*size }

// String formats the fit for the report.
func (f Fit) String() string {
	return fmt.Sprintf("%.4g + %.4g per unit (residual %.2g)", f.Intercept, f.Slope, f.StdErr)
}

package slopes

import (
	"os"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a wrong extrapolation: for points on a line, the fit must return
// that line.
func TestFitLineRecoversExactLine(t *testing.T) {
	f := FitLine([]Point{{8, 21}, {32, 69}, {128, 261}})
	assert.Assert(t, f.Slope > 1.999 && f.Slope < 2.001 && f.StdErr < 1e-6, "%v", f)
	assert.Assert(t, f.At(370) > 744.9 && f.At(370) < 745.1)
}

// Guards against reading the wrong columns of /proc/<pid>/stat and statm.
func TestUsageOfThisProcess(t *testing.T) {
	u, err := UsageOf(os.Getpid())
	assert.NilError(t, err)
	assert.Assert(t, u.Resident > 1<<20)
}

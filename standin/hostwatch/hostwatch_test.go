package hostwatch

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestReportNamesWhatWasMeasured(t *testing.T) {
	w := Start(t.TempDir())
	time.Sleep(3 * syncInterval)
	r := w.Stop()
	assert.NilError(t, r.SyncErr)
	assert.Assert(t, r.MaxDelay > 0 && r.MaxSync > 0 && r.Stolen >= 0 && r.Idle <= 1, "%+v", r)
	assert.Assert(t, strings.HasPrefix(r.String(), "host: sleeps ended up to"))
}

func TestDiskThatFailsIsReported(t *testing.T) {
	w := Start(t.TempDir() + "/missing")
	assert.ErrorContains(t, w.Stop().SyncErr, "no such file")
}

func TestSharesOfProcessorTime(t *testing.T) {
	stolen, idle := processorTimes{total: 200, idle: 60, stolen: 30}.sharesSince(processorTimes{total: 100, idle: 20, stolen: 5})
	assert.Equal(t, stolen, 0.25)
	assert.Equal(t, idle, 0.4)
}

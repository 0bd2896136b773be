package faults

import (
	"context"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivetrack/endivetrack/standin/cluster"
)

// shortSeed is the seed of the part of the matrix that `make test` runs.
const shortSeed = 3

// Guards against a guarantee that is broken when the control leader is killed,
// when an entry instance is killed after it sent a protected write, or during a
// planned stop. Runs real processes under load and compares the records of callers
// and targets. `make faults` runs the whole matrix.
func TestShortMatrix(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Minute)
	t.Cleanup(cancel)
	bin := t.TempDir()
	assert.NilError(t, cluster.Build(ctx, filepath.Join("..", ".."), bin))
	for _, name := range []string{"control-leader/kill", "entry/kill@write.after_send", "entry/stop"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cells, err := ParseCells(name)
			assert.NilError(t, err)
			r, err := Run(ctx, bin, shortSeed, cells...)
			assert.NilError(t, err)
			assert.Equal(t, len(r.Violations), 0, "%v", r.Violations)
			assert.Assert(t, r.Reached, "the fault point was not reached")
		})
	}
}

// pointsOutsideMatrix are fault points that the load of the matrix does not reach.
// They are passed only with a refused connection, a full segment of the write-ahead
// log, a snapshot or the initial start of a control instance.
var pointsOutsideMatrix = []string{
	"write.before_abort",
	"wal.before_segment_rename", "wal.after_segment_rename", "wal.before_segment_remove", "wal.after_segment_remove",
	"wal.before_snapshot_rename", "wal.after_snapshot_rename", "wal.before_identity_rename", "wal.after_identity_rename",
}

// Guards against a fault point in the source that the matrix does not cover, and
// against a cell whose fault point no longer exists.
func TestPointsMatchSource(t *testing.T) {
	point := regexp.MustCompile(`faultpoint\.Point = "([a-z_.]+)"`)
	var source []string
	for _, file := range []string{"wal/wal.go", "entry/command/write.go", "entry/command/generation.go"} {
		text, err := os.ReadFile(filepath.Join("..", "..", "internal", file))
		assert.NilError(t, err)
		for _, m := range point.FindAllStringSubmatch(string(text), -1) {
			source = append(source, m[1])
		}
	}
	known := slices.Concat(walPoints, entryPoints, pointsOutsideMatrix)
	slices.Sort(source)
	slices.Sort(known)
	assert.DeepEqual(t, source, known)
}

// Guards against a matrix that never ends because one cell waits for something that
// never happens.
func TestCellIsBounded(t *testing.T) {
	const timeout = 10 * time.Millisecond
	release := make(chan struct{})
	defer close(release)
	_, err := runBounded(t.Context(), timeout, timeout, func(context.Context) (Result, error) {
		waitForNothing(release)
		return Result{}, nil
	})
	assert.ErrorContains(t, err, "waitForNothing", "the error does not show what the cell waits for")
	_, err = runBounded(t.Context(), timeout, time.Minute, func(ctx context.Context) (Result, error) {
		<-ctx.Done()
		return Result{}, ctx.Err()
	})
	assert.ErrorIs(t, err, context.DeadlineExceeded)
}

func waitForNothing(release <-chan struct{}) { <-release }

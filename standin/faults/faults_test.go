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

// shortSeed is the fixed seed of the part of the matrix that make test runs.
const shortSeed = 3

// Guards against a broken promise when the control leader dies, when an entry
// instance dies after a protected write was sent, and at a planned stop: real
// processes under load, compared from outside. make faults runs the rest.
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
			assert.Assert(t, r.Reached, "the step was not reached")
		})
	}
}

// outsideMatrix are steps that the load of the matrix does not reach: they need
// a refused connection, a full segment, a snapshot or a first start.
var outsideMatrix = []string{
	"write.before_abort",
	"wal.before_segment_rename", "wal.after_segment_rename", "wal.before_segment_remove", "wal.after_segment_remove",
	"wal.before_snapshot_rename", "wal.after_snapshot_rename", "wal.before_identity_rename", "wal.after_identity_rename",
}

// Guards against a named step that the matrix does not know, and against a cell
// whose step no longer exists.
func TestCellsNameTheStepsOfTheSource(t *testing.T) {
	point := regexp.MustCompile(`faultpoint\.Point = "([a-z_.]+)"`)
	var source []string
	for _, file := range []string{"wal/wal.go", "entry/command/write.go", "entry/command/generation.go"} {
		text, err := os.ReadFile(filepath.Join("..", "..", "internal", file))
		assert.NilError(t, err)
		for _, m := range point.FindAllStringSubmatch(string(text), -1) {
			source = append(source, m[1])
		}
	}
	known := slices.Concat(walPoints, entryPoints, outsideMatrix)
	slices.Sort(source)
	slices.Sort(known)
	assert.DeepEqual(t, source, known)
}

package faults

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// Matrix runs cells in parallel, each on its own deployment.
type Matrix struct {
	BinDir   string
	Seed     uint64
	Until    time.Time
	Parallel int
	// KnownFailures holds the names of the cells listed in KNOWN-RED.txt.
	KnownFailures map[string]bool
	Out           io.Writer
}

// Summary counts the cells and pairs that a matrix run has finished. Failed excludes
// known failures. NotReached counts the cells and pairs with a fault that was not
// injected.
type Summary struct {
	Cells, Failed, KnownFailed, NotReached int
}

// Run runs single cells in an order drawn from the seed, alternating with random
// pairs of cells, until m.Until. If m.Until is zero, it runs each single cell once
// and no pairs.
func (m Matrix) Run(ctx context.Context) Summary {
	jobs := make(chan []Cell)
	var s Summary
	var mu sync.Mutex
	var wg sync.WaitGroup
	for range m.Parallel {
		wg.Go(func() {
			for cells := range jobs {
				result, err := Run(ctx, m.BinDir, m.Seed, cells...)
				mu.Lock()
				m.countResult(&s, result, err)
				mu.Unlock()
			}
		})
	}
	m.enqueueCells(ctx, jobs)
	close(jobs)
	wg.Wait()
	return s
}

// cellDuration is the approximate duration of one cell. No cell is started if less
// time is left until Matrix.Until.
const cellDuration = 15 * time.Second

func (m Matrix) enqueueCells(ctx context.Context, jobs chan<- []Cell) {
	rng := rand.New(rand.NewPCG(m.Seed, 1))
	cells := Cells()
	rng.Shuffle(len(cells), func(i, j int) { cells[i], cells[j] = cells[j], cells[i] })
	timeIsUp := func() bool {
		return ctx.Err() != nil || time.Until(m.Until) < cellDuration
	}
	if m.Until.IsZero() {
		for _, c := range cells {
			jobs <- []Cell{c}
		}
		return
	}
	for i := 0; !timeIsUp(); i++ {
		jobs <- []Cell{cells[i%len(cells)]}
		pair := RandomPair(rng)
		if timeIsUp() {
			return
		}
		jobs <- pair[:]
	}
}

// countResult adds one result to s. If the result is a failure, it also prints the
// failure and the command that repeats it.
func (m Matrix) countResult(s *Summary, r Result, err error) {
	s.Cells++
	if !r.Reached {
		s.NotReached++
	}
	if err == nil && len(r.Violations) == 0 {
		return
	}
	state := "failed"
	if m.KnownFailures[r.Name()] {
		state = "known-red"
		s.KnownFailed++
	} else {
		s.Failed++
	}
	what := strings.Join(r.Violations, "; ")
	if err != nil {
		what = err.Error()
	}
	fmt.Fprintf(m.Out, "%s %s: %s\n  repeat: bin/standin-faults -seed %d -cell %s\n", state, r.Name(), what, m.Seed, r.Name())
}

// ParseCells returns the cells of a name in the form of Result.Name: one cell name
// or several joined by "+". It fails for an unknown cell.
func ParseCells(name string) ([]Cell, error) {
	var out []Cell
	for _, part := range strings.Split(name, "+") {
		found := false
		for _, c := range Cells() {
			if c.Name() == part {
				out, found = append(out, c), true
			}
		}
		if !found {
			return nil, fmt.Errorf("no cell %q", part)
		}
	}
	return out, nil
}

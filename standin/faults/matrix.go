package faults

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"runtime"
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
				result, err := runBounded(ctx, cellTimeout, abandonAfter, func(ctx context.Context) (Result, error) {
					return Run(ctx, m.BinDir, m.Seed, cells...)
				})
				if result.Cells == nil {
					result.Cells = cells
				}
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

// Bounds on the duration of one cell or pair. A cell that goes on for abandonAfter
// beyond cellTimeout, when its context has ended, is reported with the stacks of all
// goroutines, which show what it waits for.
const (
	cellTimeout  = 3 * time.Minute
	abandonAfter = 20 * time.Second
	maxStackDump = 1 << 20
)

// runBounded runs a cell within timeout, and waits at most grace for it to end after
// that.
func runBounded(ctx context.Context, timeout, grace time.Duration, run func(context.Context) (Result, error)) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	type outcome struct {
		result Result
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		result, err := run(ctx)
		done <- outcome{result, err}
	}()
	abandon := time.NewTimer(timeout + grace)
	defer abandon.Stop()
	select {
	case o := <-done:
		return o.result, o.err
	case <-abandon.C:
		stacks := make([]byte, maxStackDump)
		stacks = stacks[:runtime.Stack(stacks, true)]
		return Result{}, fmt.Errorf("did not end within %v after its timeout; goroutines:\n%s", grace, stacks)
	}
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

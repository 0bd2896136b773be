// Package hostwatch measures whether the computer that runs a test gave its processes the
// processors and the disk in time. A test that fails reports the measurement, so that a
// starved run can be told from a fault of the system under test.
package hostwatch

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Intervals of the measurements.
const (
	sleepInterval = 10 * time.Millisecond
	syncInterval  = 100 * time.Millisecond
)

// Report is what a Watch has measured.
type Report struct {
	// MaxDelay is the longest time by which a sleep of this process ended late.
	MaxDelay time.Duration
	// MaxSync is the longest time that a write to disk took; SyncErr is set if one failed.
	MaxSync time.Duration
	SyncErr error
	// Stolen is the share of the processors' time that the hypervisor gave to others, and
	// Idle the share in which nothing was to be run.
	Stolen, Idle float64
	// Load is the load average of the last minute.
	Load string
}

// String describes the report in one line.
func (r Report) String() string {
	s := fmt.Sprintf("host: sleeps ended up to %v late, syncs took up to %v, %.0f%% of the processor time stolen, %.0f%% idle, load average %s",
		r.MaxDelay.Round(time.Millisecond), r.MaxSync.Round(time.Millisecond), 100*r.Stolen, 100*r.Idle, r.Load)
	if r.SyncErr != nil {
		s += fmt.Sprintf(", sync failed: %v", r.SyncErr)
	}
	return s
}

// Watch measures from Start to Stop.
type Watch struct {
	stop    chan struct{}
	workers sync.WaitGroup
	before  processorTimes
	report  Report
}

// Start begins to measure. dir is on the disk whose syncs are timed.
func Start(dir string) *Watch {
	w := &Watch{stop: make(chan struct{}), before: readProcessorTimes()}
	w.workers.Go(w.watchSleeps)
	w.workers.Go(func() { w.watchSyncs(filepath.Join(dir, "hostwatch")) })
	return w
}

// Stop ends the measurement and returns it.
func (w *Watch) Stop() Report {
	close(w.stop)
	w.workers.Wait()
	w.report.Stolen, w.report.Idle = readProcessorTimes().sharesSince(w.before)
	w.report.Load = readLoad()
	return w.report
}

// stopsWithin waits for d and reports whether Stop was called meanwhile.
func (w *Watch) stopsWithin(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-w.stop:
		return true
	case <-timer.C:
		return false
	}
}

func (w *Watch) watchSleeps() {
	for {
		began := time.Now()
		if w.stopsWithin(sleepInterval) {
			return
		}
		w.report.MaxDelay = max(w.report.MaxDelay, time.Since(began)-sleepInterval)
	}
}

func (w *Watch) watchSyncs(file string) {
	f, err := os.Create(file)
	if err != nil {
		w.report.SyncErr = err
		return
	}
	defer os.Remove(file)
	defer f.Close()
	for !w.stopsWithin(syncInterval) {
		began := time.Now()
		_, err := f.WriteString(began.String())
		if err == nil {
			err = f.Sync()
		}
		if err != nil {
			w.report.SyncErr = err
			return
		}
		w.report.MaxSync = max(w.report.MaxSync, time.Since(began))
	}
}

// processorTimes are totals over all processors since the start of the computer, in ticks.
type processorTimes struct{ total, idle, stolen float64 }

// Fields of the first line of /proc/stat, after its name.
const (
	idleField   = 3
	stealField  = 7
	statFields  = 8 // those of guests are parts of the others
	statFile    = "/proc/stat"
	loadAvgFile = "/proc/loadavg"
)

// readProcessorTimes returns zero times where the system does not tell them.
func readProcessorTimes() (t processorTimes) {
	text, err := os.ReadFile(statFile)
	if err != nil {
		return t
	}
	line, _, _ := strings.Cut(string(text), "\n")
	fields := strings.Fields(line)
	if len(fields) <= statFields {
		return t
	}
	for i, field := range fields[1 : statFields+1] {
		ticks, err := strconv.ParseFloat(field, 64)
		if err != nil {
			return processorTimes{}
		}
		t.total += ticks
		switch i {
		case idleField:
			t.idle = ticks
		case stealField:
			t.stolen = ticks
		}
	}
	return t
}

func (t processorTimes) sharesSince(before processorTimes) (stolen, idle float64) {
	total := t.total - before.total
	if total <= 0 {
		return 0, 0
	}
	return (t.stolen - before.stolen) / total, (t.idle - before.idle) / total
}

func readLoad() string {
	text, err := os.ReadFile(loadAvgFile)
	if err != nil {
		return "unknown"
	}
	load, _, _ := strings.Cut(string(text), " ")
	return load
}

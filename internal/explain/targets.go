package explain

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/endivetrack/endivetrack/internal/fleet"
)

// Messages of the lines that tell what an instance knows of a target.
const (
	messageTarget = "target"
	messageQuiet  = "target wants no requests"
	messageLimit  = "target limit"
)

// leavingWindow is the time after which a target that leaves is no longer named.
const leavingWindow = time.Hour

// unavailableTargets returns, for a request that was refused before it was placed, the lines
// that tell why targets of its service could not get it: what its entry instance had logged
// last of each, where that still held at the refusal.
func (l *Log) unavailableTargets(refusal Line) []Line {
	last := map[[2]string]Line{}
	for _, line := range l.lines {
		key := [2]string{line.Target, line.Message}
		isOfService := line.Instance == refusal.Instance && line.Service == refusal.Service && line.Service != "" && line.Request == ""
		if isOfService && line.logicalTime.Before(refusal.logicalTime) && !line.logicalTime.Before(last[key].logicalTime) {
			last[key] = line
		}
	}
	var out []Line
	for _, line := range last {
		if line.restricts(refusal.Time) {
			out = append(out, line)
		}
	}
	slices.SortFunc(out, func(a, b Line) int { return cmp.Compare(a.Target, b.Target) })
	sortLines(out)
	return out
}

// restricts reports whether what the line tells of its target still held at the time and
// allowed it no requests, or only some. A target that has been gone for longer than
// targetEventWindow had long been replaced, and nobody waits for one that began to leave
// longer than leavingWindow ago.
func (line *Line) restricts(at time.Time) bool {
	switch age := at.Sub(line.Time); {
	case line.Message == messageQuiet:
		return at.Before(line.quietUntil())
	case line.Message == messageLimit:
		return line.Limit > 0
	case line.State == fleet.Gone:
		return line.leaves() && age < targetEventWindow
	default:
		return line.leaves() && age < leavingWindow
	}
}

// leaves reports whether the line tells that its target may get no new requests: it announced
// that it is draining or gone, or said in an answer that it leaves.
func (line *Line) leaves() bool {
	return line.Message == messageTarget && !line.Usable && (line.State == fleet.Draining || line.State == fleet.Gone || line.Leaving != "")
}

// quietUntil returns the end of the time for which a target wants no requests.
func (line *Line) quietUntil() time.Time {
	return line.Time.Add(time.Duration(line.ForMillis * float64(time.Millisecond)))
}

// describeTargets describes the targets that were not available, for the end of a cause.
func describeTargets(lines []Line) string {
	out := ""
	for _, line := range lines {
		out += "; " + describeTarget(line)
	}
	return out
}

func describeTarget(line Line) string {
	switch {
	case line.Message == messageQuiet:
		return fmt.Sprintf("target %s wants no requests until %s", line.Target, formatTime(line.quietUntil()))
	case line.Message == messageLimit:
		return fmt.Sprintf("target %s names a limit of %g requests/s", line.Target, line.Limit)
	case line.Leaving != "":
		return fmt.Sprintf("target %s said that it leaves (%s), known since %s", line.Target, line.Leaving, formatTime(line.Time))
	}
	return fmt.Sprintf("target %s left at %s", line.Target, formatTime(line.Time))
}

func formatTime(t time.Time) string { return t.UTC().Format("15:04:05.000") }

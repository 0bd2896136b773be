// Package explain collects the log lines of one request from the logs of all
// processes and derives the cause of its outcome.
package explain

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/endivetrack/endivetrack/internal/fleet"
	"github.com/endivetrack/endivetrack/internal/timeline"
)

// targetEventWindow limits the state changes of targets that an explanation
// includes: those logged at most this long before the request's last line.
const targetEventWindow = 30 * time.Second

// Line holds the fields of one log line that explanations use.
type Line struct {
	Time        time.Time         `json:"time"`
	Clock       string            `json:"clock"`
	Instance    string            `json:"instance"`
	Message     string            `json:"message"`
	Request     string            `json:"request"`
	Target      string            `json:"target"`
	From        string            `json:"from"`
	To          string            `json:"to"`
	Error       string            `json:"error"`
	Code        int               `json:"code"`
	Status      int               `json:"status"`
	NotRun      bool              `json:"not_run"`
	State       fleet.TargetState `json:"state"`
	Service     string            `json:"service"`
	Usable      bool              `json:"usable"`
	Leaving     string            `json:"says_it_leaves"` // who brought the target's statement that it leaves
	ForMillis   float64           `json:"for"`            // how long a target wants no requests
	Limit       float64           `json:"limit"`          // in requests per second; 0 means none
	Text        string            `json:"-"`              // the line as it was logged
	logicalTime timeline.Timestamp
}

// Log holds the log lines of any number of processes.
type Log struct {
	lines []Line
}

// Read adds the lines of one process's output. Bytes before the first brace of
// a line are ignored, so that output with prefixes can be read too. It returns
// the number of lines that were skipped because they were too long.
func (l *Log) Read(r io.Reader) (skipped int, err error) {
	return timeline.EachLine(r, func(text []byte) {
		start := bytes.IndexByte(text, '{')
		if start < 0 {
			return
		}
		if line, ok := parseLine(text[start:]); ok {
			l.lines = append(l.lines, line)
		}
	})
}

// parseLine decodes a JSON log line. It returns false for text that is not one.
// A line without a logical clock is sorted by its wall time.
func parseLine(text []byte) (Line, bool) {
	line := Line{Text: string(text)}
	if json.Unmarshal(text, &line) != nil || line.Time.IsZero() {
		return Line{}, false
	}
	logicalTime, err := timeline.ParseTimestamp(line.Clock)
	if err != nil {
		logicalTime = timeline.Timestamp{WallMicros: line.Time.UnixMicro()}
	}
	line.logicalTime = logicalTime
	return line, true
}

// Explanation holds the log lines that concern a request, in the order of their
// logical clocks, and the cause of its outcome.
type Explanation struct {
	Lines []Line
	Cause string
}

// Explain returns the lines that name the request, and the state changes of its
// targets that its entry instance logged shortly before the request's last line.
// If no line names the request, Cause lists the possible reasons.
func (l *Log) Explain(request string) Explanation {
	requestTargets := map[string]bool{}
	var requestLines []Line
	for _, line := range l.lines {
		if line.Request != request {
			continue
		}
		requestLines = append(requestLines, line)
		for _, t := range []string{line.Target, line.From, line.To} {
			if t != "" {
				requestTargets[t] = true
			}
		}
	}
	if len(requestLines) == 0 {
		return Explanation{Cause: "no line names the request: it reached no instance whose log was given, or ran without an event that is logged, or the instance ended before it wrote a line"}
	}
	sortLines(requestLines)
	entryInstance, last := requestLines[0].Instance, requestLines[len(requestLines)-1]
	if final := outcomeLine(requestLines); final.Message == "refused" && len(requestTargets) == 0 {
		unavailable := l.unavailableTargets(final)
		return Explanation{Lines: append(unavailable, requestLines...), Cause: describeCause(requestLines, nil, false) + describeTargets(unavailable)}
	}
	var related []Line
	for _, line := range l.lines {
		isTargetEvent := line.Request == "" && requestTargets[line.Target] && line.Instance == entryInstance && !last.logicalTime.Before(line.logicalTime) && last.Time.Sub(line.Time) < targetEventWindow
		if isTargetEvent {
			related = append(related, line)
		}
	}
	related = append(related, requestLines...)
	sortLines(related)
	return Explanation{Lines: related, Cause: describeCause(requestLines, related, l.restartedAfter(entryInstance, last.logicalTime))}
}

// restartedAfter reports whether the instance ended without a graceful stop after
// the given time: the next start or stop that it logged is a start.
func (l *Log) restartedAfter(instance string, after timeline.Timestamp) bool {
	for _, line := range l.lines {
		if line.Instance == instance && after.Before(line.logicalTime) && (line.Message == "started" || line.Message == "stopped") {
			return line.Message == "started"
		}
	}
	return false
}

func sortLines(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.logicalTime.Compare(b.logicalTime) })
}

// outcomeMessages are the log messages that state how a request ended. Further
// lines of the request may follow, for example about copying its memory to another
// engine.
var outcomeMessages = []string{"stream whole", "answered", "refused", "stream cut", "caller left"}

// outcomeLine returns the last line that states how the request ended, or else
// its last line.
func outcomeLine(requestLines []Line) Line {
	for _, line := range slices.Backward(requestLines) {
		if slices.Contains(outcomeMessages, line.Message) {
			return line
		}
	}
	return requestLines[len(requestLines)-1]
}

// describeCause describes what determined the outcome of a request. restarted
// means that its entry instance ended without a graceful stop.
func describeCause(requestLines, related []Line, restarted bool) string {
	final := outcomeLine(requestLines)
	attemptFailure, moveFailure := "", ""
	for _, line := range requestLines {
		switch line.Message {
		case "attempt failed":
			attemptFailure = describeAttempt(line)
		case "run not moved":
			moveFailure = fmt.Sprintf("; the run was not moved to %s: %s", line.To, line.Error)
		}
	}
	switch final.Message {
	case "stream whole", "answered":
		return "served whole"
	case "refused":
		if attemptFailure != "" {
			return fmt.Sprintf("refused with %d; %s", final.Code, attemptFailure)
		}
		return fmt.Sprintf("refused with code %d: %s", final.Code, final.Error)
	case "stream cut":
		if departure := targetDeparture(related); departure != "" {
			return "stream cut: " + departure + "; " + attemptFailure + moveFailure
		}
		return "stream cut: " + attemptFailure + moveFailure
	case "caller left":
		return "the caller left before the answer"
	case "attempt failed":
		return attemptFailure
	}
	if restarted {
		return "the entry instance ended while it served the request (its next line is a start without a stop)"
	}
	return "no line tells the end: the logs stop while the request was being served"
}

func describeAttempt(line Line) string {
	switch {
	case line.Error != "":
		return fmt.Sprintf("target %s: %s", line.Target, line.Error)
	case line.NotRun:
		return fmt.Sprintf("target %s refused the request without running it", line.Target)
	}
	return fmt.Sprintf("target %s answered %d", line.Target, line.Status)
}

// targetDeparture describes the last target that left; "" if none did.
func targetDeparture(related []Line) string {
	departure := ""
	for _, line := range related {
		if line.leaves() {
			departure = describeTarget(line)
		}
	}
	return departure
}

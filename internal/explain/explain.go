// Package explain finds the story of one request in the logs of all processes.
package explain

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/endivetrack/endivetrack/internal/timeline"
)

// targetWindow is how long before the request's last line a change of one of
// its targets still counts as part of the story.
const targetWindow = 30 * time.Second

// Line is one log line.
type Line struct {
	Time     time.Time `json:"time"`
	Clock    string    `json:"clock"`
	Instance string    `json:"instance"`
	Message  string    `json:"message"`
	Request  string    `json:"request"`
	Target   string    `json:"target"`
	From     string    `json:"from"`
	To       string    `json:"to"`
	Error    string    `json:"error"`
	Code     int       `json:"code"`
	Status   int       `json:"status"`
	NotRun   bool      `json:"not_run"`
	State    int       `json:"state"`
	Text     string    `json:"-"` // as it was logged
	order    timeline.Timestamp
}

// Log holds the lines of all processes.
type Log struct {
	lines []Line
}

// Read adds the lines of one process or file. Bytes in front of a line's first
// brace are ignored, so that prefixed output can be read as well. It returns
// how many lines were too long to be read.
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

// parseLine decodes a log line. One without the logical clock is ordered by its
// wall time.
func parseLine(text []byte) (Line, bool) {
	line := Line{Text: string(text)}
	if json.Unmarshal(text, &line) != nil || line.Time.IsZero() {
		return Line{}, false
	}
	order, err := timeline.ParseTimestamp(line.Clock)
	if err != nil {
		order = timeline.Timestamp{WallMicros: line.Time.UnixMicro()}
	}
	line.order = order
	return line, true
}

// Story is what the logs tell of a request.
type Story struct {
	Lines []Line
	Cause string
}

// Explain returns the story of a request.
func (l *Log) Explain(request string) Story {
	targets := map[string]bool{}
	var own []Line
	for _, x := range l.lines {
		if x.Request != request {
			continue
		}
		own = append(own, x)
		for _, t := range []string{x.Target, x.From, x.To} {
			if t != "" {
				targets[t] = true
			}
		}
	}
	if len(own) == 0 {
		return Story{Cause: "no line names the request: it reached no instance whose log is here, was one of the uneventful ones that are not logged, or the instance ended before it wrote"}
	}
	sortLines(own)
	entry, last := own[0].Instance, own[len(own)-1]
	var story []Line
	for _, x := range l.lines {
		isTarget := x.Request == "" && targets[x.Target] && x.Instance == entry && !last.order.Before(x.order) && last.Time.Sub(x.Time) < targetWindow
		if isTarget {
			story = append(story, x)
		}
	}
	story = append(story, own...)
	sortLines(story)
	return Story{Lines: story, Cause: cause(own, story, l.ended(entry, last.order))}
}

// ended reports whether an instance's log shows a start after a time, before
// any planned stop.
func (l *Log) ended(instance string, after timeline.Timestamp) bool {
	for _, x := range l.lines {
		if x.Instance == instance && after.Before(x.order) && (x.Message == "started" || x.Message == "stopped") {
			return x.Message == "started"
		}
	}
	return false
}

func sortLines(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.order.Compare(b.order) })
}

// outcomes are the messages that tell how a request ended. Other lines may
// follow, such as that of a copy that was still being made.
var outcomes = []string{"stream whole", "answered", "refused", "stream cut", "caller left"}

// outcome returns the line that tells how a request ended, or its last line.
func outcome(own []Line) Line {
	for _, x := range slices.Backward(own) {
		if slices.Contains(outcomes, x.Message) {
			return x
		}
	}
	return own[len(own)-1]
}

// cause names what decided the outcome.
func cause(own, story []Line, ended bool) string {
	final := outcome(own)
	failed, unsaved := "", ""
	for _, x := range own {
		switch x.Message {
		case "attempt failed":
			failed = attemptCause(x)
		case "run not moved":
			unsaved = fmt.Sprintf("; the run was not moved to %s: %s", x.To, x.Error)
		}
	}
	switch final.Message {
	case "stream whole", "answered":
		return "served whole"
	case "refused":
		if failed != "" {
			return fmt.Sprintf("refused with %d; %s", final.Code, failed)
		}
		return fmt.Sprintf("refused with code %d: %s", final.Code, final.Error)
	case "stream cut":
		if left := departure(story); left != "" {
			return "stream cut: " + left + "; " + failed + unsaved
		}
		return "stream cut: " + failed + unsaved
	case "caller left":
		return "the caller left before the answer"
	case "attempt failed":
		return failed
	}
	if ended {
		return "the entry instance ended while it served the request (its next line is a start without a stop)"
	}
	return "no line tells the end: the logs stop while the request was being served"
}

func attemptCause(x Line) string {
	switch {
	case x.Error != "":
		return fmt.Sprintf("target %s: %s", x.Target, x.Error)
	case x.NotRun:
		return fmt.Sprintf("target %s refused it unrun", x.Target)
	}
	return fmt.Sprintf("target %s answered %d", x.Target, x.Status)
}

// departure tells which target of the story said that it leaves.
func departure(story []Line) string {
	out := ""
	for _, x := range story {
		if x.Message == "target" && (x.State == 2 || x.State == 3) {
			out = fmt.Sprintf("target %s left at %s", x.Target, x.Time.UTC().Format("15:04:05.000"))
		}
	}
	return out
}

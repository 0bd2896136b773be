// Package statement parses what targets say of themselves in the headers of their answers.
package statement

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// LeavingHeader is the header by which targets of the own interface say that they leave.
// Those of the platform have a name of their own.
const LeavingHeader = "X-Leaving"

// MaxQuiet bounds the time for which a target may ask for no requests, and MaxLeaving that
// for which it is believed to leave while it announces that it is ready. A faulty target can
// keep itself out of use for so long.
const (
	MaxQuiet   = time.Hour
	MaxLeaving = time.Hour
)

// Leaving reports whether the values of the header say that the target leaves.
func Leaving(values []string) bool {
	for _, v := range values {
		if strings.TrimSpace(v) == "1" {
			return true
		}
	}
	return false
}

// Quiet returns the time that Retry-After names: a decimal number of seconds, or a date by
// the clock of the response's Date header. It returns 0 for none, for 0 and for times in the
// past, and at most MaxQuiet. Of several, the longest counts; ok is false if a value is
// neither a number nor a date.
func Quiet(header http.Header, now time.Time) (longest time.Duration, ok bool) {
	ok = true
	for _, v := range header.Values("Retry-After") {
		pause, parsed := parsePause(strings.TrimSpace(v), header.Get("Date"), now)
		ok = ok && parsed
		longest = max(longest, pause)
	}
	return longest, ok
}

func parsePause(value, date string, now time.Time) (time.Duration, bool) {
	const decimal = "+-.0123456789eE"
	if strings.Trim(value, decimal) == "" {
		seconds, err := strconv.ParseFloat(value, 64)
		if err != nil && !math.IsInf(seconds, 0) {
			return 0, false
		}
		return time.Duration(max(0, min(seconds, MaxQuiet.Seconds())) * float64(time.Second)), true
	}
	at, err := http.ParseTime(value)
	if err != nil {
		return 0, false
	}
	if sentAt, err := http.ParseTime(date); err == nil {
		now = sentAt
	}
	return max(0, min(at.Sub(now), MaxQuiet)), true
}

// Package age encodes points in time as ages in milliseconds, for messages between
// instances whose clocks differ.
package age

import (
	"math"
	"time"
)

// Millis returns d in milliseconds, bounded to what a uint32 holds; 0 if d is negative.
func Millis(d time.Duration) uint32 {
	return uint32(min(max(0, d.Milliseconds()), math.MaxUint32))
}

// Of returns the age of t at now, in milliseconds.
func Of(t, now time.Time) uint32 { return Millis(now.Sub(t)) }

// Time returns the time that has the age ms, in milliseconds, at now.
func Time(now time.Time, ms uint32) time.Time {
	return now.Add(-time.Duration(ms) * time.Millisecond)
}

// Package faultpoint names the steps of the program at which tests inject
// failures. Without a hook a point costs one atomic load.
package faultpoint

import "sync/atomic"

// Point names one step, for example "wal.before_sync".
type Point string

// Hook runs when a point is reached. A returned error is the step's result.
type Hook func(Point) error

var hook atomic.Pointer[Hook]

// Set installs h for all points; nil removes it. For tests and for processes
// started with the -fault flag of a test build.
func Set(h Hook) {
	if h == nil {
		hook.Store(nil)
		return
	}
	hook.Store(&h)
}

// Hit reports that the program reached p.
func Hit(p Point) error {
	h := hook.Load()
	if h == nil {
		return nil
	}
	return (*h)(p)
}

// Package faultpoint lets tests inject failures at named points of the program.
// Without a hook, passing a point costs one atomic load.
package faultpoint

import "sync/atomic"

// Point is the name of a fault point, for example "wal.before_sync".
type Point string

// Hook is called when a point is reached. The code at the point fails with the
// error that the hook returns.
type Hook func(Point) error

var hook atomic.Pointer[Hook]

// SetHook installs h for all points; nil removes it. It is used by tests and by
// builds with the tag faultinjection.
func SetHook(h Hook) {
	if h == nil {
		hook.Store(nil)
		return
	}
	hook.Store(&h)
}

// Hit calls the hook, if any, for point p and returns its error.
func Hit(p Point) error {
	h := hook.Load()
	if h == nil {
		return nil
	}
	return (*h)(p)
}

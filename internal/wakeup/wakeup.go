// Package wakeup tells a goroutine that there is something to do.
package wakeup

// Flag is set by any goroutine and received by one. Setting it again before it is received
// changes nothing.
type Flag struct{ c chan struct{} }

// New returns a Flag that is not set.
func New() Flag { return Flag{c: make(chan struct{}, 1)} }

// Set sets the flag. It never blocks.
func (f Flag) Set() {
	select {
	case f.c <- struct{}{}:
	default: // the flag is set
	}
}

// C returns the channel on which the flag is received, which clears it.
func (f Flag) C() <-chan struct{} { return f.c }

package forward

import (
	"sync"
	"time"
)

const (
	// durationWindow is how long the duration of a request counts at least; it is forgotten
	// within twice that time.
	durationWindow = 30 * time.Second
	// minDurations is how many requests of a route must have ended for their durations to
	// tell something of the next one.
	minDurations = 10
)

// routeDurations is what is known of the requests of one route that ended in one window.
type routeDurations struct {
	slowest time.Duration
	count   int
}

// durations knows how long requests take from their first placement to their end, by the
// name of their route. Routes that the manifest no longer has are forgotten with their
// window.
type durations struct {
	mu                sync.Mutex
	windowBegan       time.Time
	current, previous map[string]routeDurations
	running           map[*request]time.Time // when each was placed
}

func newDurations() *durations {
	return &durations{current: map[string]routeDurations{}, previous: map[string]routeDurations{}, running: map[*request]time.Time{}}
}

// begin is called when a request is placed, also for the second time.
func (d *durations) begin(q *request, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, placed := d.running[q]; !placed {
		d.running[q] = now
	}
}

// end is called when a request has ended, however. One that was not placed does not count.
func (d *durations) end(q *request, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	began, placed := d.running[q]
	if !placed {
		return
	}
	delete(d.running, q)
	d.startWindow(now)
	known := d.current[q.route.Name]
	d.current[q.route.Name] = routeDurations{slowest: max(known.slowest, now.Sub(began)), count: known.count + 1}
}

// startWindow begins a new window if the current one is over. The caller holds d.mu.
func (d *durations) startWindow(now time.Time) {
	over := now.Sub(d.windowBegan)
	if over < durationWindow {
		return
	}
	d.previous = d.current
	if over >= 2*durationWindow {
		d.previous = map[string]routeDurations{}
	}
	d.current, d.windowBegan = map[string]routeDurations{}, now
}

// slowest returns how long the slowest of the recent requests of a route has taken or, if it
// still runs, takes by now; false if too few have ended.
func (d *durations) slowest(route string, now time.Time) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.startWindow(now)
	a, b := d.current[route], d.previous[route]
	longest := max(a.slowest, b.slowest)
	for q, began := range d.running {
		if q.route.Name == route {
			longest = max(longest, now.Sub(began))
		}
	}
	return longest, a.count+b.count >= minDurations
}

package forward

import (
	"sync"
	"time"
)

// Processor time that an instance spends on one request and on one event of a stream.
const (
	requestWork = 200 * time.Microsecond
	eventWork   = 20 * time.Microsecond
)

// workMeter measures the work of an instance from what it has served. Its own processor
// time would also count work that does not grow with callers' requests.
type workMeter struct {
	mu      sync.Mutex
	second  int64         // Unix second that current belongs to
	current time.Duration // work of this second
	last    time.Duration // work of the second before
}

// add counts work.
func (m *workMeter) add(work time.Duration, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance(now)
	m.current += work
}

// rate returns the work of the current second or of the one before, whichever is more,
// as a share of one processor.
func (m *workMeter) rate(now time.Time) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance(now)
	return max(m.current, m.last).Seconds()
}

// advance moves to the second of now. The caller must hold m.mu.
func (m *workMeter) advance(now time.Time) {
	second := now.Unix()
	if second == m.second {
		return
	}
	m.last = 0
	if second == m.second+1 {
		m.last = m.current
	}
	m.second, m.current = second, 0
}

// Work returns the processor time that callers' requests took in the last second, as a
// share of one processor.
func (f *Forwarder) Work() float64 { return f.work.rate(time.Now()) }

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

// Work is what an instance did for callers within one second.
type Work struct {
	// Processor is the processor time.
	Processor time.Duration
	// Bytes is the number of bytes of bodies and events, which pass its link once in
	// each direction.
	Bytes int
}

// workMeter measures the work of an instance from what it has served. Its own processor
// time would also count work that does not grow with callers' requests.
type workMeter struct {
	mu      sync.Mutex
	second  int64 // Unix second that current belongs to
	current Work  // work of this second
	last    Work  // work of the second before
}

// add counts work.
func (m *workMeter) add(processor time.Duration, bytes int, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance(now)
	m.current.Processor += processor
	m.current.Bytes += bytes
}

// rate returns the work of the current second or of the one before, whichever is more.
func (m *workMeter) rate(now time.Time) Work {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance(now)
	return Work{Processor: max(m.current.Processor, m.last.Processor), Bytes: max(m.current.Bytes, m.last.Bytes)}
}

// advance moves to the second of now. The caller must hold m.mu.
func (m *workMeter) advance(now time.Time) {
	second := now.Unix()
	if second == m.second {
		return
	}
	m.last = Work{}
	if second == m.second+1 {
		m.last = m.current
	}
	m.second, m.current = second, Work{}
}

// Work returns the work of the last second.
func (f *Forwarder) Work() Work { return f.work.rate(time.Now()) }

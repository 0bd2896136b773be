package timeline

import (
	"cmp"
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"
)

// Bounds on what one process keeps.
const (
	maxFileBytes = 8 << 20 // the file is rotated once beyond this size
	ringEvents   = 1024    // newest events kept in memory for the status page
)

// fileSuffix names event files; rotated ones get a further ".1".
const fileSuffix = ".events.jsonl"

// Event is one change of state in one process.
type Event struct {
	Time     Timestamp         `json:"time"`
	Process  string            `json:"process"`
	Sequence uint64            `json:"sequence"`
	Kind     string            `json:"kind"`
	Fields   map[string]string `json:"fields,omitempty"`
}

// Recorder writes the events of one process. A nil Recorder drops events.
type Recorder struct {
	clock   *Clock
	process string

	mu       sync.Mutex
	path     string
	file     *os.File
	written  int64
	sequence uint64
	ring     []Event
	dropped  uint64
}

// NewRecorder returns a recorder that appends to <dir>/<process>.events.jsonl;
// an empty dir keeps events in memory only.
func NewRecorder(clock *Clock, process, dir string) (*Recorder, error) {
	r := &Recorder{clock: clock, process: process}
	if dir == "" {
		return r, nil
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	r.path = filepath.Join(dir, process+fileSuffix)
	return r, r.open()
}

func (r *Recorder) open() error {
	f, err := os.OpenFile(r.path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	info, err := f.Stat()
	if err != nil {
		return err
	}
	r.file, r.written = f, info.Size()
	return nil
}

// Clock returns the recorder's clock.
func (r *Recorder) Clock() *Clock { return r.clock }

// Record writes one event; fields are key, value pairs.
func (r *Recorder) Record(kind string, fields ...string) {
	if r == nil {
		return
	}
	e := Event{Time: r.clock.Now(), Process: r.process, Kind: kind}
	if len(fields) > 1 {
		e.Fields = make(map[string]string, len(fields)/2)
		for i := 0; i+1 < len(fields); i += 2 {
			e.Fields[fields[i]] = fields[i+1]
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	e.Sequence = r.sequence
	r.keep(e)
	if r.file != nil {
		r.write(e)
	}
}

func (r *Recorder) keep(e Event) {
	if len(r.ring) == ringEvents {
		r.ring = slices.Delete(r.ring, 0, ringEvents/4)
	}
	r.ring = append(r.ring, e)
}

// write appends the event; a failed write drops it and is counted, since the
// time line must never stop the process.
func (r *Recorder) write(e Event) {
	line, err := json.Marshal(e)
	if err != nil {
		r.dropped++
		return
	}
	if r.written > maxFileBytes {
		r.rotate()
	}
	n, err := r.file.Write(append(line, '\n'))
	r.written += int64(n)
	if err != nil {
		r.dropped++
	}
}

func (r *Recorder) rotate() {
	_ = r.file.Close()
	_ = os.Rename(r.path, r.path+".1")
	if err := r.open(); err != nil {
		r.dropped++
	}
}

// Recent returns the newest events in memory, oldest first.
func (r *Recorder) Recent() []Event {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.ring)
}

// Close closes the file.
func (r *Recorder) Close() error {
	if r == nil || r.file == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.file.Close()
}

// ReadDir reads all event files below dir. Lines that do not parse (a torn
// tail after a kill) are skipped and counted.
func ReadDir(dir string) (events []Event, skipped int, err error) {
	err = filepath.WalkDir(dir, func(path string, d os.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.Contains(d.Name(), fileSuffix) {
			return err
		}
		f, err := os.Open(path)
		if err != nil {
			return err
		}
		defer f.Close()
		es, n, err := read(f)
		events, skipped = append(events, es...), skipped+n
		return err
	})
	return Merge(events), skipped, err
}

func read(f io.Reader) (events []Event, skipped int, err error) {
	malformed := 0
	skipped, err = EachLine(f, func(line []byte) {
		var e Event
		if json.Unmarshal(line, &e) != nil {
			malformed++
			return
		}
		events = append(events, e)
	})
	return events, skipped + malformed, err
}

// Merge orders events of several processes by hybrid logical time. Since each
// message carries its sender's clock, an effect never orders before its cause.
func Merge(events []Event) []Event {
	slices.SortStableFunc(events, func(a, b Event) int {
		return cmp.Or(
			a.Time.Compare(b.Time),
			cmp.Compare(a.Process, b.Process),
			cmp.Compare(a.Sequence, b.Sequence),
		)
	})
	return events
}

// WallTime returns the event's wall clock part.
func (e Event) WallTime() time.Time { return time.UnixMicro(e.Time.WallMicros) }

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

// Limits on the events stored by one process.
const (
	maxFileBytes    = 8 << 20 // size above which an event file is rotated before the next write
	maxRecentEvents = 1024    // number of events kept in memory for the status page
)

// fileSuffix is the suffix of event files. Rotation appends ".1" to it.
const fileSuffix = ".events.jsonl"

// Event describes one change of state in one process.
type Event struct {
	Time     Timestamp         `json:"time"`
	Process  string            `json:"process"`
	Sequence uint64            `json:"sequence"`
	Kind     string            `json:"kind"`
	Fields   map[string]string `json:"fields,omitempty"`
}

// Recorder records the events of one process in memory and in a file. It is safe
// for concurrent use. A nil Recorder drops all events.
type Recorder struct {
	clock   *Clock
	process string

	mu            sync.Mutex
	path          string
	file          *os.File
	fileBytes     int64
	sequence      uint64
	recent        []Event
	droppedEvents uint64
}

// NewRecorder returns a recorder that appends to <dir>/<process>.events.jsonl. If
// dir is empty, events are kept in memory only.
func NewRecorder(clock *Clock, process, dir string) (*Recorder, error) {
	r := &Recorder{clock: clock, process: process}
	if dir == "" {
		return r, nil
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	r.path = filepath.Join(dir, process+fileSuffix)
	return r, r.openFile()
}

func (r *Recorder) openFile() error {
	f, err := os.OpenFile(r.path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	info, err := f.Stat()
	if err != nil {
		return err
	}
	r.file, r.fileBytes = f, info.Size()
	return nil
}

// Clock returns the clock that timestamps the events. It must not be called on a
// nil Recorder.
func (r *Recorder) Clock() *Clock { return r.clock }

// Record records an event of the given kind. fields are alternating keys and
// values. Write errors are not reported.
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
	r.addRecent(e)
	if r.file != nil {
		r.writeLine(e)
	}
}

func (r *Recorder) addRecent(e Event) {
	if len(r.recent) == maxRecentEvents {
		r.recent = slices.Delete(r.recent, 0, maxRecentEvents/4)
	}
	r.recent = append(r.recent, e)
}

// writeLine appends the event to the file. If that fails, it drops and counts the
// event, since a failure to record events must never stop the process.
func (r *Recorder) writeLine(e Event) {
	line, err := json.Marshal(e)
	if err != nil {
		r.droppedEvents++
		return
	}
	if r.fileBytes > maxFileBytes {
		r.rotate()
	}
	if r.file == nil {
		r.droppedEvents++
		return
	}
	n, err := r.file.Write(append(line, '\n'))
	r.fileBytes += int64(n)
	if err != nil {
		r.droppedEvents++
	}
}

// rotate renames the event file, replacing the one renamed before, and opens a new
// one.
func (r *Recorder) rotate() {
	_ = r.file.Close()
	r.file = nil
	_ = os.Rename(r.path, r.path+".1")
	if err := r.openFile(); err != nil {
		r.droppedEvents++
	}
}

// Recent returns the events kept in memory, oldest first.
func (r *Recorder) Recent() []Event {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.recent)
}

// Dropped returns the number of events that could not be written to the file, and of
// rotations that failed.
func (r *Recorder) Dropped() uint64 {
	if r == nil {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.droppedEvents
}

// Close closes the event file, if there is one. Later events are kept in memory
// only.
func (r *Recorder) Close() error {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.file == nil {
		return nil
	}
	file := r.file
	r.file = nil
	return file.Close()
}

// ReadDir reads all event files in dir and its subdirectories and merges their
// events. Lines that are too long or malformed, such as a line cut off when the
// process was killed, are skipped and counted.
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
		es, n, err := readEvents(f)
		events, skipped = append(events, es...), skipped+n
		return err
	})
	return Merge(events), skipped, err
}

func readEvents(f io.Reader) (events []Event, skipped int, err error) {
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

// Merge sorts events of several processes in place by timestamp and returns them.
// Since each message carries its sender's timestamp, an effect never precedes its
// cause.
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

// WallTime returns the wall time of the event's timestamp.
func (e Event) WallTime() time.Time { return time.UnixMicro(e.Time.WallMicros) }

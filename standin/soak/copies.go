package soak

import (
	"encoding/json"
	"fmt"
	"hash/crc32"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/endivetrack/endivetrack/platform/platformtest"
)

// run is one execution of a stream, whose memory can be copied to other targets.
type run struct {
	name    string // of the target and the attempt that began it
	request string // ID of the attempt that began the stream; its events depend on it
	first   int    // number of the run's first event

	mu   sync.Mutex
	last int // number of the newest event
}

// eventData returns the data of event n: the number, a checksum that only this stream has,
// and the run with the number of its first event.
func (x *run) eventData(n int) string {
	return expectedEventData(x.request, n) + " " + x.name + " " + strconv.Itoa(x.first)
}

// expectedEventData returns the part of the data of event n that all runs of a stream share.
func expectedEventData(request string, n int) string {
	return fmt.Sprintf("%d %08x", n, crc32.ChecksumIEEE(fmt.Appendf(nil, "%s/%d", request, n)))
}

// leg is the part of a run that one target executes for one attempt.
type leg struct {
	run      *run
	id       string // of the attempt
	fromCopy bool   // the leg goes on from a copy of the run's memory
	sent     int    // number of the newest event that the caller of this leg has
	stop     chan struct{}
	stopOnce sync.Once
	done     chan struct{}
}

func (l *leg) next() int { return l.sent + 1 }

func (l *leg) advance(n int) {
	l.sent = n
	l.run.mu.Lock()
	defer l.run.mu.Unlock()
	l.run.last = max(l.run.last, n)
}

// stopAndWait stops the run at this target and waits until its stream has ended.
func (l *leg) stopAndWait() {
	l.stopOnce.Do(func() { close(l.stop) })
	<-l.done
}

func (x *run) newest() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.last
}

// runCopy is a copy of a run's memory.
type runCopy struct {
	run    *run
	holder string // address of the target that holds the copy
}

// runCopies holds the copies at all targets by their names: the address of the source and
// the handle.
type runCopies struct {
	mu      sync.Mutex
	byName  map[string]*runCopy
	handles int
}

// answer stores a copy of a run at the holder, in place of the one that the run had, and
// returns the answer to the call.
func (c *runCopies) answer(x *run, source, holder string) string {
	return fmt.Sprintf(`{"handle":%q,"made":%d}`, c.put(x, source, holder), x.newest())
}

func (c *runCopies) put(x *run, source, holder string) (handle string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, old := range c.byName {
		if handle, ok := strings.CutPrefix(name, source+"/"); ok && old.run == x {
			old.holder = holder
			return handle
		}
	}
	c.handles++
	handle = "copy-" + strconv.Itoa(c.handles)
	c.byName[source+"/"+handle] = &runCopy{run: x, holder: holder}
	return handle
}

// take removes a copy and returns its run; nil if the target does not hold it.
func (c *runCopies) take(name, holder string) *run {
	c.mu.Lock()
	defer c.mu.Unlock()
	found := c.byName[name]
	if found == nil || found.holder != holder {
		return nil
	}
	delete(c.byName, name)
	return found.run
}

func (c *runCopies) release(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.byName, name)
}

// beginLeg begins or continues the run that a request asks for. It returns nil if the copy
// that the request names is not held here.
func (t *target) beginLeg(r *http.Request, id string) *leg {
	l := &leg{id: id, stop: make(chan struct{}), done: make(chan struct{})}
	l.sent, _ = strconv.Atoi(r.Header.Get(platformtest.LastEventIDHeader)) // 0 if the header is absent
	if name := r.Header.Get(platformtest.CopyFromHeader); name != "" {
		if l.run = t.copies.take(name, t.self.Address); l.run == nil {
			return nil
		}
		l.fromCopy = true
	} else {
		request := id
		if first := r.Header.Get(platformtest.ResumesHeader); first != "" {
			request = first
		}
		l.run = &run{name: t.self.ID + "/" + id, request: request, first: l.next(), last: l.sent}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.legs[id] = l
	return l
}

func (t *target) endLeg(l *leg) {
	close(l.done)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.legs[l.id] == l {
		delete(t.legs, l.id)
	}
}

// copyCall is the body of a call that copies a run's memory.
type copyCall struct {
	ID   string `json:"id"`
	To   string `json:"to"`
	Last bool   `json:"last"`
}

// reachTimeout is the time to connect to the target that is to get a copy.
const reachTimeout = 200 * time.Millisecond

func isReachable(address string) bool {
	conn, err := net.DialTimeout("tcp", address, reachTimeout)
	if err == nil {
		_ = conn.Close() // nothing was sent
	}
	return err == nil
}

// refuseCopy answers that the target of a copy cannot be reached. A run that was to stop has
// stopped, and its memory stays here.
func (t *target) refuseCopy(w http.ResponseWriter, call copyCall) {
	text := ""
	if call.Last {
		text = t.copyRun(call, t.self.Address)
	}
	w.WriteHeader(http.StatusServiceUnavailable)
	_, _ = fmt.Fprint(w, text) // the caller may have left
}

// serveCopyCall serves a call that copies or releases a run's memory. Copies are made at
// once, and targets other than the source learn of them without a message.
func (t *target) serveCopyCall(w http.ResponseWriter, r *http.Request) {
	if handle, ok := strings.CutPrefix(r.URL.Path, platformtest.ReleasePathPrefix); ok {
		t.copies.release(t.self.Address + "/" + handle)
		return
	}
	var call copyCall
	if r.URL.Path != platformtest.CopyPath || json.NewDecoder(r.Body).Decode(&call) != nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if !isReachable(call.To) {
		t.refuseCopy(w, call)
		return
	}
	odd, holder := t.oddCopy(call), call.To
	if odd != nil && !odd.repeats {
		if !call.Last {
			odd = nil
		} else if odd.status == http.StatusServiceUnavailable {
			holder = t.self.Address
		}
	}
	text := t.copyRun(call, holder)
	switch {
	case text == "":
		w.WriteHeader(http.StatusNotFound)
	case odd != nil:
		t.writeOddCopy(w, r, call, odd, text)
	default:
		_, _ = fmt.Fprint(w, text) // the caller may have left
	}
}

// copyRun copies a run's memory to the holder, stops the run if this is the last copy, and
// returns the answer to the call; "" if there is no such run.
func (t *target) copyRun(call copyCall, holder string) string {
	t.mu.Lock()
	l := t.legs[call.ID]
	t.mu.Unlock()
	if l == nil {
		return ""
	}
	if call.Last {
		l.stopAndWait()
	}
	return t.copies.answer(l.run, t.self.Address, holder)
}

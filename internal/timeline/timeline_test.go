package timeline

import (
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func fixedWallClock(offset time.Duration) func() time.Time {
	t := time.Unix(1_700_000_000, 0).Add(offset)
	return func() time.Time { return t }
}

// Guards against sorting an effect before its cause when the receiver's wall clock
// is behind the sender's.
func TestMergeOrdersEffectAfterCause(t *testing.T) {
	ahead := NewClock(fixedWallClock(5 * time.Second))
	behind := NewClock(fixedWallClock(0))
	dir := t.TempDir()
	sender, err := NewRecorder(ahead, "sender", dir)
	assert.NilError(t, err)
	receiver, err := NewRecorder(behind, "receiver", dir)
	assert.NilError(t, err)

	server := httptest.NewServer(behind.Middleware(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		receiver.Record("effect")
	})))
	defer server.Close()
	sender.Record("cause", "key", "value")
	client := &http.Client{Transport: ahead.Transport(http.DefaultTransport)}
	resp, err := client.Get(server.URL)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	sender.Record("after")

	events, skipped, err := ReadDir(dir)
	assert.NilError(t, err)
	assert.Equal(t, skipped, 0)
	kinds := []string{events[0].Kind, events[1].Kind, events[2].Kind}
	assert.DeepEqual(t, kinds, []string{"cause", "effect", "after"})
}

// Guards against event files that cannot be read because their last line is
// incomplete.
func TestReadDirSkipsTornLine(t *testing.T) {
	dir := t.TempDir()
	r, err := NewRecorder(NewClock(time.Now), "p", dir)
	assert.NilError(t, err)
	r.Record("whole")
	assert.NilError(t, r.Close())
	path := filepath.Join(dir, "p"+fileSuffix)
	text, err := os.ReadFile(path)
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(path, append(text, `{"time":{"Wal`...), 0o644))
	events, skipped, err := ReadDir(dir)
	assert.NilError(t, err)
	assert.Equal(t, len(events), 1)
	assert.Equal(t, skipped, 1)
}

// Guards against one peer with a wrong clock that moves all other clocks.
func TestObserveRefusesFarFuture(t *testing.T) {
	c := NewClock(fixedWallClock(0))
	c.Observe(Timestamp{WallMicros: fixedWallClock(time.Hour)().UnixMicro()})
	assert.Equal(t, c.Now().WallMicros, fixedWallClock(0)().UnixMicro())
}

// Guards against timestamps that repeat or decrease when the wall clock does.
func TestClockIsStrictlyMonotonic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var wall time.Time
		c := NewClock(func() time.Time { return wall })
		var last Timestamp
		for _, step := range rapid.SliceOfN(rapid.Int64Range(-1000, 1000), 1, 50).Draw(t, "wall steps") {
			wall = wall.Add(time.Duration(step) * time.Microsecond)
			if step%3 == 0 {
				c.Observe(Timestamp{WallMicros: wall.UnixMicro() + step, Counter: 3})
			}
			now := c.Now()
			assert.Assert(t, last.Before(now), "%v then %v", last, now)
			last = now
		}
	})
}

// Guards against a recorder that races with Close or writes to a closed file, and
// against lost events that nobody can see.
func TestDroppedEventsAreCounted(t *testing.T) {
	dir := t.TempDir()
	r, err := NewRecorder(NewClock(time.Now), "p", dir)
	assert.NilError(t, err)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 100 {
			r.Record("kind")
		}
	}()
	assert.NilError(t, r.Close())
	<-done
	assert.NilError(t, r.Close())
	assert.Equal(t, r.Dropped(), uint64(0), "a closed recorder keeps events in memory only")
	broken, err := NewRecorder(NewClock(time.Now), "q", dir)
	assert.NilError(t, err)
	assert.NilError(t, broken.file.Close())
	broken.Record("kind")
	assert.Equal(t, broken.Dropped(), uint64(1))
	var none *Recorder
	assert.Equal(t, none.Dropped(), uint64(0))
}

package instance

import (
	"context"
	"errors"
	"io"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivetrack/endivetrack/internal/process"
)

// Guards against a process that ends because SIGHUP comes before it watches for it, and
// against one that never reads settings which change without a signal.
func TestSettingsAreReadAgainWithAndWithoutASignal(t *testing.T) {
	assert.NilError(t, syscall.Kill(syscall.Getpid(), syscall.SIGHUP)) // nobody watches yet
	time.Sleep(10 * time.Millisecond)

	var mu sync.Mutex
	seeds, reads := []string{"a"}, 0
	c := &Common{Seeds: []string{"a"}, Reload: func() ([]string, error) {
		mu.Lock()
		defer mu.Unlock()
		reads++
		if seeds == nil {
			return nil, errors.New("the file is being written")
		}
		return seeds, nil
	}}
	set := func(s []string) {
		mu.Lock()
		defer mu.Unlock()
		seeds = s
	}
	count := func() int {
		mu.Lock()
		defer mu.Unlock()
		return reads
	}
	env, err := process.NewEnv(process.Config{Name: "t"}, io.Discard)
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	got := make(chan []string, 10)
	go c.watchReloads(ctx, 200*time.Millisecond, env, func(s []string) { got <- s })
	deadline := time.Now().Add(100 * time.Millisecond)
	for count() == 0 && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, count(), 1, "the early signal is not lost")
	set(nil)
	time.Sleep(300 * time.Millisecond)
	set([]string{"b", "c"})
	select {
	case s := <-got:
		assert.DeepEqual(t, s, []string{"b", "c"})
	case <-time.After(5 * time.Second):
		t.Fatal("the changed settings are not read")
	}
	time.Sleep(500 * time.Millisecond)
	assert.Equal(t, len(got), 0, "unchanged seeds are not set again")
}

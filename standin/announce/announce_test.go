package announce

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a target that is no longer announced after the entry instance that
// it announces to has failed: it must switch to an address from an earlier response.
func TestAnnouncerSwitchesInstanceAfterFailure(t *testing.T) {
	got := make(chan string, 10)
	newInstance := func(name string, addresses ...string) *httptest.Server {
		return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			var m Message
			if json.NewDecoder(r.Body).Decode(&m) == nil && r.Header.Get("Authorization") == "Bearer key" {
				got <- name + " " + m.Target
			}
			_ = json.NewEncoder(w).Encode(map[string]any{"lease_ms": 3000, "addresses": addresses})
		}))
	}
	address := func(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }
	second := newInstance("second")
	defer second.Close()
	first := newInstance("first", address(second))

	a := New([]string{address(first)}, "key", func() Message { return Message{Target: "engine-1"} })
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	trigger := make(chan struct{})
	done := make(chan struct{})
	go func() { a.Run(ctx, trigger); close(done) }()
	assert.Equal(t, <-got, "first engine-1")
	first.Close()
	trigger <- struct{}{}
	assert.Equal(t, <-got, "second engine-1")
	trigger <- struct{}{} // Run receives this only after it has counted the second announcement
	cancel()
	<-done
	accepted, failed := a.Counts()
	assert.Assert(t, accepted >= 2 && failed >= 1)
}

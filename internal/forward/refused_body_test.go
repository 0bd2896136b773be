package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against callers that never read a refusal, so that they do not know that nothing ran:
// their connection is reset while they are still sending a large body slowly.
func TestRefusalReachesACallerThatStillSends(t *testing.T) {
	t.Parallel()
	const parts, part = 12, 64 << 10
	for name, c := range map[string]struct {
		path   string
		status int
	}{
		"no route":  {"/none/", http.StatusNotFound},
		"too large": {"/write/", http.StatusRequestEntityTooLarge},
	} {
		for _, chunked := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, chunked %t", name, chunked), func(t *testing.T) {
				t.Parallel()
				f := newFixture(t, "core", newFakeTarget(t, "i1", respondsWith(200, "")))
				conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
				assert.NilError(t, err)
				defer conn.Close()
				frame, before, end := fmt.Sprintf("Content-Length: %d", parts*part), "", ""
				if chunked {
					frame, before, end = "Transfer-Encoding: chunked", fmt.Sprintf("%x\r\n", part), "\r\n"
				}
				_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nT-Id: a\r\nT-Key: key\r\nT-Deadline: 5000\r\n%s\r\n\r\n", c.path, frame)
				assert.NilError(t, err)
				for range parts {
					_, err := io.WriteString(conn, before+strings.Repeat("x", part)+end)
					assert.NilError(t, err)
					time.Sleep(100 * time.Millisecond)
				}
				if chunked {
					_, err = io.WriteString(conn, "0\r\n\r\n")
					assert.NilError(t, err)
				}
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				assert.NilError(t, err)
				assert.Equal(t, resp.StatusCode, c.status)
			})
		}
	}
}

// Guards against buffer space that a refused request keeps while the rest of its body, which
// nobody needs any more, is read: others are refused for want of room.
func TestRefusedBodyTakesNoBufferSpace(t *testing.T) {
	t.Parallel()
	f := newFixture(t, "core", newFakeTarget(t, "i1", respondsWith(200, "")))
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	assert.NilError(t, err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST /write/ HTTP/1.1\r\nHost: h\r\nT-Id: a\r\nT-Key: key\r\nT-Deadline: 5000\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", 2000, strings.Repeat("x", 2000))
	assert.NilError(t, err)
	// The body is soon larger than the limit, and does not end; it is read on for longer than
	// the second of this loop.
	time.Sleep(100 * time.Millisecond)
	for until := time.Now().Add(time.Second); f.bufferedBytesNow() > 0 && time.Now().Before(until); {
		time.Sleep(10 * time.Millisecond)
	}
	assert.Equal(t, f.bufferedBytesNow(), int64(0))
}

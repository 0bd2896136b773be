package process

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivetrack/endivetrack/internal/timeline"
)

// endlessServer answers each connection with a head and then with the same text until the
// connection is closed. It returns its address and how many bytes it could write.
func endlessServer(t *testing.T, head, text string) (string, *atomic.Int64) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	written := &atomic.Int64{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				for _, err := io.WriteString(c, head); err == nil; {
					var n int
					n, err = io.WriteString(c, text)
					written.Add(int64(n))
				}
			}()
		}
	}()
	return l.Addr().String(), written
}

// Guards against a process that keeps everything which a server at an address that a peer
// had sends without end, and runs out of memory.
func TestEndlessResponseOfAPeerIsBounded(t *testing.T) {
	const buffers = 16 << 20 // of both sockets
	line := "X-Filler: " + strings.Repeat("x", 1000) + "\r\n"
	for name, c := range map[string]struct {
		head, text string
		bound      int64
	}{
		"head":                 {"HTTP/1.1 200 OK\r\n", line, maxPeerHeadBytes},
		"interim responses":    {"", "HTTP/1.1 103 Early Hints\r\n" + line + "\r\n", maxPeerHeadBytes},
		"success":              {"HTTP/1.1 200 OK\r\nContent-Type: application/protobuf\r\n\r\n", line, maxPeerResponseBytes},
		"success of no peer":   {"HTTP/1.1 200 OK\r\n\r\n", line, maxPeerErrorBytes},
		"error":                {"HTTP/1.1 500 No\r\n\r\n", line, maxPeerErrorBytes},
		"error in chunks":      {"HTTP/1.1 500 No\r\nTransfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n", len(line), line), maxPeerErrorBytes},
		"endless chunk header": {"HTTP/1.1 500 No\r\nTransfer-Encoding: chunked\r\n\r\n", "0000", maxPeerErrorBytes},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address, written := endlessServer(t, c.head, c.text)
			client := PeerClient("", timeline.NewClock(time.Now))
			client.Timeout = 10 * time.Second
			began := time.Now()
			resp, err := client.Get("http://" + address)
			if err == nil {
				var n int64
				n, err = io.Copy(io.Discard, resp.Body)
				assert.Check(t, n <= c.bound, "%d bytes", n)
				assert.NilError(t, resp.Body.Close())
			}
			assert.Assert(t, err != nil, "an endless response must not look complete")
			assert.Assert(t, time.Since(began) < client.Timeout, "it ends by its bound, not by its timeout")
			assert.Assert(t, written.Load() < c.bound+buffers, "%d bytes were accepted", written.Load())
		})
	}
}

package netconn

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func connectedPair(t *testing.T) (client, server net.Conn) {
	l, err := Listen(context.Background(), "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	client, err = Dial(context.Background(), l.Addr().String())
	assert.NilError(t, err)
	server, err = l.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { _, _ = client.Close(), server.Close() })
	return client, server
}

// Guards against reusing an idle connection that the peer has closed, or that
// has unexpected bytes to read.
func TestIsReusableDetectsCloseAndUnreadBytes(t *testing.T) {
	client, server := connectedPair(t)
	assert.Assert(t, IsReusable(client))
	_, err := server.Write([]byte("x"))
	assert.NilError(t, err)
	waitNotReusable(t, client)
	client, server = connectedPair(t)
	assert.NilError(t, server.Close())
	waitNotReusable(t, client)
	assert.NilError(t, client.Close())
	assert.Assert(t, !IsReusable(client))
}

func waitNotReusable(t *testing.T, c net.Conn) {
	t.Helper()
	deadline := time.Now().Add(5 * time.Second)
	for IsReusable(c) {
		assert.Assert(t, time.Now().Before(deadline), "still counts as reusable")
		time.Sleep(time.Millisecond)
	}
}

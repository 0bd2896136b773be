package netconn

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func pair(t *testing.T) (client, server net.Conn) {
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

// Guards against a request on an idle connection that the peer has closed or
// on which unexpected bytes wait.
func TestOpenNoticesCloseAndBytes(t *testing.T) {
	client, server := pair(t)
	assert.Assert(t, Open(client))
	_, err := server.Write([]byte("x"))
	assert.NilError(t, err)
	waitNot(t, client)
	client, server = pair(t)
	assert.NilError(t, server.Close())
	waitNot(t, client)
	assert.NilError(t, client.Close())
	assert.Assert(t, !Open(client))
}

func waitNot(t *testing.T, c net.Conn) {
	t.Helper()
	deadline := time.Now().Add(5 * time.Second)
	for Open(c) {
		assert.Assert(t, time.Now().Before(deadline), "still counts as open")
		time.Sleep(time.Millisecond)
	}
}

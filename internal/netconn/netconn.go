// Package netconn opens TCP connections that notice a peer that has gone
// silent. A connection can lose its way for good while new ones work; only
// unanswered data or unanswered keep-alive probes show it.
package netconn

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Bounds of a silent connection.
const (
	// DialTimeout bounds the time to connect. It covers the longest round trip
	// many times over; an opening packet that was lost is sent again by the
	// next attempt sooner than by the kernel, which waits a second.
	DialTimeout = 350 * time.Millisecond
	// UserTimeout is how long sent data may stay unacknowledged.
	UserTimeout = 1500 * time.Millisecond
	// keepAliveIdle and keepAliveInterval pace the probes of an idle
	// connection; UserTimeout bounds how long they stay unanswered.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
)

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}

// Dial connects to a TCP address.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	return dialer.DialContext(ctx, "tcp4", address)
}

var dialer = &net.Dialer{Timeout: DialTimeout, KeepAliveConfig: keepAlive, Control: setOptions}

// Listen opens a TCP listener whose connections have the same bounds.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	// Accepted connections inherit the options of the listening socket.
	c := net.ListenConfig{KeepAliveConfig: keepAlive, Control: setOptions}
	return c.Listen(ctx, "tcp4", address)
}

func setOptions(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(UserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// Open reports whether an idle connection is still open and has nothing to
// read. A peer's close, reset or unexpected bytes make it unusable.
func Open(c net.Conn) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, e := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = n < 0 && (e == unix.EAGAIN || e == unix.EWOULDBLOCK)
		return true
	})
	return err == nil && open
}

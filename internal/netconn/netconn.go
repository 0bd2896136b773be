// Package netconn opens TCP connections that detect an unresponsive peer. An
// established connection can lose its network path permanently while new
// connections work. Only unacknowledged data or unanswered keep-alive probes
// reveal that.
package netconn

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Timeouts that detect an unresponsive peer.
const (
	// DialTimeout bounds the time to connect. It is many times the longest
	// round trip. If the SYN packet is lost, a new attempt after DialTimeout
	// sends another sooner than the kernel, which retransmits it after a second.
	DialTimeout = 350 * time.Millisecond
	// UserTimeout is how long sent data may stay unacknowledged.
	UserTimeout = 1500 * time.Millisecond
	// An idle connection is probed after keepAliveIdle, then every keepAliveInterval.
	// UserTimeout bounds how long the probes may stay unanswered.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
)

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}

// Dial connects to an IPv4 TCP address within DialTimeout.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	return dialer.DialContext(ctx, "tcp4", address)
}

var dialer = &net.Dialer{Timeout: DialTimeout, KeepAliveConfig: keepAlive, Control: setOptions}

// Listen opens an IPv4 TCP listener whose connections have the same UserTimeout
// and keep-alive settings as those of Dial.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	// Accepted connections inherit the options of the listening socket.
	c := net.ListenConfig{KeepAliveConfig: keepAlive, Control: setOptions}
	return c.Listen(ctx, "tcp4", address)
}

func setOptions(_, _ string, raw syscall.RawConn) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(UserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optErr
}

// IsReusable reports whether an idle connection is still open and has no unread
// bytes. After a close, a reset or unexpected bytes from the peer it must not be
// used for another request.
func IsReusable(c net.Conn) bool {
	raw, ok := rawConn(c)
	if !ok {
		return false
	}
	open := false
	err := raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, e := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = n < 0 && (e == unix.EAGAIN || e == unix.EWOULDBLOCK)
		return true
	})
	return err == nil && open
}

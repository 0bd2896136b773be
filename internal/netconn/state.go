package netconn

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// tcpEstablished is the state of a connection of which neither side has sent its end.
const tcpEstablished = 1

// IsEstablished reports whether the peer had not closed the connection, as far as this host
// knows. Unlike a read it tells so also while bytes of the peer are unread.
func IsEstablished(c net.Conn) bool {
	raw, ok := rawConn(c)
	if !ok {
		return false
	}
	established := false
	err := raw.Control(func(fd uintptr) {
		info, infoErr := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		established = infoErr == nil && info.State == tcpEstablished
	})
	return err == nil && established
}

// rawConn returns access to the socket of a connection; false if it has none.
func rawConn(c net.Conn) (syscall.RawConn, bool) {
	s, ok := c.(syscall.Conn)
	if !ok {
		return nil, false
	}
	raw, err := s.SyscallConn()
	return raw, err == nil
}

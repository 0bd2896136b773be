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
	s, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	established := false
	err = raw.Control(func(fd uintptr) {
		info, infoErr := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		established = infoErr == nil && info.State == tcpEstablished
	})
	return err == nil && established
}

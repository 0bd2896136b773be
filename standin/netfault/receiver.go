package netfault

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// timestampBytes is the size of a control message with one timeval.
var timestampBytes = unix.CmsgSpace(2 * 8)

// receiver reads from a TCP connection together with kernel receive timestamps.
type receiver struct {
	raw syscall.RawConn
}

func newReceiver(c net.Conn) (*receiver, error) {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return nil, fmt.Errorf("netfault: %T is not a TCP connection", c)
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil, err
	}
	var optErr error
	err = raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_TIMESTAMP, 1)
	})
	if err == nil {
		err = optErr
	}
	return &receiver{raw: raw}, err
}

// read reads into p. It returns the number of bytes and the time at which the newest
// of them were received, in microseconds of Unix time. The time is 0 if unknown.
func (r *receiver) read(p []byte) (n int, receivedAt int64, err error) {
	if len(p) == 0 {
		return 0, 0, nil
	}
	control := make([]byte, timestampBytes)
	var controlLen int
	var readErr error
	err = r.raw.Read(func(fd uintptr) bool {
		for {
			n, controlLen, _, _, readErr = unix.Recvmsg(int(fd), p, control, 0)
			if readErr != unix.EINTR {
				return readErr != unix.EAGAIN
			}
		}
	})
	switch {
	case err != nil:
		return 0, 0, err
	case readErr != nil:
		return 0, 0, &net.OpError{Op: "read", Net: "tcp", Err: readErr}
	case n == 0:
		return 0, 0, io.EOF
	}
	receivedAt, err = parseTimestamp(control[:controlLen])
	return n, receivedAt, err
}

// parseTimestamp returns the receive timestamp in the control messages, in microseconds
// of Unix time, or 0 if there is none.
func parseTimestamp(control []byte) (int64, error) {
	messages, err := unix.ParseSocketControlMessage(control)
	if err != nil {
		return 0, err
	}
	for _, m := range messages {
		if m.Header.Level == unix.SOL_SOCKET && m.Header.Type == unix.SO_TIMESTAMP && len(m.Data) >= 16 {
			seconds := int64(binary.NativeEndian.Uint64(m.Data[:8]))
			micros := int64(binary.NativeEndian.Uint64(m.Data[8:16]))
			return seconds*1e6 + micros, nil
		}
	}
	return 0, nil
}

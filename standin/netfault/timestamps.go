package netfault

import (
	"errors"
	"net"
	"sync"
	"time"
)

// Timing of the wait for receive timestamps.
const (
	timestampWait    = 5 * time.Second
	timestampAttempt = 5 * time.Millisecond
)

// errNoTimestamps means that the kernel does not add receive timestamps.
var errNoTimestamps = errors.New("netfault: the kernel adds no receive timestamps")

// enableTimestamps opens a socket that asks for receive timestamps and keeps it open
// until the process ends. The kernel adds timestamps only while such a socket exists,
// and starts to do so a moment after the first one is opened: bytes that arrive before
// then have none. enableTimestamps returns once the first timestamp was received.
var enableTimestamps = sync.OnceValue(func() error {
	listener, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return err
	}
	defer listener.Close()
	sender, err := net.DialTCP("tcp4", nil, listener.Addr().(*net.TCPAddr))
	if err != nil {
		return err
	}
	accepted, err := listener.Accept()
	if err != nil {
		_ = sender.Close()
		return err
	}
	heldSockets = append(heldSockets, sender, accepted)
	receiver, err := newReceiver(accepted)
	if err != nil {
		return err
	}
	return awaitTimestamp(sender, receiver)
})

// heldSockets keeps the sockets of enableTimestamps reachable, so that they are not
// closed by a finalizer.
var heldSockets []net.Conn

// awaitTimestamp sends bytes until the receiver reports a timestamp.
func awaitTimestamp(sender net.Conn, r *receiver) error {
	buffer := make([]byte, 1)
	for deadline := time.Now().Add(timestampWait); time.Now().Before(deadline); time.Sleep(timestampAttempt) {
		if _, err := sender.Write([]byte{0}); err != nil {
			return err
		}
		_, receivedAt, err := r.read(buffer)
		if err != nil || receivedAt > 0 {
			return err
		}
	}
	return errNoTimestamps
}

package slopes

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// clockTick is the unit of processor time in /proc, which Linux fixes at 100 Hz
// for user programs.
const clockTick = 10 * time.Millisecond

// Indexes of the fields of /proc/<pid>/stat that follow the program name.
const (
	fieldUserTime   = 11
	fieldSystemTime = 12
)

// Usage is the processor time that a process has used so far and its resident
// memory.
type Usage struct {
	CPU      time.Duration
	Resident int64 // resident memory in bytes
}

// UsageOf reads a process's usage from /proc.
func UsageOf(pid int) (Usage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return Usage{}, err
	}
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	if len(fields) <= fieldSystemTime {
		return Usage{}, fmt.Errorf("unexpected content of /proc/%d/stat: %q", pid, stat)
	}
	user, err := strconv.ParseInt(fields[fieldUserTime], 10, 64)
	if err != nil {
		return Usage{}, err
	}
	system, err := strconv.ParseInt(fields[fieldSystemTime], 10, 64)
	if err != nil {
		return Usage{}, err
	}
	resident, err := residentBytes(pid)
	return Usage{CPU: time.Duration(user+system) * clockTick, Resident: resident}, err
}

func residentBytes(pid int) (int64, error) {
	statm, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(statm))
	if len(fields) < 2 {
		return 0, fmt.Errorf("unexpected content of /proc/%d/statm: %q", pid, statm)
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize()), err
}

// CPUShare waits for d and returns how much of one core a process used meanwhile,
// in percent, and its resident memory in bytes at the end.
func CPUShare(ctx context.Context, pid int, d time.Duration) (percent float64, resident int64, err error) {
	before, err := UsageOf(pid)
	if err != nil {
		return 0, 0, err
	}
	start := time.Now()
	select {
	case <-ctx.Done():
		return 0, 0, ctx.Err()
	case <-time.After(d):
	}
	after, err := UsageOf(pid)
	if err != nil {
		return 0, 0, err
	}
	return 100 * float64(after.CPU-before.CPU) / float64(time.Since(start)), after.Resident, nil
}

// byteCounter counts the bytes sent and received on the connections of an HTTP
// client.
type byteCounter struct {
	sent, received atomic.Int64
}

func (b *byteCounter) total() int64 { return b.sent.Load() + b.received.Load() }

// transport returns an HTTP transport that adds the bytes on its connections to b.
func (b *byteCounter) transport() *http.Transport {
	dialer := &net.Dialer{Timeout: time.Second}
	return &http.Transport{
		MaxIdleConnsPerHost: 16,
		DisableCompression:  true,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return countingConn{conn, b}, nil
		},
	}
}

type countingConn struct {
	net.Conn
	counter *byteCounter
}

// Read adds the received bytes to the counter.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.received.Add(int64(n))
	return n, err
}

// Write adds the sent bytes to the counter.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.sent.Add(int64(n))
	return n, err
}

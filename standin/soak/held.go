package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/endivetrack/endivetrack/platform/platformtest"
)

const (
	metricsPort = "9464"
	heldPrefix  = "endivetrack_forward_held_"
	// heldWithin is the time in which an entry instance must have given everything back after
	// the last request: the longest request and some updates of the gauges.
	heldWithin = requestTimeout + 4*time.Second
)

// checkNothingHeld checks that no entry instance counts anything for requests any more.
func (c *faultInjector) checkNothingHeld(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, heldWithin)
	defer cancel()
	var all sync.WaitGroup
	for _, e := range c.entries {
		all.Go(func() { c.checkHoldsNothing(ctx, e) })
	}
	all.Wait()
}

func (c *faultInjector) checkHoldsNothing(ctx context.Context, e *instance) {
	var last error
	for ctx.Err() == nil {
		held, err := heldBy(ctx, e)
		switch {
		case err == nil && len(held) == 0:
			return
		case err == nil:
			last = fmt.Errorf("it holds %v", held)
		case ctx.Err() == nil:
			last = err
		}
		sleep(ctx, retryDelay)
	}
	c.violation("%s, %v after the last request: %v", e.Instance.Name, heldWithin, last)
}

// heldBy returns the gauges of what an entry instance holds for requests that are not 0. It
// fails if there are no such gauges.
func heldBy(ctx context.Context, e *instance) (held []string, err error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+net.JoinHostPort(e.IP, metricsPort)+"/metrics", http.NoBody)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	found := false
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		gauge, ok := strings.CutPrefix(lines.Text(), heldPrefix)
		found = found || ok
		if ok && !strings.HasSuffix(gauge, " 0") {
			held = append(held, gauge)
		}
	}
	if !found {
		return nil, fmt.Errorf("%s has no gauge %s", e.Instance.Name, heldPrefix)
	}
	return held, nil
}

const (
	partInterval = 20 * time.Millisecond
	partBody     = 200 << 10
)

// sendParts sends an entry instance requests whose callers leave within the head or the body, at
// once or after some time.
func (c *faultInjector) sendParts(ctx context.Context, duration time.Duration, n int) {
	ctx, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	e := c.entries[n%len(c.entries)]
	for i := n; ctx.Err() == nil; i++ {
		sleep(ctx, partInterval)
		c.active.Go(func() { c.sendPart(ctx, e, i) })
	}
}

func (c *faultInjector) sendPart(ctx context.Context, e *instance, n int) {
	conn, err := c.dial(ctx, e.CallerAddress())
	if err != nil {
		return // a fault of the link or of the instance is under way
	}
	defer conn.Close()
	frame, begin := fmt.Sprintf("Content-Length: %d", partBody), ""
	if n%2 == 0 {
		frame, begin = "Transfer-Encoding: chunked", fmt.Sprintf("%x\r\n", partBody)
	}
	head := fmt.Sprintf("POST %s%s HTTP/1.1\r\nHost: %s\r\n%s: part-%d\r\n%s: %s\r\n%s: %d\r\n%s\r\n\r\n%s", paths[n%len(paths)], "part", manifestHost,
		platformtest.RequestIDHeader, n, platformtest.KeyHeader, keptKey, platformtest.DeadlineHeader, requestTimeout.Milliseconds(), frame, begin)
	whole := head + strings.Repeat("x", partBody)
	// Each byte of the head may be the last, and every thousandth of the body.
	last := n % len(head)
	if n%4 != 0 {
		last = len(head) + n*1000%partBody
	}
	if _, err := io.WriteString(conn, whole[:last]); err != nil {
		return
	}
	sleep(ctx, time.Duration(n%5)*100*time.Millisecond)
	if tcp, ok := conn.(*net.TCPConn); ok && n%3 == 0 {
		_ = tcp.SetLinger(0) // leave with a reset; fails only on a closed connection
	}
}

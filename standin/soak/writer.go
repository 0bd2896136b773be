package soak

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/endivetrack/endivetrack/platform/platformtest"
	"github.com/endivetrack/endivetrack/standin/cluster"
)

const (
	writerOctet    = 251 // last octet of the address that the other writer announces
	writerInterval = 5 * time.Millisecond
	writerHeadTime = time.Second
	// writerRound is how long the writer takes for each of its calls once, if each is answered
	// at once.
	writerRound = 500 * time.Millisecond
)

// otherWriter announces things that are no targets, beside those of the targets.
type otherWriter struct {
	client *platformtest.Client
	calls  []platformtest.OddCall
	// reached counts the requests that were sent to the writer's server.
	reached atomic.Int64
	server  *http.Server
}

// startOtherWriter starts the server that the writer names in its announcements.
func (d *deployment) startOtherWriter() (*otherWriter, error) {
	l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:0", d.networkPrefix, writerOctet))
	if err != nil {
		return nil, err
	}
	w := &otherWriter{client: d.client, calls: platformtest.OddCalls(plainService, locations[0].domain, l.Addr().String())}
	w.server = &http.Server{Handler: w, ReadHeaderTimeout: writerHeadTime}
	go func() { _ = w.server.Serve(l) }() // Serve returns when stop closes the server
	return w, nil
}

// ServeHTTP counts a request and refuses it as not run.
func (w *otherWriter) ServeHTTP(rw http.ResponseWriter, _ *http.Request) {
	w.reached.Add(1)
	rw.WriteHeader(http.StatusMisdirectedRequest)
}

func (w *otherWriter) stop() { _ = w.server.Close() }

// run sends odd calls, again and again, until ctx is done.
func (w *otherWriter) run(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		_ = w.client.Send(ctx, w.calls[n%len(w.calls)]) // most are refused
		sleep(ctx, writerInterval)
	}
}

// runOtherWriter runs another writer while the function during runs. It records a violation
// if a request is sent to what the writer announces.
func (c *faultInjector) runOtherWriter(ctx context.Context, during func()) error {
	w, err := c.startOtherWriter()
	if err != nil {
		return err
	}
	defer w.stop()
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	running.Go(func() { w.run(ctx) })
	during()
	cancel()
	running.Wait()
	if n := w.reached.Load(); n > 0 {
		c.violation("%d requests were sent to what another writer announced", n)
	}
	return nil
}

// checkNewTargetIsFound checks that a new target gets requests while another writer announces
// things that are no targets.
func (c *faultInjector) checkNewTargetIsFound(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, platformtest.RecoverWithin)
	defer cancel()
	var found error
	err := c.runOtherWriter(ctx, func() {
		sleep(ctx, writerRound)
		found = c.awaitNewTarget(ctx)
	})
	if err = errors.Join(err, found); err != nil {
		c.violation("a new target beside another writer: %v", err)
	}
}

// awaitNewTarget starts a target and waits until it has executed a request.
func (c *faultInjector) awaitNewTarget(ctx context.Context) error {
	t, err := c.addTargetInService()
	if err != nil {
		return err
	}
	return cluster.WaitUntil(ctx, "its first request", func() bool {
		for _, e := range c.entries {
			if e.FailureDomain == t.self.FailureDomain {
				c.serves(e, keptKey)
			}
		}
		return c.executionLog.ranAt(t.self.ID)
	})
}

// addTargetInService starts a target of the plain service in a failure domain that is not
// out of service.
func (c *faultInjector) addTargetInService() (*target, error) {
	c.deployment.mu.Lock()
	defer c.deployment.mu.Unlock()
	for {
		t, err := c.addTargetOf(plainService)
		if err != nil || t.self.FailureDomain != evacuatedDomain {
			return t, err
		}
	}
}

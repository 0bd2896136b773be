package forward

import (
	"context"
	"errors"
	"io"
	"syscall"
	"time"

	"github.com/endivetrack/endivetrack/internal/netconn"
	"github.com/endivetrack/endivetrack/internal/quarantine"
)

// beginning is how long after the first event of a stream its target may still crash
// because it began to answer that request.
const beginning = 500 * time.Millisecond

// crashCheckWait bounds how long a failed attempt waits until it is known whether its
// target crashed. A further attempt, here or at the instance to which the caller turns, is
// then placed with this crash known.
const crashCheckWait = 100 * time.Millisecond

// recordServed records that a target could bear the request.
func (f *Forwarder) recordServed(q *request) {
	f.config.Quarantine.RecordServed(q.service.Name, q.features)
}

// legStarted reports whether the target of the current leg has been answering for longer
// than beginning.
func (r *streamSession) legStarted(now time.Time) bool {
	return r.caller.legEvents > 0 && now.Sub(r.legFirstEventAt) >= beginning
}

// recordServed records once that a target could bear the request.
func (r *streamSession) recordServed() {
	if !r.served {
		r.served = true
		r.f.recordServed(r.q)
	}
}

// checkCrash records the request as a suspect if its target crashed while it began to
// answer. A process that has ended refuses connections; one that only broke off a
// response, or that cannot be reached, does not.
func (f *Forwarder) checkCrash(q *request, o *outcome) {
	e := o.lease.endpoint
	if o.started || o.provenNotRun() || !isConnectionLost(o.err) || f.table.isDraining(e) {
		return
	}
	lostAt := time.Now()
	suspect := quarantine.NewSuspect(q.features, o.lease.reservedAt)
	checked := make(chan struct{})
	go func() {
		defer close(checked)
		if processEnded(context.Background(), e) {
			f.config.Quarantine.RecordCrash(crashID(e), q.service.Name, lostAt, suspect)
		}
	}()
	timeout := time.NewTimer(crashCheckWait)
	defer timeout.Stop()
	select {
	case <-checked:
	case <-timeout.C:
	}
}

// processEnded reports whether nothing listens at the endpoint's address any more.
func processEnded(ctx context.Context, e *endpoint) bool {
	conn, err := netconn.Dial(ctx, e.address)
	if err == nil {
		_ = conn.Close() // an unused connection: nothing is lost
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

func crashID(e *endpoint) quarantine.CrashID {
	return quarantine.CrashID{Target: e.id, Incarnation: e.incarnation}
}

// isConnectionLost reports whether the target closed or reset the connection.
func isConnectionLost(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// isDraining reports whether an endpoint leaves, so that the end of its process is planned.
func (t *table) isDraining(e *endpoint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return e.draining
}

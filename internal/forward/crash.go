package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"syscall"
	"time"

	"github.com/endivetrack/endivetrack/internal/netconn"
	"github.com/endivetrack/endivetrack/internal/quarantine"
	"github.com/endivetrack/endivetrack/internal/resultcode"
)

// beginning is how long after the first event of a stream its target may still crash
// because it began to answer that request.
const beginning = 500 * time.Millisecond

// place reserves capacity for the next attempt of a request. It returns nil if no target
// can accept the request, or must not: the reason is then in the history.
func (f *Forwarder) place(q *request, a *attemptHistory) *lease {
	if found, ok := f.config.Quarantine.Match(q.parts); ok {
		f.config.Metrics.Counter("quarantine.refused").Inc(1)
		a.lastErr = resultcode.Newf(resultcode.PromptQuarantined, "targets crash when they answer a prompt with the parts %v", found.Parts).
			WithRetryAfter(time.Until(found.Until))
		return nil
	}
	d, now := f.table.demandFor(q, a.exclude), time.Now()
	if l := f.table.acquireLease(d, now); l != nil {
		return l
	}
	if wait, limited := f.table.untilAdmission(d, now); limited {
		f.config.Metrics.Counter("forward.limit_refused").Inc(1)
		a.lastErr = resultcode.Newf(resultcode.Overloaded, "the targets of %q accept no more requests now, by the limits that they name", q.service.Name).
			WithRetryAfter(max(minLimitPause, wait))
	}
	return nil
}

// errWithdrawn means that the request was withdrawn from its target before an answer
// began, because its parts were quarantined.
var errWithdrawn = fmt.Errorf("withdrawn from the target: parts of the prompt crash targets: %w", context.Canceled)

// pendingAttempts holds the attempts that targets have not begun to answer.
type pendingAttempts struct {
	mu       sync.Mutex
	attempts map[*pendingAttempt]bool
}

type pendingAttempt struct {
	parts  []string
	cancel context.CancelCauseFunc
}

// begin returns a context for one attempt that ends when the request is withdrawn. The
// returned function must be called when the answer begins or the attempt ends; it leaves
// the context as it is.
func (p *pendingAttempts) begin(ctx context.Context, q *request) (context.Context, func()) {
	if len(q.parts) == 0 {
		return ctx, func() {}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	a := &pendingAttempt{parts: q.parts, cancel: cancel}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.attempts == nil {
		p.attempts = map[*pendingAttempt]bool{}
	}
	p.attempts[a] = true
	return ctx, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.attempts, a)
	}
}

// withdraw ends the attempts of requests that have all of the parts.
func (p *pendingAttempts) withdraw(parts []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for a := range p.attempts {
		if quarantine.ContainsAll(a.parts, parts) {
			a.cancel(errWithdrawn)
		}
	}
}

// withdrawnError returns errWithdrawn if the attempt failed because it was withdrawn, and
// err otherwise.
func withdrawnError(ctx context.Context, err error) error {
	if err != nil && errors.Is(context.Cause(ctx), errWithdrawn) {
		return errWithdrawn
	}
	return err
}

// recordServed records that a target could bear the request.
func (f *Forwarder) recordServed(q *request) {
	if len(q.parts) > 0 {
		f.config.Quarantine.RecordServed(q.service.Name, q.parts)
	}
}

// legStarted reports whether the target of the current leg has been answering for longer
// than beginning.
func (r *streamSession) legStarted(now time.Time) bool {
	return r.legEvents > 0 && now.Sub(r.legFirstEventAt) >= beginning
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
	if len(q.parts) == 0 || o.started || o.provenNotRun() || !isConnectionLost(o.err) || f.table.isDraining(e) {
		return
	}
	lostAt := time.Now()
	suspect := quarantine.NewSuspect(q.parts, o.lease.reservedAt)
	go func() {
		conn, err := netconn.Dial(context.Background(), e.address)
		if err == nil {
			_ = conn.Close() // an unused connection: nothing is lost
			return
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			f.config.Quarantine.RecordCrash(quarantine.CrashID{Target: e.id, Incarnation: e.incarnation}, q.service.Name, lostAt, suspect)
		}
	}()
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

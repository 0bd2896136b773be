package forward

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync"

	"github.com/endivetrack/endivetrack/internal/quarantine"
)

// errWithdrawn means that the request was withdrawn from its target before an answer
// began, because it or its parts were quarantined.
var errWithdrawn = fmt.Errorf("withdrawn from the target: such requests crash targets: %w", context.Canceled)

// pendingAttempts holds the attempts that targets have not begun to answer.
type pendingAttempts struct {
	mu       sync.Mutex
	attempts map[*pendingAttempt]bool
}

type pendingAttempt struct {
	features []string
	cancel   context.CancelCauseFunc
}

// begin returns a context for one attempt that ends when the request is withdrawn. The
// returned function must be called when the answer begins or the attempt ends; it leaves
// the context as it is.
func (p *pendingAttempts) begin(ctx context.Context, q *request) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	a := &pendingAttempt{features: q.features, cancel: cancel}
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
		if quarantine.ContainsAll(a.features, parts) {
			a.cancel(errWithdrawn)
		}
	}
}

// cancelAll ends all attempts that targets have not begun to answer.
func (p *pendingAttempts) cancelAll(cause error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for a := range p.attempts {
		a.cancel(cause)
	}
}

// givenUpError returns why this instance ended the attempt if that is why it failed with
// err, and err otherwise. It shows as a timeout of the attempt's connection. A caller that
// leaves at its deadline has waited as long as it wanted to: for the target that is a timeout.
func givenUpError(ctx context.Context, q *request, err error) error {
	cause := context.Cause(ctx)
	if !errors.Is(err, os.ErrDeadlineExceeded) || !errors.Is(cause, context.Canceled) {
		return err
	}
	if cause == context.Canceled && q.timeLeft() < minTimeLeft {
		return err
	}
	return cause
}

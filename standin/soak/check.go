package soak

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/endivetrack/endivetrack/platform/platformtest"
)

// maxViolations limits the number of violations that a checker records.
const maxViolations = 20

// checker compares the outcomes that callers and operators observed with the
// requests that targets executed.
type checker struct {
	*deployment
	history        *history
	operator       *operator
	outcomes       []*outcome
	executionsByID map[string][]execution

	violations []string
}

func (c *checker) violation(format string, args ...any) {
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, fmt.Sprintf(format, args...))
	}
}

func (c *checker) checkOutcomes() {
	c.executionsByID = map[string][]execution{}
	for _, e := range c.executionLog.executions {
		c.executionsByID[e.id] = append(c.executionsByID[e.id], e)
	}
	for _, o := range c.outcomes {
		c.checkExecutions(o)
		c.checkResponse(o)
		c.checkKey(o)
		c.checkDomain(o)
	}
}

// checkExecutions checks that a protected write or a stream that may not be resumed ran at
// most once, that it did not run if it was refused as not run, and that a request with a
// complete response did run.
func (c *checker) checkExecutions(o *outcome) {
	n := len(c.executionsByID[o.id])
	once := o.path == writePath || o.path == movedPath
	switch {
	case once && n > 1:
		c.violation("%s: a protected write ran %d times", o.id, n)
	case o.refusedAsNotRun() && n > 0 && once:
		c.violation("%s: refused as not run with %d, but it ran at %s", o.id, o.status, c.executionsByID[o.id][0].target)
	case o.complete && n == 0:
		c.violation("%s: answered, but no target ran it", o.id)
	}
}

// checkResponse checks that the response is the expected one, that the request was
// not refused as invalid, and that its connection broke only near an unplanned fault.
func (c *checker) checkResponse(o *outcome) {
	switch {
	case errors.Is(o.err, errWrongResponse):
		c.violation("%s: %v", o.id, o.err)
	case o.err != nil && o.connected && c.noUnplannedFault(o):
		c.violation("%s: sent %s to %s, cut after %v with no unplanned fault near: %v", o.id, o.sentAt.Format(clockFormat), o.entry, o.endedAt.Sub(o.sentAt).Round(time.Millisecond), o.err)
	case o.status != 0 && o.status != http.StatusOK && c.executionLog.gave(answerStatus{o.id, o.stamp, o.status}):
		// a target's own answer
	case o.stamp != "" && o.status != http.StatusOK:
		c.violation("%s: status %d is stamped by %s, which did not give it", o.id, o.status, o.stamp)
	case o.status >= 300 && o.status < 500 && !o.refusedAsNotRun() && o.status != http.StatusUnauthorized:
		c.violation("%s: refused with %d", o.id, o.status)
	}
}

const clockFormat = "15:04:05.000"

// noUnplannedFault reports whether no unplanned fault of a control instance, a
// target or the request's entry instance was active during the request or
// within ReconnectWithin before it.
func (c *checker) noUnplannedFault(o *outcome) bool {
	from, until := o.sentAt.Add(-platformtest.ReconnectWithin), o.endedAt
	all := append(instanceNames(c.controls), allTargets, c.entryName(o.entry))
	return c.history.faultFree(from, until, false, all...)
}

func (c *checker) entryName(address string) string {
	for _, e := range c.entries {
		if e.CallerAddress() == address {
			return e.Instance.Name
		}
	}
	return ""
}

// allowedLag returns how long an entry instance may take to apply a settings change
// after the change was acknowledged. This is applyWithin if no control instance was
// faulty. If some were, but not more at once than the control group tolerates, it is
// longer by MinorityFaultAllowance. If more were faulty, or if the entry instance had
// a fault within ReconnectWithin before observedAt, there is no limit and allowedLag
// returns false.
func (c *checker) allowedLag(applyWithin time.Duration, entry string, acked, observedAt time.Time) (time.Duration, bool) {
	quietFrom := observedAt.Add(-platformtest.ReconnectWithin)
	if !c.history.faultFree(quietFrom, observedAt, true, c.entryName(entry)) {
		return 0, false
	}
	from := acked.Add(-platformtest.ReconnectWithin)
	if c.history.faultFree(from, observedAt, true, instanceNames(c.controls)...) {
		return applyWithin, true
	}
	if c.history.maxConcurrentlyFaulty(from, observedAt, instanceNames(c.controls)) <= c.size.tolerableFailures() {
		return applyWithin + platformtest.MinorityFaultAllowance, true
	}
	return 0, false
}

// checkKey checks that a revoked key is refused once the revocation must be in
// force, and that a valid key is never refused.
func (c *checker) checkKey(o *outcome) {
	if o.key == keptKey && o.status == http.StatusUnauthorized {
		c.violation("%s: a good key was refused", o.id)
		return
	}
	acked := c.operator.revokeAckedAt
	if o.key != revokedKey || acked.IsZero() || len(c.executionsByID[o.id]) == 0 {
		return
	}
	bound, ok := c.allowedLag(platformtest.ApplyWithin, o.entry, acked, o.sentAt)
	if ok && o.sentAt.After(acked.Add(bound)) {
		c.violation("%s: ran with a key that was taken away %v before", o.id, o.sentAt.Sub(acked).Round(time.Millisecond))
	}
}

// checkDomain checks that a failure domain that is out of service receives no
// new requests.
func (c *checker) checkDomain(o *outcome) {
	acked, back := c.operator.evacuationAckedAt, c.operator.restoreSentAt
	if acked.IsZero() {
		return
	}
	for _, e := range c.executionsByID[o.id] {
		if e.arrivedAt.IsZero() {
			c.violation("%s: the time at which it reached %s is not known", o.id, e.target)
			continue
		}
		if e.domain != evacuatedDomain || (!back.IsZero() && e.arrivedAt.After(back)) {
			continue
		}
		bound, ok := c.allowedLag(platformtest.EvacuateWithin, o.entry, acked, e.arrivedAt)
		if ok && e.arrivedAt.After(acked.Add(bound)) {
			c.violation("%s: reached %s %v after its failure domain was taken out", o.id, e.target, e.arrivedAt.Sub(acked).Round(time.Millisecond))
		}
	}
}

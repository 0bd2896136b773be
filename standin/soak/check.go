package soak

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/endivetrack/endivetrack/platform/platformtest"
)

// maxNotes bounds the violations that are told one by one.
const maxNotes = 20

// checker compares what callers and operators saw with what targets ran.
type checker struct {
	*deployment
	history  *history
	operator *operator
	outcomes []*outcome
	runs     map[string][]execution

	violations []string
}

func (c *checker) violation(format string, args ...any) {
	if len(c.violations) < maxNotes {
		c.violations = append(c.violations, fmt.Sprintf(format, args...))
	}
}

func (c *checker) check() {
	c.runs = map[string][]execution{}
	for _, e := range c.ledger.executions {
		c.runs[e.id] = append(c.runs[e.id], e)
	}
	for _, o := range c.outcomes {
		c.checkRuns(o)
		c.checkAnswer(o)
		c.checkKey(o)
		c.checkDomain(o)
	}
}

// checkRuns: protected writes run at most once, refusals are true, answers come
// from a run.
func (c *checker) checkRuns(o *outcome) {
	n := len(c.runs[o.id])
	switch {
	case o.path == writePath && n > 1:
		c.violation("%s: a protected write ran %d times", o.id, n)
	case o.refusedUnrun() && n > 0 && o.path == writePath:
		c.violation("%s: refused as not run with %d, but it ran at %s", o.id, o.status, c.runs[o.id][0].target)
	case o.whole && n == 0:
		c.violation("%s: answered, but no target ran it", o.id)
	}
}

// checkAnswer: each answer is the caller's own, and nothing is cut or refused
// without a fault.
func (c *checker) checkAnswer(o *outcome) {
	switch {
	case errors.Is(o.err, errWrong):
		c.violation("%s: %v", o.id, o.err)
	case o.err != nil && o.connected && c.withoutFault(o):
		c.violation("%s: sent %s to %s, cut after %v with no unplanned fault near: %v", o.id, o.sent.Format(clockFormat), o.entry, o.ended.Sub(o.sent).Round(time.Millisecond), o.err)
	case o.status >= 300 && o.status < 500 && !o.refusedUnrun() && o.status != http.StatusUnauthorized:
		c.violation("%s: refused with %d", o.id, o.status)
	}
}

const clockFormat = "15:04:05.000"

// withoutFault reports whether no unplanned fault can have touched a request.
func (c *checker) withoutFault(o *outcome) bool {
	from, until := o.sent.Add(-platformtest.ContactAfter), o.ended
	all := append(names(c.controls), everyTarget, c.nameAt(o.entry))
	return c.history.calm(from, until, false, all...)
}

func (c *checker) nameAt(address string) string {
	for _, e := range c.entries {
		if e.CallersAddress() == address {
			return e.Instance.Name
		}
	}
	return ""
}

// bound returns how long after an acknowledgement a change may still be
// unknown to an entry instance, or false if the instance was not in touch
// until a later moment.
func (c *checker) bound(within time.Duration, entry string, acked, at time.Time) (time.Duration, bool) {
	quietFrom := at.Add(-platformtest.ContactAfter)
	if !c.history.calm(quietFrom, at, true, c.nameAt(entry)) {
		return 0, false
	}
	from := acked.Add(-platformtest.ContactAfter)
	if c.history.calm(from, at, true, names(c.controls)...) {
		return within, true
	}
	if c.history.mostAtOnce(from, at, names(c.controls)) <= c.size.minority() {
		return within + platformtest.MaxStretch, true
	}
	return 0, false
}

// checkKey: a key that was taken away opens nothing, and a kept one always does.
func (c *checker) checkKey(o *outcome) {
	if o.key == keptKey && o.status == http.StatusUnauthorized {
		c.violation("%s: a good key was refused", o.id)
		return
	}
	acked := c.operator.revokeAcked
	if o.key != revokedKey || acked.IsZero() || len(c.runs[o.id]) == 0 {
		return
	}
	bound, ok := c.bound(platformtest.ApplyWithin, o.entry, acked, o.sent)
	if ok && o.sent.After(acked.Add(bound)) {
		c.violation("%s: ran with a key that was taken away %v before", o.id, o.sent.Sub(acked).Round(time.Millisecond))
	}
}

// checkDomain: a failure domain that is out gets no new work.
func (c *checker) checkDomain(o *outcome) {
	acked, back := c.operator.outAcked, c.operator.backSent
	if acked.IsZero() {
		return
	}
	for _, e := range c.runs[o.id] {
		if e.domain != outOfService || (!back.IsZero() && e.arrived.After(back)) {
			continue
		}
		bound, ok := c.bound(platformtest.EvacuateIn, o.entry, acked, e.arrived)
		if ok && e.arrived.After(acked.Add(bound)) {
			c.violation("%s: reached %s %v after its failure domain was taken out", o.id, e.target, e.arrived.Sub(acked).Round(time.Millisecond))
		}
	}
}

package owner

import (
	"strings"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/resultcode"
	"github.com/endivetrack/endivetrack/internal/scheduler"
)

// refusalCodes maps the refusals of Acquire to the result codes under which the
// metrics count them.
var refusalCodes = map[api.AcquireOutcome]resultcode.Code{
	api.AcquireOutcome_ACQUIRE_OUTCOME_FULL:       resultcode.Overloaded,
	api.AcquireOutcome_ACQUIRE_OUTCOME_OVERLOADED: resultcode.Overloaded,
	api.AcquireOutcome_ACQUIRE_OUTCOME_NO_TARGET:  resultcode.NoTarget,
	api.AcquireOutcome_ACQUIRE_OUTCOME_NOT_OWNER:  resultcode.NoOwner,
}

func (o *Owner) countGrant(d scheduler.Decision) {
	if d.Outcome == api.AcquireOutcome_ACQUIRE_OUTCOME_GRANTED {
		o.metrics.Counter("grants").Inc(1)
		o.metrics.Counter("queue_wait_ms").Inc(d.Waited.Milliseconds())
	}
}

func (o *Owner) countRefusal(outcome api.AcquireOutcome, deadlineExceeded bool) {
	code := refusalCodes[outcome]
	if deadlineExceeded {
		code = resultcode.DeadlineExceeded
	}
	o.metrics.Counter("refused_" + strings.ToLower(code.String())).Inc(1)
}

// publishTotals adds the growth of the shard's totals since the last call to the
// metrics.
func (o *Owner) publishTotals(sh *shard) {
	now, last := sh.state.Totals(), sh.publishedTotals
	sh.publishedTotals = now
	o.metrics.Counter("reclaimed").Inc(int64(now.Reclaimed - last.Reclaimed))
	o.metrics.Counter("preemptions").Inc(int64(now.Preemptions - last.Preemptions))
	o.metrics.Counter("idle_while_waiting_ms").Inc(int64(now.IdleSeconds*1000) - int64(last.IdleSeconds*1000))
	o.metrics.Counter("capacity_while_waiting_ms").Inc(int64(now.CapacitySeconds*1000) - int64(last.CapacitySeconds*1000))
}

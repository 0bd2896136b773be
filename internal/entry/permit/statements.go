package permit

import (
	"math/rand/v2"
	"time"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/pause"
	"github.com/endivetrack/endivetrack/internal/resultcode"
	"github.com/endivetrack/endivetrack/internal/session"
	"github.com/endivetrack/endivetrack/internal/statement"
)

// What incarnations of targets have said of themselves in answers to this instance. Requests
// for permits exclude them, and a permit that was granted before is not used.
//
// Invariant: what an incarnation has said holds for that incarnation alone. Crash case: an
// instance that restarts has forgotten it; the owner of the shard knows which targets leave.

// leavingMemory is how long this instance remembers that an incarnation said that it leaves.
// It counts for statement.MaxLeaving; what a faulty target repeats after that is not believed
// until it is forgotten.
const leavingMemory = 2 * statement.MaxLeaving

// MarkLeaving records that the permit's target leaves, and reports whether that is news.
func (a *Acquirer) MarkLeaving(shard session.ShardKey, p *api.Permit, now time.Time) bool {
	k := incarnationKey(shard, p)
	if _, known := a.leaving.end(k, now); known {
		return false
	}
	return a.leaving.add(k, now, now.Add(leavingMemory))
}

// MarkQuiet records for how long the permit's target, which turned a request of this instance
// away, wants no more of them. Instances do not tell each other. It reports whether a quiet
// time begins.
func (a *Acquirer) MarkQuiet(shard session.ShardKey, p *api.Permit, now time.Time, quiet time.Duration) bool {
	return a.quiet.add(incarnationKey(shard, p), now, now.Add(quiet))
}

// IsLeaving reports whether the permit's target has said that it leaves.
func (a *Acquirer) IsLeaving(shard session.ShardKey, p *api.Permit, now time.Time) bool {
	forgottenAt, known := a.leaving.end(incarnationKey(shard, p), now)
	return known && forgottenAt.Sub(now) > leavingMemory-statement.MaxLeaving
}

// CheckStatements returns an error if the permit's target has said that it leaves, or that it
// wants no requests now.
func (a *Acquirer) CheckStatements(shard session.ShardKey, p *api.Permit, now time.Time) error {
	if a.IsLeaving(shard, p, now) {
		return resultcode.Newf(resultcode.NoTarget, "target %q has said that it leaves", p.GetTarget()).
			WithRetryAfter(pause.Spread(pause.Min, rand.Float64))
	}
	if until, quiet := a.quiet.end(incarnationKey(shard, p), now); quiet {
		return resultcode.Newf(resultcode.NoTarget, "target %q wants no requests for some time", p.GetTarget()).
			WithRetryAfter(pause.Spread(until.Sub(now), rand.Float64))
	}
	return nil
}

func incarnationKey(shard session.ShardKey, p *api.Permit) targetKey {
	return targetKey{shard.Team, shard.Service, p.GetTarget(), p.GetIncarnation()}
}

// incarnationsToExclude returns the incarnations of a request's service that leave or want no
// requests, at most as many as the request may exclude beside the given targets.
func (a *Acquirer) incarnationsToExclude(req Requirements, targets int, now time.Time) []*api.TargetIncarnation {
	leaving, _ := a.leaving.ofService(req.Team, req.Service, now.Add(leavingMemory-statement.MaxLeaving))
	quiet, _ := a.quiet.ofService(req.Team, req.Service, now)
	var out []*api.TargetIncarnation
	for _, k := range append(leaving, quiet...) {
		out = append(out, &api.TargetIncarnation{Target: k.target, Incarnation: k.incarnation})
	}
	return out[:min(len(out), maxExcludedTargets-targets)]
}

// allQuietError returns the refusal of a request for whose service the owners know no target
// besides those that this instance leaves in peace; nil if there are none of these.
func (a *Acquirer) allQuietError(req Requirements, now time.Time) error {
	quiet, earliest := a.quiet.ofService(req.Team, req.Service, now)
	if len(quiet) == 0 {
		return nil
	}
	return resultcode.Newf(resultcode.Overloaded, "the targets of service %q want no requests for some time", req.Service).
		WithRetryAfter(pause.Spread(earliest.Sub(now), rand.Float64))
}

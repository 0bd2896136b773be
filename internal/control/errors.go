package control

import (
	"context"
	"errors"
	"time"

	"github.com/endivetrack/endivetrack/internal/agreement"
	"github.com/endivetrack/endivetrack/internal/resultcode"
)

// overloadRetryAfter advises callers when too many commands wait.
const overloadRetryAfter = 200 * time.Millisecond

// logError gives an error of the replicated log its result code. Only a command
// that was not proposed is "not run".
func logError(err error) error {
	var notLeader *agreement.NotLeaderError
	switch {
	case errors.As(err, &notLeader):
		return notLeaderError(notLeader.Address)
	case errors.Is(err, agreement.ErrStopped):
		return notLeaderError("")
	case errors.Is(err, agreement.ErrOverloaded):
		return resultcode.Newf(resultcode.Overloaded, "%v", err).WithRetryAfter(overloadRetryAfter)
	case errors.Is(err, agreement.ErrTooLarge):
		return resultcode.Newf(resultcode.MessageMalformed, "%v", err)
	case errors.Is(err, agreement.ErrMembershipChange):
		return resultcode.Newf(resultcode.MembershipChange, "%v", err)
	case errors.Is(err, agreement.ErrOutcomeUnknown), errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return resultcode.Newf(resultcode.ControlUnavailable, "no quorum answered: %v", err).WithExecution(resultcode.Unknown)
	}
	return resultcode.From(err)
}

func notLeaderError(leader string) *resultcode.Error {
	return resultcode.Newf(resultcode.NotLeader, "not the leader; leader at %q", leader)
}

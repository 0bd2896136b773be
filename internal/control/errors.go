package control

import (
	"context"
	"errors"
	"time"

	"github.com/endivetrack/endivetrack/internal/agreement"
	"github.com/endivetrack/endivetrack/internal/resultcode"
)

// overloadRetryAfter is the retry time returned to callers when too many
// commands are waiting to be proposed.
const overloadRetryAfter = 200 * time.Millisecond

// agreementError converts an error from the replicated log to an error with a
// result code. Its execution is NotRun only if the command was not proposed.
func agreementError(err error) error {
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

// notLeaderError returns the NotLeader error; leader is the leader's address or "".
func notLeaderError(leader string) *resultcode.Error {
	return resultcode.Newf(resultcode.NotLeader, "not the leader; leader at %q", leader)
}

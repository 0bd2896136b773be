package resultcode

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/twitchtv/twirp"
)

// Keys of the Twirp error metadata in which an Error is encoded.
const (
	metaCode       = "code"
	metaExecution  = "execution"
	metaRetryAfter = "retry_after_ms"
)

// ToTwirp encodes err as a Twirp error, which one of the system's processes
// returns to another. nil stays nil.
func ToTwirp(err error) error {
	if err == nil {
		return nil
	}
	e := From(err)
	te := twirp.NewError(twirp.FailedPrecondition, e.Message).
		WithMeta(metaCode, strconv.Itoa(int(e.Code))).
		WithMeta(metaExecution, string(e.Execution))
	if e.RetryAfter > 0 {
		te = te.WithMeta(metaRetryAfter, strconv.FormatInt(e.RetryAfter.Milliseconds(), 10))
	}
	return te
}

// FromTwirp decodes an error that ToTwirp encoded. Transport errors become
// ControlUnavailable with unknown execution, since the call may have been
// carried out. nil and context.Canceled are returned unchanged.
func FromTwirp(err error) error {
	if err == nil || errors.Is(err, context.Canceled) {
		return err
	}
	var te twirp.Error
	if !errors.As(err, &te) || te.Meta(metaCode) == "" {
		return &Error{Code: ControlUnavailable, Execution: Unknown, Message: err.Error()}
	}
	code, convErr := strconv.Atoi(te.Meta(metaCode))
	if convErr != nil {
		return &Error{Code: Internal, Execution: Unknown, Message: te.Msg()}
	}
	e := &Error{Code: Code(code), Execution: Execution(te.Meta(metaExecution)), Message: te.Msg()}
	if ms, convErr := strconv.ParseInt(te.Meta(metaRetryAfter), 10, 64); convErr == nil {
		e.RetryAfter = time.Duration(ms) * time.Millisecond
	}
	return e
}

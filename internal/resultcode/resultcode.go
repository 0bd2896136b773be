// Package resultcode defines the numbered result codes that are returned to
// callers, targets and operators. docs/result-codes.md lists them all.
package resultcode

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Code is the number of a result. Numbers are never reused.
type Code int

// Execution states whether a request ran at a target, as far as is known.
type Execution string

// Values of Execution.
const (
	NotRun  Execution = "not_run" // no byte was sent to a target
	Ran     Execution = "ran"     // a target responded
	Unknown Execution = "unknown" // bytes may have been sent, but no response was received
)

// Request codes (1xxx): the caller's request is invalid.
const (
	BadRequest        Code = 1001
	Unauthenticated   Code = 1002
	Forbidden         Code = 1003
	UnknownModel      Code = 1004
	UnknownService    Code = 1005
	BodyTooLarge      Code = 1006
	KeyRequired       Code = 1007
	KeyReused         Code = 1008
	UnknownGeneration Code = 1009
	BadOffset         Code = 1010
	HeaderTooLarge    Code = 1011
)

// Admission codes (2xxx): the request was refused before it ran.
const (
	AccountRateLimited Code = 2001
	AccountInFlight    Code = 2002
	Overloaded         Code = 2003
	NoTarget           Code = 2004
	DeadlineExceeded   Code = 2005
	NoFreshLease       Code = 2006
	NoOwner            Code = 2007
	Draining           Code = 2008
	RetryBudget        Code = 2009
	ControlUnavailable Code = 2010
	PromptQuarantined  Code = 2011
	RequestQuarantined Code = 2012
	// StreamVersionUnknown and StreamVersionGone: a stream that the caller takes up cannot be
	// continued by the software version that began it.
	StreamVersionUnknown Code = 2013
	StreamVersionGone    Code = 2014
)

// Execution codes (3xxx): the request may have run.
const (
	TargetUnreachable Code = 3001
	GenerationLost    Code = 3002
	OutcomeUnknown    Code = 3003
	TargetFailed      Code = 3004
	StreamCorrupt     Code = 3005
	Cancelled         Code = 3006
	AnswerTooLarge    Code = 3007
)

// Settings codes (4xxx): returned to operators who read or change settings.
const (
	SettingsMalformed  Code = 4001
	SettingsUnknownKey Code = 4002
	SettingsInvalid    Code = 4003
	RevisionConflict   Code = 4004
	ChangeIDReused     Code = 4005
	UnknownTeam        Code = 4006
	NotInForce         Code = 4007
	UnknownQuarantine  Code = 4008
	UnknownStatement   Code = 4009
)

// Announcement codes (5xxx): a target's announcement was refused.
const (
	AnnouncementMalformed Code = 5001
	AnnouncementForbidden Code = 5002
	AnnouncementAddress   Code = 5003
)

// Control group codes (6xxx): returned by control instances.
const (
	NotLeader        Code = 6001
	SessionUnknown   Code = 6002
	MembershipChange Code = 6003
	LogCorrupt       Code = 6004
	DiskFailed       Code = 6005
	MessageMalformed Code = 6006
	IdentityMismatch Code = 6007
	StaleEpoch       Code = 6008
)

// Internal codes (9xxx): faults of the system itself.
const (
	Internal           Code = 9001
	InvariantViolation Code = 9002
)

// Info holds the name of a result code and the HTTP status it is sent with.
type Info struct {
	Name   string
	Status int // HTTP status returned to callers
}

var codeInfos = map[Code]Info{
	BadRequest:            {"BAD_REQUEST", http.StatusBadRequest},
	Unauthenticated:       {"UNAUTHENTICATED", http.StatusUnauthorized},
	Forbidden:             {"FORBIDDEN", http.StatusForbidden},
	UnknownModel:          {"UNKNOWN_MODEL", http.StatusNotFound},
	UnknownService:        {"UNKNOWN_SERVICE", http.StatusNotFound},
	BodyTooLarge:          {"BODY_TOO_LARGE", http.StatusRequestEntityTooLarge},
	KeyRequired:           {"IDEMPOTENCY_KEY_REQUIRED", http.StatusBadRequest},
	KeyReused:             {"IDEMPOTENCY_KEY_REUSED", http.StatusUnprocessableEntity},
	UnknownGeneration:     {"UNKNOWN_GENERATION", http.StatusNotFound},
	BadOffset:             {"BAD_OFFSET", http.StatusRequestedRangeNotSatisfiable},
	HeaderTooLarge:        {"HEADER_TOO_LARGE", http.StatusRequestHeaderFieldsTooLarge},
	AccountRateLimited:    {"ACCOUNT_RATE_LIMITED", http.StatusTooManyRequests},
	AccountInFlight:       {"ACCOUNT_IN_FLIGHT_LIMIT", http.StatusTooManyRequests},
	Overloaded:            {"OVERLOADED", http.StatusServiceUnavailable},
	NoTarget:              {"NO_TARGET", http.StatusServiceUnavailable},
	DeadlineExceeded:      {"DEADLINE_EXCEEDED", http.StatusServiceUnavailable},
	NoFreshLease:          {"NO_FRESH_LEASE", http.StatusServiceUnavailable},
	NoOwner:               {"NO_SHARD_OWNER", http.StatusServiceUnavailable},
	Draining:              {"DRAINING", http.StatusServiceUnavailable},
	RetryBudget:           {"RETRY_BUDGET_SPENT", http.StatusServiceUnavailable},
	ControlUnavailable:    {"CONTROL_UNAVAILABLE", http.StatusServiceUnavailable},
	PromptQuarantined:     {"PROMPT_QUARANTINED", http.StatusServiceUnavailable},
	RequestQuarantined:    {"REQUEST_QUARANTINED", http.StatusServiceUnavailable},
	StreamVersionUnknown:  {"STREAM_VERSION_UNKNOWN", http.StatusServiceUnavailable},
	StreamVersionGone:     {"STREAM_VERSION_GONE", http.StatusServiceUnavailable},
	TargetUnreachable:     {"TARGET_UNREACHABLE", http.StatusBadGateway},
	GenerationLost:        {"GENERATION_LOST", http.StatusBadGateway},
	OutcomeUnknown:        {"OUTCOME_UNKNOWN", http.StatusGatewayTimeout},
	TargetFailed:          {"TARGET_FAILED", http.StatusBadGateway},
	StreamCorrupt:         {"STREAM_CORRUPT", http.StatusBadGateway},
	Cancelled:             {"CANCELLED", 499},
	AnswerTooLarge:        {"ANSWER_TOO_LARGE", http.StatusBadGateway},
	SettingsMalformed:     {"SETTINGS_MALFORMED", http.StatusBadRequest},
	SettingsUnknownKey:    {"SETTINGS_UNKNOWN_KEY", http.StatusBadRequest},
	SettingsInvalid:       {"SETTINGS_INVALID", http.StatusBadRequest},
	RevisionConflict:      {"REVISION_CONFLICT", http.StatusConflict},
	ChangeIDReused:        {"CHANGE_ID_REUSED", http.StatusConflict},
	UnknownTeam:           {"UNKNOWN_TEAM", http.StatusNotFound},
	NotInForce:            {"NOT_IN_FORCE", http.StatusGatewayTimeout},
	UnknownQuarantine:     {"UNKNOWN_QUARANTINE", http.StatusNotFound},
	UnknownStatement:      {"UNKNOWN_STATEMENT", http.StatusNotFound},
	AnnouncementMalformed: {"ANNOUNCEMENT_MALFORMED", http.StatusBadRequest},
	AnnouncementForbidden: {"ANNOUNCEMENT_FORBIDDEN", http.StatusForbidden},
	AnnouncementAddress:   {"ANNOUNCEMENT_ADDRESS", http.StatusBadRequest},
	NotLeader:             {"NOT_LEADER", http.StatusServiceUnavailable},
	SessionUnknown:        {"SESSION_UNKNOWN", http.StatusNotFound},
	MembershipChange:      {"MEMBERSHIP_CHANGE", http.StatusConflict},
	LogCorrupt:            {"LOG_CORRUPT", http.StatusInternalServerError},
	DiskFailed:            {"DISK_FAILED", http.StatusInternalServerError},
	MessageMalformed:      {"MESSAGE_MALFORMED", http.StatusBadRequest},
	IdentityMismatch:      {"IDENTITY_MISMATCH", http.StatusForbidden},
	StaleEpoch:            {"STALE_EPOCH", http.StatusConflict},
	Internal:              {"INTERNAL", http.StatusInternalServerError},
	InvariantViolation:    {"INVARIANT_VIOLATION", http.StatusInternalServerError},
}

// Codes returns a copy of the table of all defined codes.
func Codes() map[Code]Info {
	out := make(map[Code]Info, len(codeInfos))
	for c, i := range codeInfos {
		out[c] = i
	}
	return out
}

// String returns the name of the code, or CODE_<number> for an undefined one.
func (c Code) String() string {
	if i, ok := codeInfos[c]; ok {
		return i.Name
	}
	return fmt.Sprintf("CODE_%d", int(c))
}

// HTTPStatus returns the HTTP status for the code, 500 for an undefined one.
func (c Code) HTTPStatus() int {
	if i, ok := codeInfos[c]; ok {
		return i.Status
	}
	return http.StatusInternalServerError
}

// Error is an error with a result code that also states whether the request
// ran.
type Error struct {
	Code       Code
	Execution  Execution
	Message    string
	RetryAfter time.Duration // delay until the caller should retry; 0: the caller is not told
	Delivered  int           // number of tokens delivered before the stream was lost for good
}

// Error returns the number, the name and the message.
func (e *Error) Error() string {
	return fmt.Sprintf("%d %s: %s", int(e.Code), e.Code, e.Message)
}

// Is reports whether target is an *Error with the same code.
func (e *Error) Is(target error) bool {
	t, ok := target.(*Error)
	return ok && t.Code == e.Code
}

// Newf returns an Error with execution NotRun.
func Newf(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Execution: NotRun, Message: fmt.Sprintf(format, args...)}
}

// WithExecution returns a copy of e with the given execution.
func (e *Error) WithExecution(execution Execution) *Error {
	c := *e
	c.Execution = execution
	return &c
}

// WithRetryAfter returns a copy of e that asks the caller to retry after d.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// From returns the *Error in err's chain. Any other error becomes an Internal
// one with unknown execution; nil stays nil.
func From(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return (&Error{Code: Internal, Message: err.Error()}).WithExecution(Unknown)
}

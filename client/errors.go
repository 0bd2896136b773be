package client

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Execution states whether a request ran at a target, as far as is known.
type Execution string

// Values of Execution.
const (
	NotRun  Execution = "not_run" // no byte was sent to a target
	Ran     Execution = "ran"
	Unknown Execution = "unknown"
)

// Result codes that this package interprets or returns on its own.
// docs/result-codes.md lists all codes.
const (
	CodeUnknownGeneration = 1009
	CodeGenerationLost    = 3002
	CodeOutcomeUnknown    = 3003
	// CodeNoInstance means that no entry instance could be reached. Only this
	// package uses it.
	CodeNoInstance = 0
)

// maxCallerErrorCode is the highest result code for an invalid request, which
// fails again when it is retried.
const maxCallerErrorCode = 1999

const maxErrorBytes = 64 << 10

// Error is a refusal or failure that the system reported or this package
// detected. Functions return it as *Error.
type Error struct {
	Code       int
	Name       string
	Message    string
	Execution  Execution
	RetryAfter time.Duration
	Delivered  int // number of the generation's tokens that were delivered
}

// Error returns the code, the name, the execution and the message.
func (e *Error) Error() string {
	return fmt.Sprintf("%d %s (%s): %s", e.Code, e.Name, e.Execution, e.Message)
}

// Is reports whether target is an *Error with the same code.
func (e *Error) Is(target error) bool {
	t, ok := target.(*Error)
	return ok && t.Code == e.Code
}

// permanent reports whether the request itself is invalid, so that a retry would
// fail too.
func (e *Error) permanent() bool { return e.Code > CodeNoInstance && e.Code <= maxCallerErrorCode }

type errorBody struct {
	Error struct {
		Code         int       `json:"code"`
		Name         string    `json:"name"`
		Message      string    `json:"message"`
		Execution    Execution `json:"execution"`
		RetryAfterMS int64     `json:"retry_after_ms"`
		Delivered    int       `json:"delivered"`
	} `json:"error"`
}

// decodeError decodes the body of an error. If that fails, or the body does not
// state the execution, the execution is Unknown.
func decodeError(text []byte) *Error {
	var b errorBody
	if err := json.Unmarshal(text, &b); err != nil || b.Error.Code == 0 {
		return &Error{Code: CodeOutcomeUnknown, Name: "OUTCOME_UNKNOWN", Message: "the error could not be decoded", Execution: Unknown}
	}
	d := b.Error
	if d.Execution == "" {
		d.Execution = Unknown
	}
	return &Error{
		Code: d.Code, Name: d.Name, Message: d.Message, Execution: d.Execution,
		RetryAfter: time.Duration(d.RetryAfterMS) * time.Millisecond, Delivered: d.Delivered,
	}
}

// systemError returns the error in a response that the system itself generated,
// or nil for a target's response.
func systemError(resp *http.Response) *Error {
	if resp.Header.Get(codeHeader) == "" {
		return nil
	}
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	if err != nil {
		return &Error{Code: CodeOutcomeUnknown, Name: "OUTCOME_UNKNOWN", Message: err.Error(), Execution: Unknown}
	}
	return decodeError(text)
}

// sendError converts the error of a request that got no response. Only a failure
// to connect proves that nothing was sent.
func sendError(err error) *Error {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return &Error{Code: CodeNoInstance, Name: "NO_INSTANCE", Message: err.Error(), Execution: NotRun}
	}
	return &Error{Code: CodeOutcomeUnknown, Name: "OUTCOME_UNKNOWN", Message: err.Error(), Execution: Unknown}
}

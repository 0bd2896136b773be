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

// Execution says what is known about whether a request ran at a target.
type Execution string

// What an error says about the execution of its request.
const (
	NotRun  Execution = "not_run" // surely nothing left for a target
	Ran     Execution = "ran"
	Unknown Execution = "unknown"
)

// Codes that this package decides on. docs/result-codes.md lists all.
const (
	CodeUnknownGeneration = 1009
	CodeGenerationLost    = 3002
	CodeOutcomeUnknown    = 3003
	// CodeNoInstance means that no entry instance could be reached. It is
	// given by this package only.
	CodeNoInstance = 0
)

// lastCallerError is the end of the range of codes for requests that are wrong
// in themselves; sending them again does not help.
const lastCallerError = 1999

const maxErrorBytes = 64 << 10

// Error is a refusal or failure that the system reported, or that this package
// found. It is returned as *Error.
type Error struct {
	Code       int
	Name       string
	Message    string
	Execution  Execution
	RetryAfter time.Duration
	Delivered  int // tokens of a generation that were delivered
}

// Error describes the failure with its number.
func (e *Error) Error() string {
	return fmt.Sprintf("%d %s (%s): %s", e.Code, e.Name, e.Execution, e.Message)
}

// Is matches another Error with the same code.
func (e *Error) Is(target error) bool {
	t, ok := target.(*Error)
	return ok && t.Code == e.Code
}

// permanent reports that the request itself is wrong.
func (e *Error) permanent() bool { return e.Code > CodeNoInstance && e.Code <= lastCallerError }

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

// decodeError reads an error body. A body that does not decode says nothing
// about the execution.
func decodeError(text []byte) *Error {
	var b errorBody
	if err := json.Unmarshal(text, &b); err != nil || b.Error.Code == 0 {
		return &Error{Code: CodeOutcomeUnknown, Name: "OUTCOME_UNKNOWN", Message: "the error does not decode", Execution: Unknown}
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

// refusal returns the system's error of an answer, or nil if the answer is a
// target's own.
func refusal(resp *http.Response) *Error {
	if resp.Header.Get(codeHeader) == "" {
		return nil
	}
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	if err != nil {
		return &Error{Code: CodeOutcomeUnknown, Name: "OUTCOME_UNKNOWN", Message: err.Error(), Execution: Unknown}
	}
	return decodeError(text)
}

// sendError describes a request without an answer. Only a connection that did
// not come up proves that nothing was sent.
func sendError(err error) *Error {
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		return &Error{Code: CodeNoInstance, Name: "NO_INSTANCE", Message: err.Error(), Execution: NotRun}
	}
	return &Error{Code: CodeOutcomeUnknown, Name: "OUTCOME_UNKNOWN", Message: err.Error(), Execution: Unknown}
}

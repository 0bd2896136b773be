// Package reply writes JSON and error responses to callers and targets, and reads
// request bodies of limited size.
package reply

import (
	"encoding/json"
	"errors"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/endivetrack/endivetrack/internal/resultcode"
)

// CodeHeader carries the result code of an error response from the system itself. Since
// headers of targets are not forwarded, it distinguishes such a response from a
// target's.
const CodeHeader = "X-Endivetrack-Code"

// Limits on how long a caller may take to send a body and to accept a response.
const (
	bodyReadTimeout      = 10 * time.Second
	responseWriteTimeout = 10 * time.Second
)

// SetWriteDeadline limits the time in which the caller must accept the response.
// net/http removes the deadline after the request.
func SetWriteDeadline(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(responseWriteTimeout)) // ignore an error: in-memory writers have no deadline
}

// errorBody is the JSON form of an error response.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code         int                  `json:"code"`
	Name         string               `json:"name"`
	Message      string               `json:"message"`
	Execution    resultcode.Execution `json:"execution"`
	RetryAfterMS int64                `json:"retry_after_ms"`
	Delivered    int                  `json:"delivered"`
}

// ErrorJSON returns the JSON body of the error response for err. An err without a result
// code is converted by resultcode.From.
func ErrorJSON(err error) []byte {
	e := resultcode.From(err)
	out, marshalErr := json.Marshal(errorBody{errorDetail{
		Code: int(e.Code), Name: e.Code.String(), Message: e.Message, Execution: e.Execution,
		RetryAfterMS: e.RetryAfter.Milliseconds(), Delivered: e.Delivered,
	}})
	if marshalErr != nil {
		return []byte(`{"error":{"code":9001,"name":"INTERNAL","execution":"unknown"}}`)
	}
	return out
}

// Error writes the error response for err, with the HTTP status of its result code.
func Error(w http.ResponseWriter, err error) {
	e := resultcode.From(err)
	h := w.Header()
	h.Set(CodeHeader, strconv.Itoa(int(e.Code)))
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	Write(w, e.Code.HTTPStatus(), jsonType, ErrorJSON(err))
}

const jsonType = "application/json"

// Write writes a complete response. It always states the length of a body: a response of
// unknown length to an HTTP/1.0 caller ends with its connection, so that one which is cut
// would look complete.
func Write(w http.ResponseWriter, status int, contentType string, body []byte) {
	if contentType != "" {
		w.Header().Set("Content-Type", contentType)
	}
	if len(body) > 0 {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	SetWriteDeadline(w)
	w.WriteHeader(status)
	_, _ = w.Write(body) // ignore an error: the caller may have disconnected
}

// Abort ends the handler and cuts its response, which lacks a part of its length or its
// last chunk then. netconn.ResetIncomplete does the same for responses that have neither.
func Abort() { panic(http.ErrAbortHandler) }

// JSON writes v as a JSON response with status 200, or an error response if v cannot be
// encoded.
func JSON(w http.ResponseWriter, v any) {
	out, err := json.Marshal(v)
	if err != nil {
		Error(w, resultcode.Newf(resultcode.Internal, "encode response: %v", err))
		return
	}
	Write(w, http.StatusOK, jsonType, out)
}

// ReadBody reads a request body within bodyReadTimeout. A body of more than limit bytes
// fails with BodyTooLarge, any other error with BadRequest.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(bodyReadTimeout)) // ignore an error: in-memory writers have no deadline
	defer func() { _ = control.SetReadDeadline(time.Time{}) }()
	out, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, resultcode.Newf(resultcode.BodyTooLarge, "the body exceeds %d bytes", limit)
	}
	if err != nil {
		return nil, resultcode.Newf(resultcode.BadRequest, "read body: %v", err)
	}
	return out, nil
}

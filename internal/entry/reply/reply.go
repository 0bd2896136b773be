// Package reply writes error answers to callers and targets and reads bounded
// request bodies.
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

// CodeHeader carries the result code of an answer that the system itself gave.
// Headers of targets are not passed on, so it tells such an answer from a
// target's own.
const CodeHeader = "X-Endivetrack-Code"

// Bounds on how long a caller may take to send a body and to accept an answer.
const (
	bodyReadTimeout    = 10 * time.Second
	answerWriteTimeout = 10 * time.Second
)

// LimitWrite bounds the time in which the caller must accept an answer. net/http
// removes the bound after the request.
func LimitWrite(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(answerWriteTimeout)) // not supported by in-memory writers
}

// body is the JSON form of an error.
type body struct {
	Error detail `json:"error"`
}

type detail struct {
	Code         int                  `json:"code"`
	Name         string               `json:"name"`
	Message      string               `json:"message"`
	Execution    resultcode.Execution `json:"execution"`
	RetryAfterMS int64                `json:"retry_after_ms"`
	Delivered    int                  `json:"delivered"`
}

// ErrorJSON returns the error body for err.
func ErrorJSON(err error) []byte {
	e := resultcode.From(err)
	out, marshalErr := json.Marshal(body{detail{
		Code: int(e.Code), Name: e.Code.String(), Message: e.Message, Execution: e.Execution,
		RetryAfterMS: e.RetryAfter.Milliseconds(), Delivered: e.Delivered,
	}})
	if marshalErr != nil {
		return []byte(`{"error":{"code":9001,"name":"INTERNAL","execution":"unknown"}}`)
	}
	return out
}

// Error answers with err's status and body.
func Error(w http.ResponseWriter, err error) {
	e := resultcode.From(err)
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(CodeHeader, strconv.Itoa(int(e.Code)))
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	LimitWrite(w)
	w.WriteHeader(e.Code.HTTPStatus())
	_, _ = w.Write(ErrorJSON(err)) // a caller that is gone cannot be told
}

// JSON answers 200 with v.
func JSON(w http.ResponseWriter, v any) {
	out, err := json.Marshal(v)
	if err != nil {
		Error(w, resultcode.Newf(resultcode.Internal, "encode answer: %v", err))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	LimitWrite(w)
	_, _ = w.Write(out) // a caller that is gone cannot be told
}

// ReadBody reads a request body of at most limit bytes in bounded time.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(bodyReadTimeout)) // not supported by in-memory writers
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

// Package loadgen is an open-loop load generator. It sends generations, reads and
// protected writes (calls with an idempotency key) to a deployment on a seeded
// schedule that does not wait for responses. It checks that every response is
// complete and belongs to its request, and measures the latencies that callers see.
package loadgen

import (
	"context"
	"fmt"
	"time"
)

// GenerateRequest is a caller's request for one generation.
type GenerateRequest struct {
	Model, Class, Prompt string
	MaxTokens            int
}

// GenerationResult is the outcome of a generation as its caller saw it.
type GenerationResult struct {
	ID       string // id of the generation whose tokens were delivered
	Finish   string // finish reason of the generation; empty unless the stream was complete
	Err      error  // a *CallError if the system responded with an error
	Cuts     int    // number of connections that broke or went silent during the stream
	Attempts int    // number of attempts to start the generation
}

// CallRequest is one call to a plain service.
type CallRequest struct {
	Method, Service, Path, IdempotencyKey string
	Body                                  []byte
}

// CallResponse is the response to a call and the number of attempts that it took.
type CallResponse struct {
	Status   int
	Body     []byte
	Replayed bool
	Attempts int
}

// CallError is an error response of the system to a generation or call
// (docs/callers.md).
type CallError struct {
	Code       int    `json:"code"`
	Name       string `json:"name"`
	Message    string `json:"message"`
	Execution  string `json:"execution"`
	RetryAfter int64  `json:"retry_after_ms"`
	Delivered  int    `json:"delivered"`
}

// Error returns the code, name, execution state and message of the error response.
func (e *CallError) Error() string {
	return fmt.Sprintf("%d %s (%s): %s", e.Code, e.Name, e.Execution, e.Message)
}

func (e *CallError) retryAfter() time.Duration { return time.Duration(e.RetryAfter) * time.Millisecond }

// Caller sends requests of one client account from one location. Generate calls
// onToken for every token that arrives, with the token's offset and the id of its
// generation.
type Caller interface {
	Generate(ctx context.Context, r GenerateRequest, onToken func(id string, offset int, text string)) GenerationResult
	Call(ctx context.Context, r CallRequest) (CallResponse, error)
}

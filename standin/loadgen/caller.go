// Package loadgen is an open-loop caller: it sends the generations, reads and
// protected writes of a deployment on a seeded schedule that does not wait for
// answers, checks every answer for wholeness and measures what callers feel.
package loadgen

import (
	"context"
	"fmt"
	"time"
)

// GenerateRequest is one generation that a caller asks for.
type GenerateRequest struct {
	Model, Class, Prompt string
	MaxTokens            int
}

// Generation is how a generation ended for its caller.
type Generation struct {
	ID     string // id of the generation whose tokens were delivered
	Finish string // finish reason; empty unless the stream ended as it should
	Err    error  // a *CallError when the system answered
	Cuts   int    // connections that broke or went silent inside the stream
	Sends  int    // attempts to start it
}

// CallRequest is one call of a plain service.
type CallRequest struct {
	Method, Service, Path, IdempotencyKey string
	Body                                  []byte
}

// CallAnswer is the answer to a call.
type CallAnswer struct {
	Status   int
	Body     []byte
	Replayed bool
	Sends    int
}

// CallError is an error answer of the system (docs/callers.md).
type CallError struct {
	Code       int    `json:"code"`
	Name       string `json:"name"`
	Message    string `json:"message"`
	Execution  string `json:"execution"`
	RetryAfter int64  `json:"retry_after_ms"`
	Delivered  int    `json:"delivered"`
}

// Error returns the code, name and message.
func (e *CallError) Error() string {
	return fmt.Sprintf("%d %s (%s): %s", e.Code, e.Name, e.Execution, e.Message)
}

func (e *CallError) retryAfter() time.Duration { return time.Duration(e.RetryAfter) * time.Millisecond }

// Caller is one client account at one place. onToken sees every token that
// arrives, with its offset and the id of its generation.
type Caller interface {
	Generate(ctx context.Context, r GenerateRequest, onToken func(id string, offset int, text string)) Generation
	Call(ctx context.Context, r CallRequest) (CallAnswer, error)
}

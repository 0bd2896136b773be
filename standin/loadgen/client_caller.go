package loadgen

import (
	"context"
	"errors"
	"io"

	"github.com/endivetrack/endivetrack/client"
)

// ClientCaller is a Caller that uses the client package. That package resumes streams
// by itself, so GenerationResult.Cuts stays 0. The resumes are counted in the
// engines' records.
type ClientCaller struct {
	client *client.Client
}

// NewClientCaller returns a caller at a location. seeds are the entry instances that it
// initially queries for addresses; key is sent as bearer token.
func NewClientCaller(seeds []string, region, failureDomain, key string) (*ClientCaller, error) {
	c, err := client.New(client.Config{
		Entries: seeds, Region: region, FailureDomain: failureDomain, Key: key, Attempts: maxAttempts,
	})
	return &ClientCaller{c}, err
}

// Close closes idle connections.
func (c *ClientCaller) Close() { c.client.Close() }

// Generate streams a generation. Its result always reports one attempt: the client
// package does not report its retries.
func (c *ClientCaller) Generate(ctx context.Context, r GenerateRequest, onToken func(string, int, string)) GenerationResult {
	s, err := c.client.Generate(ctx, client.Generation{
		Model: r.Model, Class: r.Class, MaxTokens: r.MaxTokens,
		Messages: []client.Message{{Role: "user", Content: r.Prompt}},
	})
	if err != nil {
		return GenerationResult{Err: convertError(err), Attempts: 1}
	}
	defer s.Close()
	for {
		token, err := s.Next()
		if errors.Is(err, io.EOF) {
			return GenerationResult{ID: s.ID(), Finish: s.FinishReason(), Attempts: 1}
		}
		if err != nil {
			return GenerationResult{ID: s.ID(), Err: convertError(err), Attempts: 1}
		}
		onToken(s.ID(), token.Offset, token.Text)
	}
}

// Call calls a plain service. Its response always reports one attempt: the client
// package does not report its retries.
func (c *ClientCaller) Call(ctx context.Context, r CallRequest) (CallResponse, error) {
	a, err := c.client.Call(ctx, client.Call{
		Service: r.Service, Method: r.Method, Path: r.Path, Body: r.Body,
		ContentType: "application/json", IdempotencyKey: r.IdempotencyKey,
	})
	if err != nil {
		return CallResponse{Attempts: 1}, convertError(err)
	}
	return CallResponse{Status: a.Status, Body: a.Body, Replayed: a.Replayed, Attempts: 1}, nil
}

// convertError returns a *CallError for an error response of the system. Other
// errors, such as broken connections, stay as they are.
func convertError(err error) error {
	var e *client.Error
	if !errors.As(err, &e) || e.Code == client.CodeNoInstance {
		return err
	}
	return &CallError{
		Code: e.Code, Name: e.Name, Message: e.Message, Execution: string(e.Execution),
		RetryAfter: e.RetryAfter.Milliseconds(), Delivered: e.Delivered,
	}
}

var (
	_ Caller = (*ClientCaller)(nil)
	_ Caller = (*DirectCaller)(nil)
)

package loadgen

import (
	"context"
	"errors"
	"io"

	"github.com/endivetrack/endivetrack/client"
)

// Product is a Caller over the client package. That package resumes streams by
// itself, so Generation.Cuts stays 0; the engines' records count its resumes.
type Product struct {
	client *client.Client
}

// NewProduct returns a caller at a place.
func NewProduct(seeds []string, region, failureDomain, key string) (*Product, error) {
	c, err := client.New(client.Config{
		Entries: seeds, Region: region, FailureDomain: failureDomain, Key: key, Attempts: maxSends,
	})
	return &Product{c}, err
}

// Close closes idle connections.
func (p *Product) Close() { p.client.Close() }

// Generate streams a generation.
func (p *Product) Generate(ctx context.Context, r GenerateRequest, onToken func(string, int, string)) Generation {
	s, err := p.client.Generate(ctx, client.Generation{
		Model: r.Model, Class: r.Class, MaxTokens: r.MaxTokens,
		Messages: []client.Message{{Role: "user", Content: r.Prompt}},
	})
	if err != nil {
		return Generation{Err: convert(err), Sends: 1}
	}
	defer s.Close()
	for {
		token, err := s.Next()
		if errors.Is(err, io.EOF) {
			return Generation{ID: s.ID(), Finish: s.FinishReason(), Sends: 1}
		}
		if err != nil {
			return Generation{ID: s.ID(), Err: convert(err), Sends: 1}
		}
		onToken(s.ID(), token.Offset, token.Text)
	}
}

// Call calls a plain service.
func (p *Product) Call(ctx context.Context, r CallRequest) (CallAnswer, error) {
	a, err := p.client.Call(ctx, client.Call{
		Service: r.Service, Method: r.Method, Path: r.Path, Body: r.Body,
		ContentType: "application/json", IdempotencyKey: r.IdempotencyKey,
	})
	if err != nil {
		return CallAnswer{Sends: 1}, convert(err)
	}
	return CallAnswer{Status: a.Status, Body: a.Body, Replayed: a.Replayed, Sends: 1}, nil
}

// convert keeps the distinction between answers of the system and connections
// that broke.
func convert(err error) error {
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
	_ Caller = (*Product)(nil)
	_ Caller = (*Direct)(nil)
)

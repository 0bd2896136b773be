// Package classify validates requests and derives the properties by which they
// are admitted: service, class, token estimates and prompt prefix hashes.
package classify

import (
	"bytes"
	"encoding/json"

	"github.com/cespare/xxhash/v2"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/entry/access"
	"github.com/endivetrack/endivetrack/internal/resultcode"
	"github.com/endivetrack/endivetrack/internal/settings"
)

// Units in which prompts are hashed and measured, as defined in docs/targets.md.
const (
	prefixBlockBytes = 64
	bytesPerToken    = 4
	// maxPrefixHashes is the maximum number of hashes sent with a request. It
	// covers the first 4 KiB of the prompt.
	maxPrefixHashes = 64
)

// Generation is a validated generation request.
type Generation struct {
	Service string
	Class   settings.Class
	Request *api.RequestClass
	Stream  bool
	// Body is the request body for the engine, with streaming on, max_tokens
	// within the class's limit, and the class's priority.
	Body []byte
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type chatRequest struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens *int          `json:"max_tokens"`
	Stream    bool          `json:"stream"`
}

// ResolveClass returns the name and the settings of a request's class: the named class
// or, if named is empty, the account's default.
func ResolveClass(id *access.Identity, named string) (string, settings.Class, error) {
	if named == "" {
		named = id.Account.DefaultClass
	}
	class, ok := id.Team.Classes[named]
	if !ok {
		return "", settings.Class{}, resultcode.Newf(resultcode.BadRequest, "class %q does not exist", named)
	}
	return named, class, nil
}

// ParseGeneration validates and classifies the body of a generation request. An
// empty className selects the account's default class.
func ParseGeneration(id *access.Identity, className string, body []byte) (*Generation, error) {
	var req chatRequest
	if err := json.Unmarshal(body, &req); err != nil {
		return nil, resultcode.Newf(resultcode.BadRequest, "the body does not decode: %v", err)
	}
	if req.MaxTokens != nil && *req.MaxTokens < 1 {
		return nil, resultcode.Newf(resultcode.BadRequest, "max_tokens must be at least 1")
	}
	if len(req.Messages) == 0 {
		return nil, resultcode.Newf(resultcode.BadRequest, "messages must not be empty")
	}
	service, ok := id.Team.ServiceForModel(req.Model)
	if !ok {
		return nil, resultcode.Newf(resultcode.UnknownModel, "no service serves model %q", req.Model)
	}
	if !id.MayCall(service) {
		return nil, resultcode.Newf(resultcode.Forbidden, "account %q may not call service %q", id.AccountName, service)
	}
	if limit := id.Team.Services[service].MaxBodyBytes; int64(len(body)) > limit {
		return nil, resultcode.Newf(resultcode.BodyTooLarge, "the body exceeds %d bytes", limit)
	}
	name, class, err := ResolveClass(id, className)
	if err != nil {
		return nil, err
	}
	maxTokens := class.MaxTokens
	if req.MaxTokens != nil {
		maxTokens = min(maxTokens, *req.MaxTokens)
	}
	prompt := promptText(req.Messages)
	engineBody, err := engineBody(body, maxTokens, class.Priority)
	if err != nil {
		return nil, err
	}
	return &Generation{
		Service: service, Class: class, Stream: req.Stream, Body: engineBody,
		Request: &api.RequestClass{
			Account: id.AccountName, Model: req.Model, Class: name,
			PromptTokens: PromptTokens(len(prompt)), MaxTokens: uint32(maxTokens),
			PrefixHashes: PrefixHashes(prompt),
		},
	}, nil
}

// promptText joins the contents of all messages with line feeds. Content that is
// not a JSON string is included as raw JSON.
func promptText(messages []chatMessage) []byte {
	var out bytes.Buffer
	for i, m := range messages {
		if i > 0 {
			out.WriteByte('\n')
		}
		var text string
		if json.Unmarshal(m.Content, &text) == nil {
			out.WriteString(text)
		} else {
			out.Write(m.Content)
		}
	}
	return out.Bytes()
}

// PromptTokens returns the estimated number of tokens in a prompt of n bytes.
func PromptTokens(n int) uint32 { return uint32((n + bytesPerToken - 1) / bytesPerToken) }

// PrefixHashes returns the hashes of the prompt's first 1, 2, ... blocks. An
// incomplete last block is left out.
func PrefixHashes(prompt []byte) []uint64 {
	blocks := min(len(prompt)/prefixBlockBytes, maxPrefixHashes)
	out := make([]uint64, 0, blocks)
	digest := xxhash.New()
	for i := range blocks {
		_, _ = digest.Write(prompt[i*prefixBlockBytes : (i+1)*prefixBlockBytes]) // a digest's Write never fails
		out = append(out, digest.Sum64())
	}
	return out
}

// engineBody returns the request body with stream, max_tokens and priority
// replaced, and all other fields unchanged.
func engineBody(body []byte, maxTokens, priority int) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, resultcode.Newf(resultcode.BadRequest, "the body does not decode: %v", err)
	}
	for key, value := range map[string]any{"stream": true, "max_tokens": maxTokens, "priority": priority} {
		text, err := json.Marshal(value)
		if err != nil {
			return nil, resultcode.Newf(resultcode.Internal, "encode %s: %v", key, err)
		}
		fields[key] = text
	}
	out, err := json.Marshal(fields)
	if err != nil {
		return nil, resultcode.Newf(resultcode.Internal, "encode body: %v", err)
	}
	return out, nil
}

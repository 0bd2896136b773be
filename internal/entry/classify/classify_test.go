package classify

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"github.com/endivetrack/endivetrack/internal/entry/access"
	"github.com/endivetrack/endivetrack/internal/resultcode"
	"github.com/endivetrack/endivetrack/internal/settings"
)

func newIdentity() *access.Identity {
	t := &settings.Team{
		Services: map[string]settings.Service{"llm": {Kind: settings.KindEngine, Models: []string{"m"}, MaxBodyBytes: 1 << 20}},
		Classes:  map[string]settings.Class{"normal": {Priority: 5, MaxTokens: 100}, "short": {Priority: 8, MaxTokens: 10}},
	}
	return &access.Identity{Team: t, Account: settings.ClientAccount{DefaultClass: "normal"}, AccountName: "one"}
}

// Checks the prefix hashes and token estimates defined in docs/targets.md. Shard owners
// compare the hashes with those that targets report in cache events, so hashes that are
// computed differently would never match.
func TestPrefixHashesAndTokens(t *testing.T) {
	text := strings.Repeat("abcdefgh", 17) // 136 bytes of prompt: two complete blocks
	body := `{"model":"m","messages":[{"role":"system","content":"` + text[:100] + `"},{"role":"user","content":"` + text[100:] + `"}]}`
	g, err := ParseGeneration(newIdentity(), "", []byte(body))
	assert.NilError(t, err)
	prompt := text[:100] + "\n" + text[100:]
	assert.DeepEqual(t, g.Request.GetPrefixHashes(), []uint64{xxhash.Sum64String(prompt[:64]), xxhash.Sum64String(prompt[:128])})
	assert.Equal(t, g.Request.GetPromptTokens(), uint32(35)) // the prompt's 137 bytes at 4 bytes per token, rounded up
	assert.Equal(t, len(PrefixHashes(make([]byte, 1<<20))), maxPrefixHashes)
	assert.Equal(t, PromptTokens(0), uint32(0))
}

// Checks the body sent to engines: stream, max_tokens and priority are set, and
// nothing else is changed.
func TestEngineBody(t *testing.T) {
	g, err := ParseGeneration(newIdentity(), "short", []byte(`{"model":"m","stream":false,"max_tokens":50,"priority":9,"temperature":0.25,"messages":[{"role":"user","content":"x"}]}`))
	assert.NilError(t, err)
	var body map[string]any
	assert.NilError(t, json.Unmarshal(g.Body, &body))
	assert.DeepEqual(t, body, map[string]any{
		"model": "m", "stream": true, "max_tokens": 10.0, "priority": 8.0, "temperature": 0.25,
		"messages": []any{map[string]any{"role": "user", "content": "x"}},
	})
	assert.Equal(t, g.Stream, false)
	assert.Equal(t, g.Request.GetMaxTokens(), uint32(10))
	assert.Equal(t, g.Request.GetClass(), "short")
}

// Checks the result codes of invalid requests.
func TestInvalidRequests(t *testing.T) {
	for body, code := range map[string]resultcode.Code{
		``:                             resultcode.BadRequest,
		`[]`:                           resultcode.BadRequest,
		`{"model":"m","messages":[]}`:  resultcode.BadRequest,
		`{"model":"m","messages":"x"}`: resultcode.BadRequest,
		`{"model":"x","messages":[{"role":"user","content":"x"}]}`:                   resultcode.UnknownModel,
		`{"model":"m","max_tokens":-1,"messages":[{"role":"user","content":"x"}]}`:   resultcode.BadRequest,
		`{"model":"m","max_tokens":1e99,"messages":[{"role":"user","content":"x"}]}`: resultcode.BadRequest,
	} {
		_, err := ParseGeneration(newIdentity(), "", []byte(body))
		assert.Equal(t, resultcode.From(err).Code, code, body)
	}
	_, err := ParseGeneration(newIdentity(), "none", []byte(`{"model":"m","messages":[{"role":"user","content":"x"}]}`))
	assert.Equal(t, resultcode.From(err).Code, resultcode.BadRequest)
}

// Guards against panics, and against an engine body that does not stream or
// exceeds the class's token limit, for example because a field name is written in
// another case.
func FuzzParseGeneration(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"x"}]}`))
	f.Add([]byte(`{"model":"m","max_tokens":5,"Stream":false,"messages":[{"content":[{"type":"text"}]}]}`))
	f.Add([]byte(`{"model":"m","MAX_TOKENS":5000,"messages":[{}]}`))
	id := newIdentity()
	f.Fuzz(func(t *testing.T, in []byte) {
		g, err := ParseGeneration(id, "", in)
		if err != nil {
			return
		}
		var sent struct {
			Stream    bool `json:"stream"`
			MaxTokens int  `json:"max_tokens"`
			Priority  int  `json:"priority"`
		}
		assert.NilError(t, json.Unmarshal(g.Body, &sent))
		assert.Assert(t, sent.Stream && sent.MaxTokens >= 1 && sent.MaxTokens <= 100 && sent.Priority == 5, string(g.Body))
	})
}

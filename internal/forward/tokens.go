package forward

import (
	"strconv"
	"strings"
)

// tokenUse is the memory that a request needs at an engine, in tokens.
type tokenUse struct {
	prompt int
	most   int // of output
	hint   int // the caller's estimate of the output; 0: none
}

// parseTokens reads "PROMPT,MOST" and the caller's estimate. Values that do
// not parse count as absent: the target decides whether they are acceptable.
func parseTokens(use, hint string) tokenUse {
	var t tokenUse
	prompt, most, _ := strings.Cut(use, ",")
	t.prompt = positive(prompt)
	t.most = positive(most)
	t.hint = positive(hint)
	return t
}

// maxTokens bounds a token count; no engine holds as many.
const maxTokens = 1 << 30

func positive(s string) int {
	n, err := strconv.Atoi(strings.TrimSpace(s))
	if err != nil || n < 0 {
		return 0
	}
	return min(n, maxTokens)
}

// expected is the memory the request is expected to need at its end.
func (t tokenUse) expected() int {
	out := t.hint
	if out == 0 {
		out = t.most / 2
	}
	if t.most > 0 {
		out = min(out, t.most)
	}
	return t.prompt + out
}

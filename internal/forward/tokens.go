package forward

import (
	"strconv"
	"strings"
)

// tokenUse describes the engine memory that a request needs, in tokens.
type tokenUse struct {
	prompt     int
	maxOutput  int // largest number of output tokens; 0 if unknown
	outputHint int // caller's estimate of the output tokens; 0 if there is none
}

// parseTokens parses usage, "PROMPT,MAX_OUTPUT", and the caller's estimate of the
// output. Invalid values count as absent: the target decides whether to accept
// them.
func parseTokens(usage, hint string) tokenUse {
	var t tokenUse
	prompt, maxOutput, _ := strings.Cut(usage, ",")
	t.prompt = parseCount(prompt)
	t.maxOutput = parseCount(maxOutput)
	t.outputHint = parseCount(hint)
	return t
}

// maxTokens bounds a parsed token count. It exceeds the memory of any engine.
const maxTokens = 1 << 30

func parseCount(s string) int {
	n, err := strconv.Atoi(strings.TrimSpace(s))
	if err != nil || n < 0 {
		return 0
	}
	return min(n, maxTokens)
}

// expectedAtEnd returns the memory that the request is expected to need at its
// end: the prompt and the estimated output, or half the maximum without an
// estimate.
func (t tokenUse) expectedAtEnd() int {
	out := t.outputHint
	if out == 0 {
		out = t.maxOutput / 2
	}
	if t.maxOutput > 0 {
		out = min(out, t.maxOutput)
	}
	return t.prompt + out
}

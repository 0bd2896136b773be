// Package expected computes the output of a stand-in engine for a prompt. The
// output length derives from a hash of the prompt, so the system under test cannot
// predict it, while a check can compute the complete text again.
package expected

import (
	"fmt"
	"math"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// ShortMarker in a prompt selects ShortLengths instead of LongLengths.
const ShortMarker = "[class=short]"

// blockBytes is the size of a prompt prefix block (docs/targets.md).
const blockBytes = 64

// LengthDistribution is a log-normal distribution of output lengths with a Pareto
// tail.
type LengthDistribution struct {
	Median    float64 // median of the log-normal part, in tokens
	Sigma     float64 // standard deviation of the logarithm of the length in the log-normal part
	TailShare float64 // share of outputs drawn from the tail
	TailStart float64 // smallest output length in the tail, in tokens
	TailAlpha float64 // exponent of the tail; below 2 the variance is infinite
}

// Output lengths of the two kinds of requests in the example deployments.
var (
	ShortLengths = LengthDistribution{Median: 8, Sigma: 0.6, TailShare: 0, TailStart: 1, TailAlpha: 1}
	LongLengths  = LengthDistribution{Median: 180, Sigma: 0.9, TailShare: 0.08, TailStart: 600, TailAlpha: 1.3}
)

// Plan is the output that an engine generates for one prompt.
type Plan struct {
	Length int    // number of tokens in the output
	Finish string // finish reason: "stop" or "length"
	seed   uint64
}

// Output returns the output for a prompt, limited to maxTokens; 0 means no limit.
func Output(prompt string, maxTokens int) Plan {
	seed := xxhash.Sum64String(prompt)
	lengths := LongLengths
	if strings.Contains(prompt, ShortMarker) {
		lengths = ShortLengths
	}
	p := Plan{Length: lengths.sample(seed), Finish: "stop", seed: seed}
	if maxTokens > 0 && p.Length > maxTokens {
		p.Length, p.Finish = maxTokens, "length"
	}
	return p
}

// sample draws an output length, in tokens, that depends only on l and seed.
func (l LengthDistribution) sample(seed uint64) int {
	tail, u, v := uniform(seed, 1), uniform(seed, 2), uniform(seed, 3)
	if tail < l.TailShare {
		return int(math.Ceil(l.TailStart * math.Pow(u, -1/l.TailAlpha)))
	}
	normal := math.Sqrt(-2*math.Log(u)) * math.Cos(2*math.Pi*v)
	return max(1, int(math.Round(l.Median*math.Exp(l.Sigma*normal))))
}

// uniform returns a value in (0, 1) that depends only on its arguments.
func uniform(seed, stream uint64) float64 {
	return (float64(mix(seed, stream)>>11) + 0.5) / (1 << 53)
}

// mix hashes both values with the finalizer of splitmix64.
func mix(a, b uint64) uint64 {
	z := a + (b+1)*0x9e3779b97f4a7c15
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// Token returns the text of token n. It contains a checksum of the prompt and n,
// so tokens of other generations or positions differ.
func (p Plan) Token(n int) string {
	return fmt.Sprintf("tok-%d-%04x ", n, uint16(mix(p.seed, uint64(n)+16)))
}

// Text returns the text of the tokens [from, Length) as one string.
func (p Plan) Text(from int) string {
	var b strings.Builder
	for n := from; n < p.Length; n++ {
		b.WriteString(p.Token(n))
	}
	return b.String()
}

// PromptTokens estimates the number of tokens of a prompt at 4 bytes per token.
func PromptTokens(prompt string) int { return (len(prompt) + 3) / 4 }

// PrefixHashes returns the hash of every prefix that consists of complete blocks,
// shortest prefix first.
func PrefixHashes(prompt string) []uint64 {
	out := make([]uint64, 0, len(prompt)/blockBytes)
	d := xxhash.New()
	for end := blockBytes; end <= len(prompt); end += blockBytes {
		_, _ = d.WriteString(prompt[end-blockBytes : end])
		out = append(out, d.Sum64())
	}
	return out
}

// BlockTokens is the estimated number of tokens in one prefix block.
const BlockTokens = blockBytes / 4

package engine

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"

	"github.com/endivetrack/endivetrack/standin/expected"
)

// maxTokensBeforeBreak limits how many tokens a stream sends before it breaks its protocol.
const maxTokensBeforeBreak = 16

// violation writes bytes that break the protocol of a generation's stream at a token.
type violation func(w http.ResponseWriter, g *generation, model string, offset int)

// violations are the ways in which a stream breaks its protocol. None of them can be taken
// for the end of the generation.
var violations = []violation{
	func(w http.ResponseWriter, _ *generation, _ string, _ int) {
		_, _ = fmt.Fprint(w, "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 4\r\n\r\noops\r\n\r\n")
	},
	func(w http.ResponseWriter, g *generation, model string, offset int) { // two results in one event
		data := chunkData(g.seq.id, model, "a", "") + chunkData(g.seq.id, model, "b", "")
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", offset, data)
	},
	func(w http.ResponseWriter, g *generation, model string, offset int) { // an event that ends within its data
		data := strings.Replace(chunkData(g.seq.id, model, "a", ""), `,"model"`, ",\ndata:\ndata:\"model\"", 1)
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", offset, data)
	},
	func(w http.ResponseWriter, _ *generation, model string, offset int) { // another generation
		writeChunk(w, "g1.s.t.other", model, offset, "other", "")
	},
	func(w http.ResponseWriter, g *generation, model string, offset int) { // a gap
		writeChunk(w, g.seq.id, model, offset+1, g.seq.plan.Token(offset+1), "")
	},
	func(w http.ResponseWriter, g *generation, model string, offset int) { // its tokens once more
		for i := max(0, offset-maxTokensBeforeBreak); i < offset; i++ {
			writeChunk(w, g.seq.id, model, i, g.seq.plan.Token(i), "")
		}
	},
	func(w http.ResponseWriter, g *generation, model string, offset int) { // a second run
		writeChunk(w, g.seq.id, model, offset-1, "other", "")
		writeChunk(w, g.seq.id, model, offset, "other", "")
	},
	func(w http.ResponseWriter, g *generation, model string, offset int) { // an end that counts other tokens
		writeChunk(w, g.seq.id, model, offset-1, "", "stop")
	},
	func(w http.ResponseWriter, g *generation, model string, offset int) { // the end of an aborted generation
		writeChunk(w, g.seq.id, model, offset, "", "abort")
	},
	func(w http.ResponseWriter, _ *generation, _ string, _ int) { _, _ = fmt.Fprint(w, "data: [DONE]\n\n") },
}

// WriteBroken writes the first tokens of a stream, which then breaks its protocol in the nth
// way. It returns false if there are not so many ways.
func WriteBroken(w http.ResponseWriter, n int, id string, tokens int) bool {
	if n >= len(violations) {
		return false
	}
	g := &generation{seq: &sequence{id: id, plan: expected.Output("a prompt", 10*tokens)}}
	for offset := range tokens {
		writeChunk(w, id, "m", offset, g.seq.plan.Token(offset), "")
	}
	violations[n](w, g, "m", tokens)
	return true
}

// drawBreak returns the offset at which a stream that starts at offset breaks its protocol,
// or -1 if it keeps to it.
func (e *Engine) drawBreak(offset int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.breakShare == 0 || e.breakRNG.Float64() >= e.breakShare {
		return -1
	}
	e.record.BrokenStreams++
	return offset + 1 + e.breakRNG.IntN(maxTokensBeforeBreak)
}

// breakStream writes a violation and ends the response, at times as if it were complete.
func (e *Engine) breakStream(w http.ResponseWriter, g *generation, model string, offset int) {
	e.mu.Lock()
	write, endProperly := violations[e.breakRNG.IntN(len(violations))], e.breakRNG.IntN(2) == 0
	e.mu.Unlock()
	write(w, g, model, offset)
	if !endProperly {
		panic(http.ErrAbortHandler)
	}
}

func newBreakRNG(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 0xb4ea)) }

package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/endivetrack/endivetrack/standin/netfault"
)

const maxBodyBytes = 16 << 20

// chatRequest holds the fields of a chat completion request that the engine uses.
type chatRequest struct {
	Model    string `json:"model"`
	Messages []struct {
		Content string `json:"content"`
	} `json:"messages"`
	MaxTokens int  `json:"max_tokens"`
	Stream    bool `json:"stream"`
	Priority  int  `json:"priority"`
}

// prompt returns the concatenated contents of the messages, from which prefix
// hashes and the output length are derived.
func (r chatRequest) prompt() string {
	var b strings.Builder
	for _, m := range r.Messages {
		b.WriteString(m.Content)
	}
	return b.String()
}

// Faults is the body of POST /standin/faults. Absent fields change nothing.
type Faults struct {
	TurnCold       bool     `json:"turn_cold"`
	Swallow        bool     `json:"swallow"` // inject a fault: open connections stay open but carry no more data
	Die            bool     `json:"die"`
	DelayMS        *float64 `json:"delay_ms"`         // delay before each write of a stream, in milliseconds
	DropCacheShare *float64 `json:"drop_cache_share"` // share of cache events that are dropped
	StepFactor     *float64 `json:"step_factor"`      // factor on every step's duration
	FailShare      *float64 `json:"fail_share"`       // share of sequences that fail in each step
	StopAnnouncing *bool    `json:"stop_announcing"`
	BreakShare     *float64 `json:"break_share"` // share of streams that break the protocol and end
}

// Handler serves the engine and its test-only endpoints. listener may be nil; it
// is needed for the fault "swallow".
func (e *Engine) Handler(listener *netfault.Listener) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.serveGenerate)
	mux.HandleFunc("GET /v1/generations/{id}", e.serveResume)
	mux.HandleFunc("DELETE /v1/generations/{id}", func(w http.ResponseWriter, r *http.Request) {
		e.cancelGeneration(r.PathValue("id"))
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("POST /v1/orders", e.serveOrder)
	mux.HandleFunc("GET /v1/state", e.serveState)
	mux.HandleFunc("GET /standin/record", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Snapshot()) })
	mux.HandleFunc("POST /standin/faults", func(w http.ResponseWriter, r *http.Request) { e.serveFaults(w, r, listener) })
	return mux
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// decodeBody reads the JSON body into v. On failure it responds with status 400 and
// returns false.
func decodeBody(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func (e *Engine) serveGenerate(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	var req chatRequest
	if !decodeBody(w, r, &req) {
		return
	}
	if id == "" || !req.Stream || req.Priority < 0 || req.Priority > 9 {
		http.Error(w, "X-Request-Id, stream and a priority from 0 to 9 are required", http.StatusBadRequest)
		return
	}
	if isTooLate(r, time.Now()) {
		w.Header().Set("X-Not-Run", "true")
		http.Error(w, "the time until which the generation may start has passed", http.StatusServiceUnavailable)
		return
	}
	g, result := e.acceptGeneration(id, req.prompt(), req.Priority, req.MaxTokens, netfault.ArrivedAt(r))
	switch result {
	case refusedDuplicate:
		http.Error(w, "the generation id was used before", http.StatusConflict)
	case refusedFull, refusedLeaving:
		w.Header().Set("X-Not-Run", "true")
		http.Error(w, "the engine is full or leaving", http.StatusServiceUnavailable)
	default:
		e.streamTokens(w, r, g, req.Model, 0, 1)
	}
}

// isTooLate reports whether a request may no longer start a generation: its sender may
// have been frozen after it had checked that the request is allowed.
func isTooLate(r *http.Request, now time.Time) bool {
	until, err := strconv.ParseInt(r.Header.Get("X-Start-Before"), 10, 64)
	return err == nil && now.UnixMicro() > until
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	offset, err := strconv.Atoi(r.URL.Query().Get("offset"))
	if err != nil || offset < 0 {
		http.Error(w, "offset is not a non-negative integer", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	g := e.generations[r.PathValue("id")]
	if g == nil {
		e.mu.Unlock()
		http.Error(w, "unknown generation", http.StatusNotFound)
		return
	}
	g.latestReader++
	reader := g.latestReader
	if work := e.workRecord(g); work != nil {
		work.Resumes++
	}
	g.notifyReaders()
	e.mu.Unlock()
	e.streamTokens(w, r, g, "", offset, reader)
}

// view is the state of a generation at one moment as one reader, a request that streams
// the generation's tokens, sees it.
type view struct {
	emitted, preemptions int
	done, replaced       bool
	outcome              string
	changed              chan struct{}
	writeDelay           time.Duration
}

func (e *Engine) viewFor(g *generation, reader int) view {
	e.mu.Lock()
	defer e.mu.Unlock()
	return view{
		preemptions: g.seq.preemptions, done: g.done, outcome: g.outcome,
		replaced: g.latestReader != reader, changed: g.changed, writeDelay: e.writeDelay, emitted: g.readable,
	}
}

// streamTokens sends the tokens starting at offset until the generation ends, the
// caller disconnects or a newer reader replaces this one.
func (e *Engine) streamTokens(w http.ResponseWriter, r *http.Request, g *generation, model string, offset, reader int) {
	controller := http.NewResponseController(w)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Request-Id", g.seq.id)
	w.WriteHeader(http.StatusOK)
	heartbeat := time.NewTicker(e.config.Heartbeat)
	defer heartbeat.Stop()
	breakAt := e.drawBreak(offset)
	preemptions := 0
	if offset > 0 {
		preemptions = e.viewFor(g, reader).preemptions
	}
	for {
		v := e.viewFor(g, reader)
		if v.replaced {
			panic(http.ErrAbortHandler)
		}
		if v.writeDelay > 0 && !sleep(r, v.writeDelay) {
			return
		}
		for ; preemptions < v.preemptions; preemptions++ {
			_, _ = fmt.Fprint(w, ": preempted\n\n")
		}
		for ; offset < v.emitted; offset++ {
			if offset == breakAt {
				e.breakStream(w, g, model, offset)
				return
			}
			writeChunk(w, g.seq.id, model, offset, g.seq.plan.Token(offset), "")
		}
		if v.done {
			if v.outcome != "stop" && v.outcome != "length" {
				// A failed or cancelled generation ends without [DONE], like in a crashed engine.
				panic(http.ErrAbortHandler)
			}
			writeChunk(w, g.seq.id, model, g.seq.plan.Length, "", v.outcome)
			_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
			return
		}
		if controller.Flush() != nil {
			return
		}
		select {
		case <-v.changed:
		case <-heartbeat.C:
			_, _ = fmt.Fprint(w, ": heartbeat\n\n")
		case <-r.Context().Done():
			return
		}
	}
}

// sleep waits for d. It returns false if the request ended before d had passed.
func sleep(r *http.Request, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

type chunkDelta struct {
	Content string `json:"content,omitempty"`
}

type chunkChoice struct {
	Index        int        `json:"index"`
	Delta        chunkDelta `json:"delta"`
	FinishReason *string    `json:"finish_reason"`
}

type chunk struct {
	ID      string         `json:"id"`
	Object  string         `json:"object"`
	Model   string         `json:"model"`
	Choices [1]chunkChoice `json:"choices"`
}

func writeChunk(w http.ResponseWriter, id, model string, offset int, text, finish string) {
	_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", offset, chunkData(id, model, text, finish))
}

func chunkData(id, model, text, finish string) string {
	c := chunk{ID: id, Object: "chat.completion.chunk", Model: model}
	c.Choices[0].Delta.Content = text
	if finish != "" {
		c.Choices[0].FinishReason = &finish
	}
	data, err := json.Marshal(c)
	if err != nil {
		panic(err) // encoding a chunk cannot fail
	}
	return string(data)
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o Order
	if !decodeBody(w, r, &o) {
		return
	}
	if !e.applyOrder(o) {
		http.Error(w, "the fencing number is lower than one already used", http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (e *Engine) serveState(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, map[string]any{
		"models": e.models, "role": e.role, "version": e.version, "fencing": e.highestFencing, "incarnation": e.incarnation,
	})
}

func (e *Engine) serveFaults(w http.ResponseWriter, r *http.Request, listener *netfault.Listener) {
	var f Faults
	if !decodeBody(w, r, &f) {
		return
	}
	e.journal.writeEvent("faults", f)
	if f.Die && e.hooks.Die != nil {
		e.hooks.Die()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if f.TurnCold {
		wasCold := e.batch.cold
		if e.batch.turnCold(time.Since(e.started)); !wasCold {
			e.recordColdChange(time.Now())
		}
	}
	if f.DelayMS != nil {
		e.writeDelay = time.Duration(*f.DelayMS * float64(time.Millisecond))
	}
	if f.DropCacheShare != nil {
		e.eventLoss = *f.DropCacheShare
	}
	if f.StepFactor != nil {
		e.batch.slowdown = *f.StepFactor
	}
	if f.FailShare != nil {
		e.batch.failShare = *f.FailShare
	}
	if f.BreakShare != nil {
		e.breakShare = *f.BreakShare
	}
	if f.StopAnnouncing != nil && e.announcer != nil {
		e.announcer.Pause(*f.StopAnnouncing)
	}
	if f.Swallow && listener != nil {
		e.record.SwallowedConnections += listener.Swallow(r)
	}
	w.WriteHeader(http.StatusNoContent)
}

package command

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/endivetrack/endivetrack/internal/entry/reply"
	"github.com/endivetrack/endivetrack/internal/resultcode"
	"github.com/endivetrack/endivetrack/internal/stream"
)

// Headers towards callers.
const (
	generationIDHeader = "X-Generation-Id"
	classHeader        = "X-Endivetrack-Class"
)

// maxCompletionBytes bounds an answer that is not streamed.
const maxCompletionBytes = 8 << 20

// sink receives one generation on behalf of the caller. Errors of its methods
// mean that the caller is gone, except for invariant violations.
type sink interface {
	// accepted tells the id of the generation that a target has accepted.
	accepted(id string)
	// resumable reports whether the caller has learned the generation's id and
	// can come back for it.
	resumable() bool
	token(offset int, data []byte) error
	finish(offset int, data []byte) error
	// flush sends what was written, when no more input waits.
	flush() error
	// idle runs at intervals while nothing arrives.
	idle(now time.Time) error
	complete() error
	// fail ends the answer with an error.
	fail(err *resultcode.Error)
}

// callerStream passes tokens on as server-sent events.
type callerStream struct {
	w         http.ResponseWriter
	control   *http.ResponseController
	timing    Timing
	id        string
	next      int // offset that the next token must have
	started   bool
	pending   bool
	lastWrite time.Time
	deadline  time.Time
	buf       []byte
}

func newCallerStream(w http.ResponseWriter, timing Timing, offset int) *callerStream {
	return &callerStream{w: w, control: http.NewResponseController(w), timing: timing, next: offset}
}

func (c *callerStream) accepted(id string) { c.id = id }

func (c *callerStream) resumable() bool { return c.started }

func (c *callerStream) start() {
	if c.started {
		return
	}
	c.started = true
	h := c.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set(generationIDHeader, c.id)
	c.w.WriteHeader(http.StatusOK)
}

func (c *callerStream) token(offset int, data []byte) error {
	if offset != c.next {
		return invariant("token offset %d towards the caller, expected %d", offset, c.next)
	}
	c.next++
	return c.write(stream.AppendChunk(c.buf[:0], offset, data))
}

func (c *callerStream) finish(offset int, data []byte) error {
	if offset != c.next {
		return invariant("end at offset %d towards the caller, expected %d", offset, c.next)
	}
	return c.write(stream.AppendChunk(c.buf[:0], offset, data))
}

// write sends one event. The write deadline detects callers that accept no
// more bytes; it is renewed at intervals, since renewing costs as much as a
// small write.
func (c *callerStream) write(event []byte) error {
	c.start()
	c.buf = event
	now := time.Now()
	c.lastWrite = now
	if c.deadline.Sub(now) < c.timing.Silence/2 {
		c.deadline = now.Add(c.timing.Silence)
		_ = c.control.SetWriteDeadline(c.deadline) // not supported by in-memory writers
	}
	if _, err := c.w.Write(event); err != nil {
		return errCallerGone
	}
	c.pending = true
	return nil
}

func (c *callerStream) flush() error {
	if !c.pending {
		return nil
	}
	c.pending = false
	if c.control.Flush() != nil {
		return errCallerGone
	}
	return nil
}

// idle sends a heartbeat when nothing was sent for a while. Before a target
// has accepted the generation the answer stays open, so that a refusal can
// still have its own status.
func (c *callerStream) idle(now time.Time) error {
	if c.id == "" || now.Sub(c.lastWrite) < c.timing.Heartbeat {
		return nil
	}
	if err := c.write(append(c.buf[:0], stream.HeartbeatLine...)); err != nil {
		return err
	}
	return c.flush()
}

func (c *callerStream) complete() error {
	if err := c.write(append(c.buf[:0], stream.DoneEvent...)); err != nil {
		return err
	}
	return c.flush()
}

func (c *callerStream) fail(err *resultcode.Error) {
	if !c.started {
		reply.Error(c.w, err)
		return
	}
	_ = c.write(stream.AppendError(c.buf[:0], reply.ErrorJSON(err))) // the answer ends either way
	_ = c.flush()
}

// completion gathers the tokens of an answer that is not streamed.
type completion struct {
	w       http.ResponseWriter
	id      string
	model   string
	prompt  uint32
	next    int
	text    []byte
	finishR string
}

func newCompletion(w http.ResponseWriter, model string, promptTokens uint32) *completion {
	return &completion{w: w, model: model, prompt: promptTokens}
}

func (c *completion) accepted(id string) { c.id = id }

func (c *completion) resumable() bool { return false }

func (c *completion) token(offset int, data []byte) error {
	if offset != c.next {
		return invariant("token offset %d towards the caller, expected %d", offset, c.next)
	}
	c.next++
	var chunk stream.Chunk
	if err := json.Unmarshal(data, &chunk); err != nil || len(chunk.Choices) != 1 {
		return invariant("token %d does not decode", offset)
	}
	if len(c.text)+len(chunk.Choices[0].Delta.Content) > maxCompletionBytes {
		return resultcode.Newf(resultcode.AnswerTooLarge, "the completion exceeds %d bytes", maxCompletionBytes).WithExecution(resultcode.Ran)
	}
	c.text = append(c.text, chunk.Choices[0].Delta.Content...)
	return nil
}

func (c *completion) finish(offset int, data []byte) error {
	if offset != c.next {
		return invariant("end at offset %d towards the caller, expected %d", offset, c.next)
	}
	var chunk stream.Chunk
	if err := json.Unmarshal(data, &chunk); err != nil || len(chunk.Choices) != 1 || chunk.Choices[0].FinishReason == nil {
		return invariant("finishing chunk does not decode")
	}
	c.finishR = *chunk.Choices[0].FinishReason
	return nil
}

func (c *completion) flush() error { return nil }

func (c *completion) idle(time.Time) error { return nil }

type completionBody struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   usage              `json:"usage"`
}

type completionChoice struct {
	Index        int             `json:"index"`
	Message      completionReply `json:"message"`
	FinishReason string          `json:"finish_reason"`
}

type completionReply struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

func (c *completion) complete() error {
	c.w.Header().Set(generationIDHeader, c.id)
	reply.JSON(c.w, completionBody{
		ID: c.id, Object: "chat.completion", Model: c.model,
		Choices: []completionChoice{{Message: completionReply{"assistant", string(c.text)}, FinishReason: c.finishR}},
		Usage:   usage{int(c.prompt), c.next, int(c.prompt) + c.next},
	})
	return nil
}

func (c *completion) fail(err *resultcode.Error) { reply.Error(c.w, err) }

package command

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/endivetrack/endivetrack/internal/entry/reply"
	"github.com/endivetrack/endivetrack/internal/resultcode"
	"github.com/endivetrack/endivetrack/internal/stream"
)

// Headers of requests from and responses to callers.
const (
	generationIDHeader = "X-Generation-Id"
	classHeader        = "X-Endivetrack-Class"
)

// maxCompletionBytes limits the text of a response that is not streamed.
const maxCompletionBytes = 8 << 20

// sink writes one generation to its caller: token writes the token at offset, finish writes
// the final chunk, and complete ends a successful response. An error from its methods means
// that the caller disconnected, unless it carries a result code, such as that of an
// invariant violation.
type sink interface {
	// accepted is called with the generation's id once a target has accepted it.
	accepted(id string)
	// resumable reports whether the generation's id was sent to the caller, who can
	// then resume it.
	resumable() bool
	token(offset int, data []byte) error
	finish(offset int, data []byte) error
	// flush sends everything written so far; it is called when no more input is buffered.
	flush() error
	// onIdle is called at intervals while no input from the target arrives.
	onIdle(now time.Time) error
	complete() error
	// fail ends the response with an error. If the response has begun, fail also cuts it and
	// does not return.
	fail(err *resultcode.Error)
}

// streamSink sends tokens to the caller as server-sent events. Only complete ends a response
// that has begun; each other end cuts it, so that it does not look complete.
type streamSink struct {
	w             http.ResponseWriter
	controller    *http.ResponseController
	timing        Timing
	id            string
	nextOffset    int // offset that the next token must have
	started       bool
	finished      bool // the final chunk was written
	unflushed     bool
	lastWrite     time.Time
	writeDeadline time.Time
	buf           []byte
}

func newStreamSink(w http.ResponseWriter, timing Timing, offset int) *streamSink {
	return &streamSink{w: w, controller: http.NewResponseController(w), timing: timing, nextOffset: offset}
}

func (c *streamSink) accepted(id string) { c.id = id }

func (c *streamSink) resumable() bool { return c.started }

func (c *streamSink) start() {
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

func (c *streamSink) token(offset int, data []byte) error {
	if offset != c.nextOffset || c.finished {
		return invariantError("token offset %d towards the caller, expected %d", offset, c.nextOffset)
	}
	c.nextOffset++
	return c.write(stream.AppendChunk(c.buf[:0], offset, data))
}

func (c *streamSink) finish(offset int, data []byte) error {
	if offset != c.nextOffset || c.finished {
		return invariantError("end at offset %d towards the caller, expected %d", offset, c.nextOffset)
	}
	c.finished = true
	return c.write(stream.AppendChunk(c.buf[:0], offset, data))
}

// write writes one event. The write deadline detects callers that accept no more
// bytes. It is renewed only after half of it has passed, since renewing it costs as
// much as a small write.
func (c *streamSink) write(event []byte) error {
	c.start()
	c.buf = event
	now := time.Now()
	c.lastWrite = now
	if c.writeDeadline.Sub(now) < c.timing.SilenceTimeout/2 {
		c.writeDeadline = now.Add(c.timing.SilenceTimeout)
		_ = c.controller.SetWriteDeadline(c.writeDeadline) // ignore an error: in-memory writers have no deadline
	}
	if _, err := c.w.Write(event); err != nil {
		return errCallerGone
	}
	c.unflushed = true
	return nil
}

func (c *streamSink) flush() error {
	if !c.unflushed {
		return nil
	}
	c.unflushed = false
	if c.controller.Flush() != nil {
		return errCallerGone
	}
	return nil
}

// onIdle sends a heartbeat if nothing was sent during the heartbeat interval. Until a
// target has accepted the generation it sends nothing, so that an error response can
// still set its own status code.
func (c *streamSink) onIdle(now time.Time) error {
	if c.id == "" || now.Sub(c.lastWrite) < c.timing.HeartbeatInterval {
		return nil
	}
	if err := c.write(append(c.buf[:0], stream.HeartbeatLine...)); err != nil {
		return err
	}
	return c.flush()
}

func (c *streamSink) complete() error {
	if !c.finished {
		return invariantError("end of a stream without its final chunk")
	}
	if err := c.write(append(c.buf[:0], stream.DoneEvent...)); err != nil {
		return err
	}
	return c.flush()
}

func (c *streamSink) fail(err *resultcode.Error) {
	if !c.started {
		reply.Error(c.w, err)
		return
	}
	_ = c.write(stream.AppendError(c.buf[:0], reply.ErrorJSON(err))) // ignore an error: the response ends either way
	_ = c.flush()
	reply.Abort()
}

// completionSink collects the tokens of a response that is not streamed.
type completionSink struct {
	w            http.ResponseWriter
	id           string
	model        string
	promptTokens uint32
	nextOffset   int
	text         []byte
	finishReason string
}

func newCompletionSink(w http.ResponseWriter, model string, promptTokens uint32) *completionSink {
	return &completionSink{w: w, model: model, promptTokens: promptTokens}
}

func (c *completionSink) accepted(id string) { c.id = id }

func (c *completionSink) resumable() bool { return false }

func (c *completionSink) token(offset int, data []byte) error {
	if offset != c.nextOffset || c.finishReason != "" {
		return invariantError("token offset %d towards the caller, expected %d", offset, c.nextOffset)
	}
	c.nextOffset++
	var chunk stream.Chunk
	if err := json.Unmarshal(data, &chunk); err != nil || len(chunk.Choices) != 1 {
		return invariantError("token %d does not decode", offset)
	}
	if len(c.text)+len(chunk.Choices[0].Delta.Content) > maxCompletionBytes {
		return resultcode.Newf(resultcode.AnswerTooLarge, "the completion exceeds %d bytes", maxCompletionBytes).WithExecution(resultcode.Ran)
	}
	c.text = append(c.text, chunk.Choices[0].Delta.Content...)
	return nil
}

func (c *completionSink) finish(offset int, data []byte) error {
	if offset != c.nextOffset || c.finishReason != "" {
		return invariantError("end at offset %d towards the caller, expected %d", offset, c.nextOffset)
	}
	var chunk stream.Chunk
	if err := json.Unmarshal(data, &chunk); err != nil || len(chunk.Choices) != 1 || chunk.Choices[0].FinishReason == nil {
		return invariantError("finishing chunk does not decode")
	}
	c.finishReason = *chunk.Choices[0].FinishReason
	return nil
}

func (c *completionSink) flush() error { return nil }

func (c *completionSink) onIdle(time.Time) error { return nil }

type completionBody struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   usage              `json:"usage"`
}

type completionChoice struct {
	Index        int               `json:"index"`
	Message      completionMessage `json:"message"`
	FinishReason string            `json:"finish_reason"`
}

type completionMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

func (c *completionSink) complete() error {
	if c.finishReason == "" {
		return invariantError("completion without its final chunk")
	}
	c.w.Header().Set(generationIDHeader, c.id)
	reply.JSON(c.w, completionBody{
		ID: c.id, Object: "chat.completion", Model: c.model,
		Choices: []completionChoice{{Message: completionMessage{"assistant", string(c.text)}, FinishReason: c.finishReason}},
		Usage:   usage{int(c.promptTokens), c.nextOffset, int(c.promptTokens) + c.nextOffset},
	})
	return nil
}

func (c *completionSink) fail(err *resultcode.Error) { reply.Error(c.w, err) }

package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/endivetrack/endivetrack/internal/sleep"
	"github.com/endivetrack/endivetrack/internal/stream"
)

// Message is one message of a prompt.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Generation describes the text to generate.
type Generation struct {
	Model     string
	Messages  []Message
	MaxTokens int    // maximum number of tokens to generate; 0 for the limit of the class
	Class     string // request class; empty for the account's default class
}

// Token is one token of a stream. Offset counts from 0.
type Token struct {
	Offset int
	Text   string
}

// Stream delivers the tokens of one generation, each at most once and in order.
// It is not safe for concurrent use.
type Stream struct {
	client       *Client
	ctx          context.Context
	cancel       context.CancelFunc
	body         []byte
	class        string
	attemptsLeft int // number of further attempts to start the generation

	id           string
	decoder      *stream.Decoder
	seq          *stream.Sequencer
	conn         *connection
	finishReason string
	endErr       error
}

// connection is one HTTP response that carries the stream.
type connection struct {
	address   string
	body      io.ReadCloser
	reader    *stream.Reader
	cancel    context.CancelFunc
	idleTimer *time.Timer // closes the connection after maxIdle without an event
	maxIdle   time.Duration
}

func (c *connection) close() {
	c.idleTimer.Stop()
	c.cancel()
	_ = c.body.Close()
}

type generationBody struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	Stream    bool      `json:"stream"`
}

// Generate starts a generation. The caller must call Close on the stream or Next
// until it fails.
func (c *Client) Generate(ctx context.Context, g Generation) (*Stream, error) {
	body, err := json.Marshal(generationBody{g.Model, g.Messages, g.MaxTokens, true})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	s := &Stream{client: c, ctx: ctx, cancel: cancel, body: body, class: g.Class, attemptsLeft: c.cfg.Attempts}
	if err := s.startWithRetries(nil); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// ID returns the id of the generation. It can change before the first token.
func (s *Stream) ID() string { return s.id }

// FinishReason returns why the generation ended, or "" while its text is
// incomplete.
func (s *Stream) FinishReason() string { return s.finishReason }

// Delivered returns the number of tokens that Next has returned.
func (s *Stream) Delivered() int {
	if s.seq == nil {
		return 0
	}
	return s.seq.Next()
}

// Close closes the stream. Next fails afterwards.
func (s *Stream) Close() {
	s.disconnect()
	s.cancel()
	if s.endErr == nil {
		s.endErr = errors.New("client: the stream was closed")
	}
}

func (s *Stream) disconnect() {
	if s.conn != nil {
		s.conn.close()
		s.conn = nil
	}
}

// Next returns the next token, or io.EOF after the last one of a complete
// generation. In an *Error with code 3002 or 3005, Delivered is the number of
// tokens that were delivered before the generation was lost.
func (s *Stream) Next() (Token, error) {
	for s.endErr == nil {
		token, ok, err := s.processNextEvent()
		if err != nil {
			s.endWithError(err)
		}
		if ok {
			return token, nil
		}
	}
	return Token{}, s.endErr
}

func (s *Stream) endWithError(err error) {
	s.disconnect()
	s.cancel()
	var e *Error
	if errors.As(err, &e) {
		e.Delivered = s.Delivered()
	}
	s.endErr = err
}

// processNextEvent handles one event or the end of the connection. If the event is a
// token to deliver, it returns the token and true.
func (s *Stream) processNextEvent() (Token, bool, error) {
	event, err := s.conn.reader.Read()
	now := time.Now()
	if err != nil {
		return Token{}, false, s.handleDisconnect(stream.Input{Kind: stream.Broken}, err)
	}
	s.conn.idleTimer.Reset(s.conn.maxIdle)
	if string(event.Name) == "error" {
		return Token{}, false, s.handleReportedError(decodeError(event.Data))
	}
	s.adoptChunkID(event, now)
	in := s.decoder.Classify(s.seq.Conn(), event)
	switch s.seq.Step(now, in) {
	case stream.Deliver:
		var chunk stream.Chunk
		if err := json.Unmarshal(event.Data, &chunk); err != nil || len(chunk.Choices) != 1 {
			return Token{}, false, &Error{Code: 3005, Name: "STREAM_CORRUPT", Message: "a token could not be decoded", Execution: Ran}
		}
		return Token{Offset: in.Offset, Text: chunk.Choices[0].Delta.Content}, true, nil
	case stream.DeliverFinish:
		var chunk stream.Chunk
		if json.Unmarshal(event.Data, &chunk) == nil && len(chunk.Choices) == 1 && chunk.Choices[0].FinishReason != nil {
			s.finishReason = *chunk.Choices[0].FinishReason
		}
	case stream.Complete:
		return Token{}, false, io.EOF
	case stream.Reconnect:
		s.client.addressCache.markFailed(s.conn.address)
		return Token{}, false, s.reconnect(errProtocol)
	case stream.Fail:
		return Token{}, false, s.restartOrFail(errProtocol)
	}
	return Token{}, false, nil
}

var errProtocol = errors.New("the stream violated its protocol")

// adoptChunkID switches to the generation id in the first chunk. It can differ
// from the id in the header, since the system may restart a request under a new
// id until its first token.
func (s *Stream) adoptChunkID(event stream.Event, now time.Time) {
	if s.seq.Next() > 0 || s.finishReason != "" || event.IsComment || len(event.Data) == 0 {
		return
	}
	var chunk stream.Chunk
	if json.Unmarshal(event.Data, &chunk) == nil && chunk.ID != "" && chunk.ID != s.id {
		s.trackGeneration(chunk.ID, now)
	}
}

func (s *Stream) trackGeneration(id string, now time.Time) {
	s.id, s.decoder = id, stream.NewDecoder(id)
	s.seq = stream.NewSequencer(id, 0, s.client.cfg.Silence, now)
}

// handleDisconnect completes, resumes or fails the stream after its connection
// has ended.
func (s *Stream) handleDisconnect(in stream.Input, cause error) error {
	s.client.addressCache.markFailed(s.conn.address)
	in.Conn = s.seq.Conn()
	switch s.seq.Step(time.Now(), in) {
	case stream.Complete:
		return io.EOF
	case stream.Reconnect:
		return s.reconnect(cause)
	default:
		return s.restartOrFail(cause)
	}
}

// handleReportedError handles an error event in the stream. It starts the
// generation again unless a token was delivered or the request is invalid.
func (s *Stream) handleReportedError(e *Error) error {
	if s.seq.Next() > 0 || e.permanent() {
		return e
	}
	return s.startWithRetries(e)
}

// reconnect tries to resume the stream, at another instance if one is available,
// until it has a connection or the sequencer stops the attempts. A generation that
// the system does not know and of which no token was delivered is started again.
func (s *Stream) reconnect(cause error) error {
	s.disconnect()
	for {
		if !sleep.For(s.ctx, s.seq.Delay()) {
			return s.ctx.Err()
		}
		err := s.attemptResume()
		if err == nil {
			return nil
		}
		if s.ctx.Err() != nil {
			return s.ctx.Err()
		}
		kind := stream.Broken
		if err.Code == CodeUnknownGeneration {
			kind = stream.UnknownGeneration
		}
		if !sleep.For(s.ctx, err.RetryAfter) {
			return s.ctx.Err()
		}
		if s.seq.Step(time.Now(), stream.Input{Conn: s.seq.Conn(), Kind: kind}) != stream.Reconnect {
			return s.restartOrFail(errors.Join(cause, err))
		}
	}
}

// restartOrFail starts the generation again if none of its tokens was delivered.
// Otherwise it returns the error that ends the stream.
func (s *Stream) restartOrFail(cause error) error {
	if s.seq.Next() == 0 {
		return s.startWithRetries(&Error{Code: CodeOutcomeUnknown, Name: "OUTCOME_UNKNOWN", Message: cause.Error(), Execution: Unknown})
	}
	code := s.seq.Code()
	return &Error{Code: int(code), Name: code.String(), Message: cause.Error(), Execution: Ran}
}

// startWithRetries starts the generation, with retries while attempts are left. It
// must not be called once a token was delivered. lastErr is the error of the previous
// attempt, or nil.
func (s *Stream) startWithRetries(lastErr *Error) error {
	s.disconnect()
	mayHaveRun := lastErr != nil && lastErr.Execution != NotRun
	for ; s.attemptsLeft > 0; s.attemptsLeft-- {
		if lastErr != nil && !sleep.For(s.ctx, max(lastErr.RetryAfter, retryPause)) {
			return s.ctx.Err()
		}
		err := s.attemptStart()
		if err == nil {
			s.attemptsLeft--
			return nil
		}
		if s.ctx.Err() != nil {
			return s.ctx.Err()
		}
		lastErr = err
		mayHaveRun = mayHaveRun || err.Execution != NotRun
		if err.permanent() {
			break
		}
	}
	if mayHaveRun && lastErr.Execution == NotRun && !lastErr.permanent() {
		lastErr.Execution = Unknown
	}
	return lastErr
}

// attemptStart makes one attempt to start the generation.
func (s *Stream) attemptStart() *Error {
	resp, conn, err := s.openConnection(http.MethodPost, "/v1/chat/completions", s.body)
	if err != nil {
		return err
	}
	s.conn = conn
	s.trackGeneration(resp.Header.Get(idHeader), time.Now())
	return nil
}

// attemptResume makes one attempt to reconnect at the next token to deliver.
func (s *Stream) attemptResume() *Error {
	path := "/v1/generations/" + url.PathEscape(s.id) + "?offset=" + strconv.Itoa(s.seq.Next())
	_, conn, err := s.openConnection(http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	s.conn = conn
	s.seq.Connected(time.Now())
	return nil
}

// openConnection sends one request whose response is a stream.
func (s *Stream) openConnection(method, path string, body []byte) (*http.Response, *connection, *Error) {
	c := s.client
	address, err := c.addressCache.pickInstance(s.ctx)
	if err != nil {
		return nil, nil, asError(err)
	}
	ctx, cancel := context.WithCancel(s.ctx)
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		cancel()
		return nil, nil, &Error{Code: 1001, Name: "BAD_REQUEST", Message: err.Error(), Execution: NotRun}
	}
	c.authorize(r)
	setHeader(r, classHeader, s.class)
	resp, err := c.http.Do(r)
	if err != nil {
		cancel()
		c.addressCache.markFailed(address)
		return nil, nil, sendError(err)
	}
	e := systemError(resp)
	if e == nil && resp.StatusCode != http.StatusOK {
		e = &Error{Code: CodeOutcomeUnknown, Name: "OUTCOME_UNKNOWN", Message: resp.Status, Execution: Unknown}
	}
	if e != nil {
		cancel()
		_ = resp.Body.Close()
		return nil, nil, e
	}
	return resp, &connection{
		address: address, body: resp.Body, reader: stream.NewReader(resp.Body), cancel: cancel,
		idleTimer: time.AfterFunc(c.cfg.Silence, cancel), maxIdle: c.cfg.Silence,
	}, nil
}

func asError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Code: CodeNoInstance, Name: "NO_INSTANCE", Message: err.Error(), Execution: NotRun}
}

// Completion is the result of a complete generation.
type Completion struct {
	ID           string
	Text         string
	Tokens       int
	FinishReason string
}

// Complete runs a generation and returns its complete text. It uses a stream
// internally, so that the generation survives a broken connection.
func (c *Client) Complete(ctx context.Context, g Generation) (*Completion, error) {
	s, err := c.Generate(ctx, g)
	if err != nil {
		return nil, err
	}
	defer s.Close()
	var text []byte
	for {
		token, err := s.Next()
		if errors.Is(err, io.EOF) {
			return &Completion{ID: s.ID(), Text: string(text), Tokens: s.Delivered(), FinishReason: s.FinishReason()}, nil
		}
		if err != nil {
			return nil, err
		}
		text = append(text, token.Text...)
	}
}

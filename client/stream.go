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

// Generation is a request for a generation.
type Generation struct {
	Model     string
	Messages  []Message
	MaxTokens int    // 0: the class's bound
	Class     string // empty: the account's default
}

// Token is one token of a stream.
type Token struct {
	Offset int
	Text   string
}

// Stream delivers the tokens of one generation, each at most once and in order.
// It is not safe for concurrent use.
type Stream struct {
	client   *Client
	ctx      context.Context
	cancel   context.CancelFunc
	body     []byte
	class    string
	attempts int // dispatches left

	id      string
	decoder *stream.Decoder
	seq     *stream.Sequencer
	conn    *connection
	finish  string
	ended   error
}

// connection is one answer that carries the stream.
type connection struct {
	address string
	body    io.ReadCloser
	reader  *stream.Reader
	cancel  context.CancelFunc
	silence *time.Timer // closes the connection when it is silent
	limit   time.Duration
}

func (c *connection) close() {
	c.silence.Stop()
	c.cancel()
	_ = c.body.Close()
}

type generationBody struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	Stream    bool      `json:"stream"`
}

// Generate starts a generation. The stream must be closed, or read to its end.
func (c *Client) Generate(ctx context.Context, g Generation) (*Stream, error) {
	body, err := json.Marshal(generationBody{g.Model, g.Messages, g.MaxTokens, true})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	s := &Stream{client: c, ctx: ctx, cancel: cancel, body: body, class: g.Class, attempts: c.cfg.Attempts}
	if err := s.dispatch(nil); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// ID is the generation's id.
func (s *Stream) ID() string { return s.id }

// FinishReason is set once the text is complete.
func (s *Stream) FinishReason() string { return s.finish }

// Delivered is the count of tokens that Next returned.
func (s *Stream) Delivered() int {
	if s.seq == nil {
		return 0
	}
	return s.seq.Next()
}

// Close gives the stream up.
func (s *Stream) Close() {
	s.drop()
	s.cancel()
	if s.ended == nil {
		s.ended = errors.New("client: the stream was closed")
	}
}

func (s *Stream) drop() {
	if s.conn != nil {
		s.conn.close()
		s.conn = nil
	}
}

// Next returns the next token; io.EOF after the last one of a complete
// generation. An *Error with code 3002 or 3005 says how many tokens were
// delivered before the generation was lost.
func (s *Stream) Next() (Token, error) {
	for s.ended == nil {
		token, ok, err := s.advance()
		if err != nil {
			s.end(err)
		}
		if ok {
			return token, nil
		}
	}
	return Token{}, s.ended
}

func (s *Stream) end(err error) {
	s.drop()
	s.cancel()
	var e *Error
	if errors.As(err, &e) {
		e.Delivered = s.Delivered()
	}
	s.ended = err
}

// advance handles one event, or the loss of the connection.
func (s *Stream) advance() (Token, bool, error) {
	event, err := s.conn.reader.Read()
	now := time.Now()
	if err != nil {
		return Token{}, false, s.recover(stream.Input{Kind: stream.Broken}, err)
	}
	s.conn.silence.Reset(s.conn.limit)
	if string(event.Name) == "error" {
		return Token{}, false, s.reported(decodeError(event.Data))
	}
	s.adopt(event, now)
	in := s.decoder.Input(s.seq.Conn(), event)
	switch s.seq.Step(now, in) {
	case stream.Deliver:
		var chunk stream.Chunk
		if err := json.Unmarshal(event.Data, &chunk); err != nil || len(chunk.Choices) != 1 {
			return Token{}, false, &Error{Code: 3005, Name: "STREAM_CORRUPT", Message: "a token does not decode", Execution: Ran}
		}
		return Token{Offset: in.Offset, Text: chunk.Choices[0].Delta.Content}, true, nil
	case stream.DeliverFinish:
		var chunk stream.Chunk
		if json.Unmarshal(event.Data, &chunk) == nil && len(chunk.Choices) == 1 && chunk.Choices[0].FinishReason != nil {
			s.finish = *chunk.Choices[0].FinishReason
		}
	case stream.Complete:
		return Token{}, false, io.EOF
	case stream.Reconnect:
		s.client.addresses.failed(s.conn.address)
		return Token{}, false, s.reconnect(errProtocol)
	case stream.Fail:
		return Token{}, false, s.lost(errProtocol)
	}
	return Token{}, false, nil
}

var errProtocol = errors.New("the stream broke its protocol")

// adopt takes the id of the first chunk: before the first token the system may
// have started the request again under another id than the header's.
func (s *Stream) adopt(event stream.Event, now time.Time) {
	if s.seq.Next() > 0 || event.IsComment || len(event.Data) == 0 {
		return
	}
	var chunk stream.Chunk
	if json.Unmarshal(event.Data, &chunk) == nil && chunk.ID != "" && chunk.ID != s.id {
		s.follow(chunk.ID, now)
	}
}

func (s *Stream) follow(id string, now time.Time) {
	s.id, s.decoder = id, stream.NewDecoder(id)
	s.seq = stream.NewSequencer(id, 0, s.client.cfg.Silence, now)
}

// recover handles a connection that ended.
func (s *Stream) recover(in stream.Input, cause error) error {
	s.client.addresses.failed(s.conn.address)
	in.Conn = s.seq.Conn()
	switch s.seq.Step(time.Now(), in) {
	case stream.Complete:
		return io.EOF
	case stream.Reconnect:
		return s.reconnect(cause)
	default:
		return s.lost(cause)
	}
}

// reported handles an error that the system reported inside the stream.
func (s *Stream) reported(e *Error) error {
	if s.seq.Next() > 0 || e.permanent() {
		return e
	}
	return s.dispatch(e)
}

// reconnect resumes the stream elsewhere until a connection is up or the
// sequencer gives up. A generation that is unknown and of which no token was
// delivered is started again.
func (s *Stream) reconnect(cause error) error {
	s.drop()
	for {
		if !sleep.For(s.ctx, s.seq.Delay()) {
			return s.ctx.Err()
		}
		err := s.resume()
		if err == nil {
			return nil
		}
		if s.ctx.Err() != nil {
			return s.ctx.Err()
		}
		kind := stream.Broken
		if err.Code == CodeUnknownGeneration {
			kind = stream.Unknown
		}
		if !sleep.For(s.ctx, err.RetryAfter) {
			return s.ctx.Err()
		}
		if s.seq.Step(time.Now(), stream.Input{Conn: s.seq.Conn(), Kind: kind}) != stream.Reconnect {
			return s.lost(errors.Join(cause, err))
		}
	}
}

// lost ends the stream, or starts the generation again if none of its tokens
// was delivered.
func (s *Stream) lost(cause error) error {
	if s.seq.Next() == 0 {
		return s.dispatch(&Error{Code: CodeOutcomeUnknown, Name: "OUTCOME_UNKNOWN", Message: cause.Error(), Execution: Unknown})
	}
	code := s.seq.Code()
	return &Error{Code: int(code), Name: code.String(), Message: cause.Error(), Execution: Ran}
}

// dispatch sends the request, again while no token was delivered and attempts
// are left. last is why the former attempt failed, or nil.
func (s *Stream) dispatch(last *Error) error {
	s.drop()
	mayHaveRun := last != nil && last.Execution != NotRun
	for ; s.attempts > 0; s.attempts-- {
		if last != nil && !sleep.For(s.ctx, max(last.RetryAfter, retryPause)) {
			return s.ctx.Err()
		}
		err := s.start()
		if err == nil {
			s.attempts--
			return nil
		}
		if s.ctx.Err() != nil {
			return s.ctx.Err()
		}
		last = err
		mayHaveRun = mayHaveRun || err.Execution != NotRun
		if err.permanent() {
			break
		}
	}
	if mayHaveRun && last.Execution == NotRun && !last.permanent() {
		last.Execution = Unknown
	}
	return last
}

func (s *Stream) start() *Error {
	resp, conn, err := s.open(http.MethodPost, "/v1/chat/completions", s.body)
	if err != nil {
		return err
	}
	s.conn = conn
	s.follow(resp.Header.Get(idHeader), time.Now())
	return nil
}

func (s *Stream) resume() *Error {
	path := "/v1/generations/" + url.PathEscape(s.id) + "?offset=" + strconv.Itoa(s.seq.Next())
	_, conn, err := s.open(http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	s.conn = conn
	s.seq.Connected(time.Now())
	return nil
}

// open sends one request whose answer is a stream.
func (s *Stream) open(method, path string, body []byte) (*http.Response, *connection, *Error) {
	c := s.client
	address, err := c.addresses.pick(s.ctx)
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
	set(r, classHeader, s.class)
	resp, err := c.http.Do(r)
	if err != nil {
		cancel()
		c.addresses.failed(address)
		return nil, nil, sendError(err)
	}
	e := refusal(resp)
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
		silence: time.AfterFunc(c.cfg.Silence, cancel), limit: c.cfg.Silence,
	}, nil
}

func asError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Code: CodeNoInstance, Name: "NO_INSTANCE", Message: err.Error(), Execution: NotRun}
}

// Completion is a whole generation.
type Completion struct {
	ID           string
	Text         string
	Tokens       int
	FinishReason string
}

// Complete runs a generation and returns its whole text. It is streamed inside,
// so that a broken connection does not lose it.
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

package stream

import (
	"time"

	"github.com/endivetrack/endivetrack/internal/resultcode"
)

// Limits of reconnection. Once tokens were delivered, a generation can only be
// continued at its target, so it gets more attempts than a generation that can
// still be restarted at another target.
const (
	// SilenceTimeout is how long a connection may be idle before it is abandoned.
	// Targets send a heartbeat every second.
	SilenceTimeout           = 3 * time.Second
	maxReconnects            = 8
	maxReconnectsBeforeToken = 2 // before the first token, a restart at another target is still possible
	reconnectDelay           = 100 * time.Millisecond
	maxReconnectDelay        = 800 * time.Millisecond
	maxOffset                = 1 << 30
	immediateReconnects      = 1 // reconnects made without delay after a delivered token
	maxDelayDoublings        = 3
	// rememberedTokens is how many of the newest tokens a repetition is compared with. It is
	// a power of two.
	rememberedTokens = 64
	// resumeOverlap is how many delivered tokens a new connection repeats, so that a peer which
	// has run the generation a second time is noticed.
	resumeOverlap = 8
)

// Kind is the type of an Input.
type Kind int

// Kinds of input to Sequencer.Step.
const (
	Activity          Kind = iota // a sign that the peer is alive, such as a heartbeat comment
	Token                         // a chunk with a token
	Finish                        // the final chunk, whose offset is the total number of tokens
	Done                          // the [DONE] event that ends a complete stream
	Malformed                     // an event that cannot be decoded
	Broken                        // the connection ended or failed
	Refused                       // the connection could not be opened
	UnknownGeneration             // the peer has no such generation
	Tick                          // a periodic timer check
)

// Input is one event for Sequencer.Step: something received on a connection, a
// change of the connection's state, or a timer tick.
type Input struct {
	Conn   int // connection number, from Sequencer.Conn
	Kind   Kind
	ID     string // generation id in the chunk; only for Token and Finish
	Offset int
	// TextHash is the hash of the chunk's text; only for Token and Finish.
	TextHash uint64
}

// Action is what the caller of Step must do after an input.
type Action int

// Actions returned by Step.
const (
	Ignore        Action = iota
	Deliver              // forward the token
	DeliverFinish        // forward the final chunk
	Reconnect            // drop the connection, wait for Delay, then open connection Conn at ResumeOffset or Next
	Complete             // the stream is complete
	Fail                 // the stream cannot be continued; Code returns the reason
)

// Sequencer is the state machine of one stream: it decides which tokens to
// forward and when to reconnect. It reads no clock and does no I/O.
//
// Invariant: the inputs for which Step returns Deliver have the offsets start,
// start+1, ... without gap or repetition, and the sequencer's generation id. No
// Deliver follows a DeliverFinish, and only Ignore follows Complete or Fail. No Deliver
// follows a token that differs from a delivered one with the same offset: the peer has run
// the generation a second time.
type Sequencer struct {
	id             string
	start          int
	next           int
	conn           int
	lastActivity   time.Time
	silenceTimeout time.Duration
	reconnects     int  // reconnects since the last token was delivered
	protocolBroken bool // the last reconnect was due to a protocol violation
	finished       bool // the final chunk was delivered
	ended          bool
	pastEnd        bool // the generation has fewer tokens than the offset that the stream starts at
	textHashes     [rememberedTokens]uint64
}

// NewSequencer returns a sequencer for the tokens of generation id from offset
// start. A connection that is idle for silenceTimeout is abandoned.
func NewSequencer(id string, start int, silenceTimeout time.Duration, now time.Time) *Sequencer {
	return &Sequencer{id: id, start: start, next: start, lastActivity: now, silenceTimeout: silenceTimeout}
}

// Conn returns the number of the current connection. Step ignores inputs from
// earlier connections.
func (s *Sequencer) Conn() int { return s.conn }

// Next returns the offset of the next token to deliver.
func (s *Sequencer) Next() int { return s.next }

// ResumeOffset returns the offset at which a new connection begins: that of the next token,
// or before it if there are tokens to compare.
func (s *Sequencer) ResumeOffset() int { return max(s.start, s.next-resumeOverlap) }

// Delivered returns the number of tokens for which Step returned Deliver.
func (s *Sequencer) Delivered() int { return s.next - s.start }

// Code returns the result code of a stream for which Step returned Fail.
func (s *Sequencer) Code() resultcode.Code {
	switch {
	case s.pastEnd:
		return resultcode.BadOffset
	case s.protocolBroken:
		return resultcode.StreamCorrupt
	}
	return resultcode.GenerationLost
}

// Delay returns how long to wait before the reconnection that Step requested. It
// grows exponentially with the attempts since the last delivered token.
func (s *Sequencer) Delay() time.Duration {
	if s.reconnects <= immediateReconnects {
		return 0
	}
	return min(reconnectDelay<<min(s.reconnects-immediateReconnects-1, maxDelayDoublings), maxReconnectDelay)
}

// Connected restarts the silence timeout. The caller must call it after opening
// connection Conn.
func (s *Sequencer) Connected(now time.Time) { s.lastActivity = now }

// Step updates the state with one input and returns the action to take.
func (s *Sequencer) Step(now time.Time, in Input) Action {
	if s.ended {
		return Ignore
	}
	if in.Kind == Tick {
		if !s.Silent(now) {
			return Ignore
		}
		return s.connectionEnded(now, false)
	}
	if in.Conn != s.conn {
		return Ignore
	}
	s.lastActivity = now
	if s.finished {
		return s.endStream() // whatever follows the final chunk, the text is complete
	}
	switch in.Kind {
	case Token, Finish:
		return s.stepChunk(now, in)
	case Malformed:
		return s.connectionEnded(now, true)
	case Done, Broken:
		return s.connectionEnded(now, in.Kind == Done)
	case Refused:
		if s.next == 0 {
			return s.endStream()
		}
		return s.connectionEnded(now, false)
	case UnknownGeneration:
		s.protocolBroken = false
		return s.endStream()
	default:
		return Ignore
	}
}

func (s *Sequencer) stepChunk(now time.Time, in Input) Action {
	switch {
	case in.ID != s.id || in.Offset > maxOffset:
		return s.connectionEnded(now, true)
	case in.Kind == Token && in.Offset < s.next:
		return s.stepRepeated(now, in)
	case in.Kind == Finish && in.Offset < s.start:
		s.pastEnd = true
		return s.endStream()
	case in.Offset != s.next:
		return s.connectionEnded(now, true) // a gap, or a final chunk that counts fewer tokens than were delivered
	}
	s.reconnects = 0
	if in.Kind == Finish {
		s.finished = true
		return DeliverFinish
	}
	s.textHashes[s.next%rememberedTokens] = in.TextHash
	s.next++
	return Deliver
}

// stepRepeated handles a token before the next one. It is ignored if it is the one that was
// delivered. Another text ends the stream: its rest would be that of another run. A token
// that was not delivered or is no longer remembered shows that the peer did not start at the
// requested offset.
func (s *Sequencer) stepRepeated(now time.Time, in Input) Action {
	switch {
	case in.Offset < max(s.start, s.next-rememberedTokens):
		return s.connectionEnded(now, true)
	case s.textHashes[in.Offset%rememberedTokens] != in.TextHash:
		s.protocolBroken = true
		return s.endStream()
	}
	return Ignore
}

// connectionEnded handles the end of the current connection. If the final chunk was
// delivered, the stream is complete, however the connection ended. Otherwise
// connectionEnded requests a reconnect or, after too many attempts without a new token,
// fails.
func (s *Sequencer) connectionEnded(now time.Time, protocolBroken bool) Action {
	if s.finished {
		s.ended = true
		return Complete
	}
	s.reconnects++
	s.conn++
	s.lastActivity = now
	s.protocolBroken = protocolBroken
	limit := maxReconnects
	if s.next == 0 {
		limit = maxReconnectsBeforeToken
	}
	if s.reconnects > limit {
		return s.endStream()
	}
	return Reconnect
}

// endStream ends the stream. It returns Complete if the final chunk was delivered,
// and Fail otherwise.
func (s *Sequencer) endStream() Action {
	s.ended = true
	if s.finished {
		return Complete
	}
	return Fail
}

// Silent reports whether the connection has been idle for the silence timeout.
func (s *Sequencer) Silent(now time.Time) bool { return now.Sub(s.lastActivity) >= s.silenceTimeout }

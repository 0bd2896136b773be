package stream

import (
	"time"

	"github.com/endivetrack/endivetrack/internal/resultcode"
)

// Bounds of recovery. A generation with delivered tokens can only be continued
// at its target, so it gets more attempts than one that may start elsewhere.
const (
	// Silence is how long a connection may carry nothing before it is
	// abandoned; heartbeats come every second.
	Silence               = 3 * time.Second
	maxReconnects         = 8
	maxReconnectsUnheard  = 2 // no token delivered yet
	reconnectDelay        = 100 * time.Millisecond
	maxReconnectDelay     = 800 * time.Millisecond
	maxOffset             = 1 << 30
	immediateReconnects   = 1 // the first attempt after progress has no delay
	reconnectDelayDoubles = 3
)

// Kind says what was observed on a connection.
type Kind int

// Kinds of input.
const (
	Activity  Kind = iota // a comment: the peer lives
	Token                 // a chunk with a token
	Finish                // the chunk that ends the text; its offset is the count of tokens
	Done                  // the end mark
	Malformed             // an event that does not decode
	Broken                // the connection ended or failed
	Refused               // the peer could not be connected to
	Unknown               // the peer does not know the generation
	Tick                  // time passed
)

// Input is one observation on a connection.
type Input struct {
	Conn   int // number of the connection, as Sequencer.Conn gave it
	Kind   Kind
	ID     string // generation id in the body; chunks only
	Offset int
}

// Action is what the driver must do after an input.
type Action int

// Actions.
const (
	Ignore        Action = iota
	Deliver              // pass the token on
	DeliverFinish        // pass the finishing chunk on
	Reconnect            // drop the connection, wait Delay, connect as Conn at Next
	Complete             // the stream is complete
	Fail                 // the stream cannot be continued; see Code
)

// Sequencer is the decision core of one stream. It has no clock and does no
// input or output. Invariant: the Deliver actions carry the offsets start,
// start+1, ... without gap or repetition, all with the sequencer's generation
// id, and follow no DeliverFinish; nothing follows Complete or Fail.
type Sequencer struct {
	id      string
	start   int
	next    int
	conn    int
	heard   time.Time
	silence time.Duration
	streak  int  // reconnects since the last delivered token
	corrupt bool // the newest reconnect was for a broken protocol
	done    bool // the finishing chunk was delivered
	ended   bool
}

// NewSequencer returns a sequencer for the tokens of generation id from
// offset start. silence is how long a connection may carry nothing.
func NewSequencer(id string, start int, silence time.Duration, now time.Time) *Sequencer {
	return &Sequencer{id: id, start: start, next: start, heard: now, silence: silence}
}

// Conn is the number of the connection whose events count; events of earlier
// connections are ignored.
func (s *Sequencer) Conn() int { return s.conn }

// Next is the offset of the next token.
func (s *Sequencer) Next() int { return s.next }

// Delivered is the count of tokens this sequencer delivered.
func (s *Sequencer) Delivered() int { return s.next - s.start }

// Code is the result code of a failed stream.
func (s *Sequencer) Code() resultcode.Code {
	if s.corrupt {
		return resultcode.StreamCorrupt
	}
	return resultcode.GenerationLost
}

// Delay is how long to wait before the reconnection that Step asked for.
func (s *Sequencer) Delay() time.Duration {
	if s.streak <= immediateReconnects {
		return 0
	}
	return min(reconnectDelay<<min(s.streak-immediateReconnects-1, reconnectDelayDoubles), maxReconnectDelay)
}

// Connected restarts the silence clock: the driver has opened connection Conn.
func (s *Sequencer) Connected(now time.Time) { s.heard = now }

// Step decides what one input means.
func (s *Sequencer) Step(now time.Time, in Input) Action {
	if s.ended {
		return Ignore
	}
	if in.Kind == Tick {
		if !s.Silent(now) {
			return Ignore
		}
		return s.lost(now, false)
	}
	if in.Conn != s.conn {
		return Ignore
	}
	s.heard = now
	switch in.Kind {
	case Token, Finish:
		return s.chunk(now, in)
	case Malformed:
		return s.lost(now, true)
	case Done, Broken:
		return s.lost(now, in.Kind == Done)
	case Refused:
		if s.next == 0 {
			return s.fail()
		}
		return s.lost(now, false)
	case Unknown:
		s.corrupt = false
		return s.fail()
	default:
		return Ignore
	}
}

func (s *Sequencer) chunk(now time.Time, in Input) Action {
	switch {
	case in.ID != s.id || in.Offset > maxOffset:
		return s.lost(now, true)
	case s.done:
		return Ignore
	case in.Kind == Token && in.Offset < s.next:
		return Ignore // a duplicate
	case in.Offset != s.next:
		return s.lost(now, true) // a gap, or fewer tokens than were delivered
	}
	s.streak = 0
	if in.Kind == Finish {
		s.done = true
		return DeliverFinish
	}
	s.next++
	return Deliver
}

// lost handles the end of the current connection. After the finishing chunk
// nothing is missing, however the connection ended.
func (s *Sequencer) lost(now time.Time, corrupt bool) Action {
	if s.done {
		s.ended = true
		return Complete
	}
	s.streak++
	s.conn++
	s.heard = now
	s.corrupt = corrupt
	limit := maxReconnects
	if s.next == 0 {
		limit = maxReconnectsUnheard
	}
	if s.streak > limit {
		return s.fail()
	}
	return Reconnect
}

func (s *Sequencer) fail() Action {
	s.ended = true
	if s.done {
		return Complete
	}
	return Fail
}

// Silent reports whether the connection carried nothing for too long.
func (s *Sequencer) Silent(now time.Time) bool { return now.Sub(s.heard) >= s.silence }

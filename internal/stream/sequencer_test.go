package stream

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/endivetrack/endivetrack/internal/resultcode"
)

const testSilence = 3 * time.Second

// world is a target with one generation behind connections that misbehave. It
// drives a sequencer the way the relay does.
type world struct {
	t       *rapid.T
	seq     *Sequencer
	now     time.Time
	length  int
	sent    int // next offset on the open connection
	stale   []Input
	got     []int
	finish  int // DeliverFinish actions
	end     Action
	foreign int
}

func (w *world) step(in Input) {
	switch a := w.seq.Step(w.now, in); a {
	case Deliver:
		if in.ID != "g" {
			w.t.Fatalf("token of generation %q delivered", in.ID)
		}
		if w.finish > 0 || w.end != Ignore {
			w.t.Fatalf("token %d delivered after the end", in.Offset)
		}
		w.got = append(w.got, in.Offset)
	case DeliverFinish:
		if in.ID != "g" || in.Offset != w.length {
			w.t.Fatalf("finish %+v", in)
		}
		w.finish++
	case Reconnect:
		w.sent = w.seq.Next()
		w.seq.Connected(w.now)
	case Complete, Fail:
		if w.end != Ignore {
			w.t.Fatalf("a second end %v after %v", a, w.end)
		}
		w.end = a
	}
}

// event lets the present connection do something, right or wrong.
func (w *world) event() {
	conn := w.seq.Conn()
	token := func(id string, offset int) Input { return Input{Conn: conn, Kind: Token, ID: id, Offset: offset} }
	switch rapid.IntRange(0, 11).Draw(w.t, "event") {
	case 0, 1, 2, 3:
		in := token("g", w.sent)
		if w.sent >= w.length {
			in = Input{Conn: conn, Kind: Finish, ID: "g", Offset: w.length}
		} else {
			w.sent++
		}
		w.stale = append(w.stale, in)
		w.step(in)
	case 4: // a duplicate
		w.step(token("g", rapid.IntRange(0, max(w.sent-1, 0)).Draw(w.t, "old")))
	case 5: // a gap
		w.step(token("g", min(w.sent+rapid.IntRange(1, 5).Draw(w.t, "skip"), w.length+5)))
	case 6: // an answer of another generation
		w.foreign++
		w.step(token("other", w.seq.Next()))
	case 7: // silence
		w.now = w.now.Add(testSilence)
		w.step(Input{Conn: conn, Kind: Tick})
	case 8:
		w.step(Input{Conn: conn, Kind: Broken})
	case 9: // a late event of an abandoned connection
		if len(w.stale) > 0 {
			in := rapid.SampledFrom(append(w.stale, Input{Kind: Broken}, Input{Kind: Malformed})).Draw(w.t, "stale")
			in.Conn = conn - 1
			if a := w.seq.Step(w.now, in); a != Ignore {
				w.t.Fatalf("event of an abandoned connection: %v", a)
			}
		}
	case 10: // an end mark where it does not belong
		if w.sent < w.length {
			w.step(Input{Conn: conn, Kind: Done})
		}
	case 11:
		w.step(Input{Conn: conn, Kind: rapid.SampledFrom([]Kind{Activity, Malformed}).Draw(w.t, "kind")})
	}
}

// Guards P1 against any order of duplicates, gaps, crossed ids, silence and
// resets: every token once, in order, from one generation, and nothing after
// the end. A stream reported complete must hold every token.
func TestTokensOnceInOrderFromOneGeneration(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := rapid.IntRange(0, 3).Draw(t, "start")
		length := start + rapid.IntRange(0, 12).Draw(t, "length")
		now := time.Unix(1000, 0)
		w := &world{t: t, now: now, length: length, sent: start, seq: NewSequencer("g", start, testSilence, now)}
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			w.event()
		}
		for i, offset := range w.got {
			if offset != start+i {
				t.Fatalf("delivered %v from %d", w.got, start)
			}
		}
		if w.end == Complete && (w.finish != 1 || len(w.got) != length-start) {
			t.Fatalf("complete with %d of %d tokens and %d finishes", len(w.got), length-start, w.finish)
		}
		if w.end == Fail && w.finish > 0 {
			t.Fatal("a stream whose end was delivered failed")
		}
		if w.seq.Delivered() != len(w.got) {
			t.Fatalf("counts %d tokens, delivered %d", w.seq.Delivered(), len(w.got))
		}
	})
}

// Guards against a stream that hangs or gives up although its target works: on
// connections that break at any point but each bring at least one new token,
// the stream completes.
func TestCompletesWhenEachConnectionMakesProgress(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		length := rapid.IntRange(0, 40).Draw(t, "length")
		now := time.Unix(1000, 0)
		w := &world{t: t, now: now, length: length, seq: NewSequencer("g", 0, testSilence, now)}
		for w.end == Ignore {
			conn := w.seq.Conn()
			for range rapid.IntRange(1, 5).Draw(t, "run") {
				if w.seq.Next() >= length {
					w.step(Input{Conn: conn, Kind: Finish, ID: "g", Offset: length})
					break
				}
				w.step(Input{Conn: conn, Kind: Token, ID: "g", Offset: w.seq.Next()})
			}
			w.step(Input{Conn: conn, Kind: Broken})
		}
		assert.Equal(t, w.end, Complete)
		assert.Equal(t, len(w.got), length)
	})
}

// Guards against a stream that is never given up, and against the wrong code.
func TestGivesUpWithTheRightCode(t *testing.T) {
	for _, c := range []struct {
		name      string
		start     int
		kind      Kind
		id        string
		steps     int
		code      resultcode.Code
		wantSteps int
	}{
		{"broken after tokens", 5, Broken, "g", 100, resultcode.GenerationLost, maxReconnects + 1},
		{"foreign after tokens", 5, Token, "other", 100, resultcode.StreamCorrupt, maxReconnects + 1},
		{"broken before the first token", 0, Broken, "g", 100, resultcode.GenerationLost, maxReconnectsUnheard + 1},
		{"refused before the first token", 0, Refused, "g", 100, resultcode.GenerationLost, 1},
		{"refused after tokens", 5, Refused, "g", 100, resultcode.GenerationLost, maxReconnects + 1},
		{"unknown after tokens", 5, Unknown, "g", 100, resultcode.GenerationLost, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			s := NewSequencer("g", c.start, testSilence, now)
			steps := 0
			for steps < c.steps {
				steps++
				if s.Step(now, Input{Conn: s.Conn(), Kind: c.kind, ID: c.id, Offset: c.start}) == Fail {
					break
				}
			}
			assert.Equal(t, steps, c.wantSteps)
			assert.Equal(t, s.Code(), c.code)
			assert.Equal(t, s.Step(now, Input{Conn: s.Conn(), Kind: Token, ID: "g", Offset: c.start}), Ignore)
		})
	}
}

// Guards the 3 s bound on silence in both directions.
func TestSilenceBound(t *testing.T) {
	now := time.Unix(1000, 0)
	s := NewSequencer("g", 0, testSilence, now)
	tick := func(d time.Duration) Action { return s.Step(now.Add(d), Input{Conn: s.Conn(), Kind: Tick}) }
	assert.Equal(t, tick(testSilence-1), Ignore)
	s.Step(now.Add(testSilence-1), Input{Conn: s.Conn(), Kind: Activity})
	assert.Equal(t, tick(testSilence), Ignore)
	assert.Equal(t, tick(2*testSilence-1), Reconnect)
}

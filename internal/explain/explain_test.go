package explain

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/endivetrack/endivetrack/internal/timeline"
)

const logs = `  1.0 edge-1 {"instance":"e1","request":"r1","target":"i1","time":"2026-10-01T20:14:01.000Z","message":"placed"}
not a line
{"instance":"e1","target":"i1","state":2,"time":"2026-10-01T20:14:02.000Z","message":"target"}
{"instance":"e2","target":"i1","state":2,"time":"2026-10-01T20:14:02.000Z","message":"target"}
{"instance":"e1","request":"r1","target":"i1","status":200,"error":"unexpected EOF","time":"2026-10-01T20:14:04.000Z","message":"attempt failed"}
{"instance":"e1","request":"r1","time":"2026-10-01T20:14:04.000Z","message":"stream cut"}
{"instance":"e1","request":"r2","target":"i2","status":500,"time":"2026-10-01T20:14:03.000Z","message":"attempt failed"}
{"instance":"e1","request":"r2","target":"i3","status":200,"time":"2026-10-01T20:14:03.100Z","message":"answered"}
{"instance":"e1","request":"r3","code":2004,"error":"2004 NO_TARGET: none","time":"2026-10-01T20:14:03.000Z","message":"refused"}
{"instance":"e2","request":"r4","target":"i2","time":"2026-10-01T20:14:05.000Z","message":"placed"}
{"instance":"e2","time":"2026-10-01T20:14:09.000Z","message":"started"}
{"instance":"e1","request":"r5","target":"i2","time":"2026-10-01T20:14:05.000Z","message":"placed"}
{"instance":"e1","request":"r6","target":"i6","error":"unexpected EOF","time":"2026-10-01T20:14:06.000Z","message":"attempt failed"}
{"instance":"e1","request":"r6","time":"2026-10-01T20:14:06.000Z","message":"stream cut"}
{"instance":"e1","request":"r6","from":"i6","to":"i7","error":"EOF","time":"2026-10-01T20:14:06.001Z","message":"run not moved"}
{"instance":"e1","time":"2026-10-01T20:14:09.000Z","message":"stopped"}
`

// Guards against an explanation without the cause of a failure although the logs
// contain it.
func TestExplainCauses(t *testing.T) {
	var l Log
	_, err := l.Read(strings.NewReader(logs))
	assert.NilError(t, err)
	for request, want := range map[string]string{
		"r1": "stream cut: target i1 left at 20:14:02.000; target i1: unexpected EOF",
		"r2": "served whole",
		"r3": "refused with code 2004: 2004 NO_TARGET: none",
		"r4": "the entry instance ended while it served the request (its next line is a start without a stop)",
		"r6": "stream cut: target i6: unexpected EOF; the run was not moved to i7: EOF",
		"r5": "no line tells the end: the logs stop while the request was being served",
	} {
		assert.Equal(t, l.Explain(request).Cause, want)
	}
	assert.Equal(t, len(l.Explain("r1").Lines), 4, "lines of other instances about the target must be left out")
	assert.Equal(t, len(l.Explain("none").Lines), 0)
}

// Guards against a refusal without a trace of the targets that left or wanted no requests,
// which the request never reached, and against naming those that had become usable again.
func TestExplainNamesWhatTargetsHadSaid(t *testing.T) {
	const said = `{"instance":"e1","target":"i1","service":"s","usable":false,"state":1,"says_it_leaves":"request r0","time":"2026-10-01T20:13:02.000Z","message":"target"}
{"instance":"e1","target":"i2","service":"s","source":"request r0","for":3000,"time":"2026-10-01T20:14:02.000Z","message":"target wants no requests"}
{"instance":"e1","target":"i3","service":"s","for":3000,"time":"2026-10-01T20:13:02.000Z","message":"target wants no requests"}
{"instance":"e1","target":"i4","service":"s","usable":false,"state":2,"time":"2026-10-01T20:14:01.000Z","message":"target"}
{"instance":"e1","target":"i4","service":"s","usable":true,"state":1,"time":"2026-10-01T20:14:02.000Z","message":"target"}
{"instance":"e1","target":"i5","service":"other","usable":false,"state":2,"time":"2026-10-01T20:14:01.000Z","message":"target"}
{"instance":"e2","target":"i6","service":"s","usable":false,"state":2,"time":"2026-10-01T20:14:01.000Z","message":"target"}
{"instance":"e1","target":"i10","service":"s","usable":false,"state":3,"time":"2026-10-01T20:13:01.000Z","message":"target"}
{"instance":"e1","target":"i11","service":"s","usable":false,"state":2,"time":"2026-10-01T18:13:01.000Z","message":"target"}
{"instance":"e1","target":"i8","service":"s","limit":2.5,"time":"2026-10-01T20:13:02.500Z","message":"target limit"}
{"instance":"e1","target":"i9","service":"s","limit":2.5,"time":"2026-10-01T20:13:02.500Z","message":"target limit"}
{"instance":"e1","target":"i9","service":"s","limit":0,"time":"2026-10-01T20:13:02.600Z","message":"target limit"}
{"instance":"e1","request":"r1","service":"s","code":2003,"error":"2003 OVERLOADED: x","time":"2026-10-01T20:14:03.000Z","message":"refused"}
{"instance":"e1","target":"i7","service":"s","usable":false,"state":2,"time":"2026-10-01T20:14:04.000Z","message":"target"}
{"instance":"e1","request":"r2","target":"i1","time":"2026-10-01T20:13:01.000Z","message":"placed"}
{"instance":"e1","request":"r2","target":"i1","error":"EOF","time":"2026-10-01T20:13:04.000Z","message":"attempt failed"}
{"instance":"e1","request":"r2","time":"2026-10-01T20:13:04.000Z","message":"stream cut"}
`
	var l Log
	_, err := l.Read(strings.NewReader(said))
	assert.NilError(t, err)
	refused := l.Explain("r1")
	assert.Equal(t, refused.Cause, "refused with code 2003: 2003 OVERLOADED: x; target i1 said that it leaves (request r0), known since 20:13:02.000; target i8 names a limit of 2.5 requests/s; target i2 wants no requests until 20:14:05.000")
	assert.Equal(t, len(refused.Lines), 4)
	assert.Equal(t, l.Explain("r2").Cause, "stream cut: target i1 said that it leaves (request r0), known since 20:13:02.000; target i1: EOF")
}

// Guards against an effect that is listed before its cause because the wall
// clock of one process is behind.
func TestLinesFollowLogicalClock(t *testing.T) {
	const skewed = `{"instance":"e1","request":"r1","target":"i1","time":"2026-10-01T20:14:09.000Z","clock":"1000.4","message":"placed"}
{"instance":"e2","request":"r1","time":"2026-10-01T20:14:01.000Z","clock":"1000.12","message":"answered"}
`
	var l Log
	_, err := l.Read(strings.NewReader(skewed))
	assert.NilError(t, err)
	explanation := l.Explain("r1")
	assert.Equal(t, explanation.Lines[1].Message, "answered")
	assert.Equal(t, explanation.Cause, "served whole")
}

// Guards against a line that is too long preventing the lines after it from being
// read.
func TestLongLinesAreSkipped(t *testing.T) {
	var l Log
	skipped, err := l.Read(strings.NewReader(`{"x":"` + strings.Repeat("x", timeline.MaxLineBytes) + "\"}\n" + logs))
	assert.NilError(t, err)
	assert.Equal(t, skipped, 1)
	assert.Equal(t, l.Explain("r2").Cause, "served whole")
}

// Guards against input that makes Read fail, and against an explanation of a
// logged request that lacks the cause or the lines.
func FuzzRead(f *testing.F) {
	f.Add([]byte(logs))
	f.Fuzz(func(t *testing.T, text []byte) {
		var l Log
		_, err := l.Read(bytes.NewReader(text))
		assert.NilError(t, err)
		for _, line := range l.lines {
			explanation := l.Explain(line.Request)
			assert.Assert(t, explanation.Cause != "")
			assert.Assert(t, len(explanation.Lines) > 0)
		}
	})
}

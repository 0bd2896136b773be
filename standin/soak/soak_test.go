package soak

import (
	"context"
	"fmt"
	"net/http"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivetrack/endivetrack/platform/platformtest"
	"github.com/endivetrack/endivetrack/standin/cluster"
)

// shortSeeds are the part of the soak that make test runs: a fixed seed, and
// each seed that ever failed, with its cause.
var shortSeeds = []uint64{3}

const (
	shortLoad    = 6 * time.Second
	shortTimeout = 3 * time.Minute
)

// Guards against a broken promise under faults in series: the real programs,
// checked from outside.
func TestShortSoak(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), shortTimeout)
	t.Cleanup(cancel)
	bin := t.TempDir()
	assert.NilError(t, cluster.Build(ctx, filepath.Join("..", ".."), bin))
	for _, seed := range shortSeeds {
		r, err := Run(ctx, Options{BinDir: bin, Seed: seed, Size: DefaultSize, Load: shortLoad, Network: Network(0)})
		assert.NilError(t, err)
		assert.Equal(t, len(r.Violations), 0, "%v", r.Violations)
		assert.Assert(t, r.Whole > r.Requests/2, "%+v", r)
	}
}

// scene is a quiet run with one request, to which a case adds one mistake.
func scene() (*checker, *outcome) {
	start := time.Now()
	d := &deployment{size: Size{Controls: 3, Entries: 1}, ledger: &ledger{}, controls: make([]*instance, 0), entries: []*instance{
		{Instance: platformtest.Instance{Name: "entry-1", IP: "127.9.2.1"}},
	}}
	o := &outcome{
		id: "w-1", path: writePath, entry: d.entries[0].CallersAddress(), key: keptKey, connected: true, whole: true,
		sent: start.Add(time.Minute), ended: start.Add(time.Minute + time.Second), status: http.StatusOK,
	}
	d.ledger.add(execution{id: "w-1", target: "t", domain: outOfService, arrived: o.sent})
	op := newOperator(nil)
	return &checker{deployment: d, history: &history{}, operator: op, outcomes: []*outcome{o}}, o
}

// Guards against a check that overlooks a broken promise: each case breaks one.
func TestEachBrokenPromiseIsSeen(t *testing.T) {
	for name, c := range map[string]struct {
		spoil func(c *checker, o *outcome)
		want  string
	}{
		"good": {func(*checker, *outcome) {}, ""},
		"ran twice": {func(c *checker, _ *outcome) {
			c.ledger.add(execution{id: "w-1", target: "u"})
		}, "ran 2 times"},
		"false refusal":  {func(_ *checker, o *outcome) { o.whole, o.status = false, http.StatusServiceUnavailable }, "refused as not run"},
		"without a run":  {func(c *checker, _ *outcome) { c.ledger.executions = nil }, "no target ran it"},
		"wrong answer":   {func(_ *checker, o *outcome) { o.whole, o.err = false, errWrong }, "wrong answer"},
		"cut":            {func(_ *checker, o *outcome) { o.whole, o.err = false, context.DeadlineExceeded }, "no unplanned fault"},
		"not allowed":    {func(_ *checker, o *outcome) { o.whole, o.status = false, http.StatusNotFound }, "refused with 404"},
		"good key":       {func(_ *checker, o *outcome) { o.whole, o.status = false, http.StatusUnauthorized }, "a good key"},
		"key taken away": {func(c *checker, o *outcome) { o.key, c.operator.revokeAcked = revokedKey, o.sent.Add(-3*time.Second) }, "taken away"},
		"key in time":    {func(c *checker, o *outcome) { o.key, c.operator.revokeAcked = revokedKey, o.sent.Add(-2*time.Second) }, ""},
		"domain out":     {func(c *checker, o *outcome) { c.operator.outAcked = o.sent.Add(-6 * time.Second) }, "taken out"},
		"domain in time": {func(c *checker, o *outcome) { c.operator.outAcked = o.sent.Add(-4 * time.Second) }, ""},
		"out of touch": {func(c *checker, o *outcome) {
			c.operator.outAcked = o.sent.Add(-6 * time.Second)
			c.history.spans = append(c.history.spans, &span{what: "entry-1", from: o.sent.Add(-3 * time.Second), until: o.sent.Add(-time.Second)})
		}, ""},
		"cut by a crash": {func(c *checker, o *outcome) {
			o.whole, o.err = false, context.DeadlineExceeded
			c.history.spans = append(c.history.spans, &span{what: everyTarget, from: o.sent})
		}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			checker, o := scene()
			c.spoil(checker, o)
			checker.check()
			got := strings.Join(checker.violations, "; ")
			assert.Assert(t, (c.want == "") == (got == "") && strings.Contains(got, c.want), "got %q, want %q", got, c.want)
		})
	}
}

// Guards against streams that are passed on torn, twice or cut without a sign.
func TestReadStream(t *testing.T) {
	event := func(n int) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", n, eventData("s", n)) }
	var whole strings.Builder
	for n := 1; n <= streamEvents; n++ {
		whole.WriteString(event(n))
	}
	ok, err := readStream(strings.NewReader(whole.String()), "s")
	assert.NilError(t, err)
	assert.Assert(t, ok)
	for name, text := range map[string]string{
		"short":   event(1) + event(2),
		"gap":     event(1) + event(3),
		"twice":   event(1) + event(1),
		"foreign": "id: 1\ndata: other\n\n",
	} {
		_, err := readStream(strings.NewReader(text), "s")
		assert.ErrorIs(t, err, errWrong, name)
	}
}

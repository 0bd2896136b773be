package statement

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestQuietTimesThatRetryAfterNames(t *testing.T) {
	now := time.Date(2026, 12, 5, 12, 0, 0, 0, time.UTC)
	date := func(d time.Duration) string { return now.Add(d).Format(http.TimeFormat) }
	for _, c := range []struct {
		values []string
		want   time.Duration
		ok     bool
	}{
		{nil, 0, true},
		{[]string{"3"}, 3 * time.Second, true},
		{[]string{" 2.5 "}, 2500 * time.Millisecond, true},
		{[]string{"0"}, 0, true},
		{[]string{"-4"}, 0, true},
		{[]string{"1e2"}, 100 * time.Second, true},
		{[]string{"1e999"}, MaxQuiet, true},
		{[]string{"99999999999999999999"}, MaxQuiet, true},
		{[]string{"1", "4", "2"}, 4 * time.Second, true},
		{[]string{date(7 * time.Second)}, 7 * time.Second, true},
		{[]string{date(-time.Hour)}, 0, true},
		{[]string{date(48 * time.Hour)}, MaxQuiet, true},
		{[]string{"soon", "4", ""}, 4 * time.Second, false},
		{[]string{""}, 0, false},
		{[]string{"soon"}, 0, false},
		{[]string{"NaN"}, 0, false},
		{[]string{"Inf"}, 0, false},
		{[]string{"0x10"}, 0, false},
		{[]string{"1_000"}, 0, false},
		{[]string{"3 s"}, 0, false},
		{[]string{strings.Repeat("9", 10_000)}, MaxQuiet, true},
	} {
		got, ok := Quiet(http.Header{"Retry-After": c.values}, now)
		assert.Equal(t, ok, c.ok, "%.40v", c.values)
		assert.Equal(t, got, c.want, "%.40v", c.values)
	}
	skewed := http.Header{"Retry-After": {date(time.Hour + 5*time.Second)}, "Date": {date(time.Hour)}}
	got, ok := Quiet(skewed, now)
	assert.Assert(t, ok && got == 5*time.Second, "the target's clock is an hour ahead")
}

package session

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/resultcode"
	"github.com/endivetrack/endivetrack/internal/settings"
)

// difference is an answer that gives revision by its difference to the one before.
func difference(version, revision uint64, base, next []byte) *api.RenewResponse {
	d := settings.Diff(base, next)
	r := renewal(version, revision, d.Middle)
	ts := r.Settings[0]
	ts.BaseRevision, ts.KeepPrefix, ts.KeepSuffix, ts.TextHash = revision-1, uint32(d.KeepPrefix), uint32(d.KeepSuffix), d.Hash
	return r
}

// Guards against settings put in force that were made from a difference to
// another revision. Caught mutations: textOf without the check of the base;
// Delta.Apply without the hash.
func TestDifferenceNeedsItsBase(t *testing.T) {
	s, now, scope := opened()
	assert.NilError(t, s.accept(7, *now, renewal(10, 3, settingsText(3))))
	assert.NilError(t, s.accept(7, *now, difference(11, 4, settingsText(3), settingsText(4))))
	assert.Equal(t, s.View().Teams["t"].Settings.Policy.ReplayHours, 4)

	err := s.accept(7, *now, difference(13, 6, settingsText(5), settingsText(6)))
	assert.Equal(t, resultcode.From(err).Code, resultcode.InvariantViolation)
	assert.Equal(t, violations(scope), int64(1))
	err = s.accept(7, *now, difference(13, 5, settingsText(117), settingsText(115)))
	assert.Equal(t, resultcode.From(err).Code, resultcode.MessageMalformed)
	assert.Equal(t, s.View().Teams["t"].Settings.Policy.ReplayHours, 4)
}

// Guards against a false alarm: the answers to two parallel renewals both give
// the same revision as a difference, the second one with a newer version.
func TestSameDifferenceTwice(t *testing.T) {
	s, now, scope := opened()
	assert.NilError(t, s.accept(7, *now, renewal(10, 3, settingsText(3))))
	assert.NilError(t, s.accept(7, *now, difference(11, 4, settingsText(3), settingsText(4))))
	assert.NilError(t, s.accept(7, *now, difference(12, 4, settingsText(3), settingsText(4))))
	assert.Equal(t, s.View().Version, uint64(12))
	assert.Equal(t, violations(scope), int64(0))
}

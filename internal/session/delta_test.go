package session

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/resultcode"
	"github.com/endivetrack/endivetrack/internal/settings"
)

// deltaResponse returns a response that contains the settings of the given
// revision, whose text is next, as a delta from the revision before it, whose
// text is base.
func deltaResponse(version, revision uint64, base, next []byte) *api.RenewResponse {
	d := settings.Diff(base, next)
	r := renewResponse(version, revision, d.Middle)
	ts := r.Settings[0]
	ts.BaseRevision, ts.KeepPrefix, ts.KeepSuffix, ts.TextHash = revision-1, uint32(d.KeepPrefix), uint32(d.KeepSuffix), d.Hash
	return r
}

// Guards against applying a settings delta to a revision other than the one it
// was computed from.
// Mutations that this test detects: fullSettingsText does not check the base
// revision; Delta.Apply does not check the hash.
func TestSettingsDeltaRequiresItsBaseRevision(t *testing.T) {
	s, now, scope := newOpenSession()
	assert.NilError(t, s.applyRenewal(7, *now, renewResponse(10, 3, settingsText(3))))
	assert.NilError(t, s.applyRenewal(7, *now, deltaResponse(11, 4, settingsText(3), settingsText(4))))
	assert.Equal(t, s.View().Teams["t"].Settings.Policy.ReplayHours, 4)

	err := s.applyRenewal(7, *now, deltaResponse(13, 6, settingsText(5), settingsText(6)))
	assert.Equal(t, resultcode.From(err).Code, resultcode.InvariantViolation)
	assert.Equal(t, invariantViolations(scope), int64(1))
	err = s.applyRenewal(7, *now, deltaResponse(13, 5, settingsText(117), settingsText(115)))
	assert.Equal(t, resultcode.From(err).Code, resultcode.MessageMalformed)
	assert.Equal(t, s.View().Teams["t"].Settings.Policy.ReplayHours, 4)
}

// Guards against a false invariant violation when the responses to two parallel
// renewals both contain the same revision as a delta, the second response with a
// newer version.
func TestSameSettingsDeltaAppliedTwice(t *testing.T) {
	s, now, scope := newOpenSession()
	assert.NilError(t, s.applyRenewal(7, *now, renewResponse(10, 3, settingsText(3))))
	assert.NilError(t, s.applyRenewal(7, *now, deltaResponse(11, 4, settingsText(3), settingsText(4))))
	assert.NilError(t, s.applyRenewal(7, *now, deltaResponse(12, 4, settingsText(3), settingsText(4))))
	assert.Equal(t, s.View().Version, uint64(12))
	assert.Equal(t, invariantViolations(scope), int64(0))
}

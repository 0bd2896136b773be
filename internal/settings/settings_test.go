package settings

import (
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/endivetrack/endivetrack/internal/peerauth"
	"github.com/endivetrack/endivetrack/internal/resultcode"
)

var digest = peerauth.Digest("a key that is long enough for a test")

// validText is a small, complete settings text.
var validText = `team = "balle-sahel"
operator_key_sha256 = ["` + digest + `"]
[failure_domains.dakar-a]
region = "dakar"
[failure_domains.kaolack-a]
region = "kaolack"
in_service = false
[services.assistant-llm]
kind = "engine"
models = ["appraiser"]
target_key_sha256 = ["` + digest + `"]
[services.auction-core]
kind = "plain"
protected_paths = ["/bids"]
target_key_sha256 = ["` + digest + `"]
[classes.check]
priority = 8
short = true
[accounts.louga]
key_sha256 = ["` + digest + `"]
default_class = "check"
services = ["assistant-llm"]
`

func TestParseFillsDefaults(t *testing.T) {
	s, err := Parse("t.toml", []byte(validText))
	assert.NilError(t, err)
	assert.Assert(t, s.FailureDomainInService("dakar-a"))
	assert.Assert(t, !s.FailureDomainInService("kaolack-a"))
	assert.Assert(t, !s.FailureDomainInService("unknown"), "unknown failure domains must not get work")
	assert.DeepEqual(t, s.Regions(), []string{"dakar", "kaolack"})
	assert.Equal(t, s.Services["assistant-llm"].Shards, 1)
	assert.Equal(t, s.Policy.RetryPercent, 10)
	name, ok := s.ServiceForModel("appraiser")
	assert.Assert(t, ok && name == "assistant-llm")
}

// Guards against accepting invalid settings, and against errors that do not name
// the file, the key and the value.
func TestParseRefuses(t *testing.T) {
	for _, c := range []struct {
		name, from, to string
		code           resultcode.Code
		mention        []string
	}{
		{"malformed", `team = "balle-sahel"`, `team = `, resultcode.SettingsMalformed, []string{"t.toml", "line 1", "team"}},
		{"wrong type", `priority = 8`, `priority = "high"`, resultcode.SettingsMalformed, []string{"t.toml", "priority"}},
		{"unknown key", `priority = 8`, `priorty = 8`, resultcode.SettingsUnknownKey, []string{"t.toml", "classes.check.priorty"}},
		{"priority", `priority = 8`, `priority = 10`, resultcode.SettingsInvalid, []string{"classes.check.priority", "10"}},
		{"class", `default_class = "check"`, `default_class = "chek"`, resultcode.SettingsInvalid, []string{"accounts.louga.default_class", "chek"}},
		{"service", `services = ["assistant-llm"]`, `services = ["x"]`, resultcode.SettingsInvalid, []string{"accounts.louga.services", `"x"`}},
		{"digest", `key_sha256 = ["` + digest + `"]` + "\ndefault", `key_sha256 = ["plain-key"]` + "\ndefault", resultcode.SettingsInvalid, []string{"accounts.louga.key_sha256", "plain-key"}},
		{"kind", `kind = "plain"`, `kind = "other"`, resultcode.SettingsInvalid, []string{"services.auction-core.kind", "other"}},
		{"path", `"/bids"`, `"bids"`, resultcode.SettingsInvalid, []string{"protected_paths", "bids"}},
		{"name", `[accounts.louga]`, `[accounts."Lou ga"]`, resultcode.SettingsInvalid, []string{"accounts", "Lou ga"}},
		{"region", `region = "kaolack"`, `region = ""`, resultcode.SettingsInvalid, []string{"failure_domains.kaolack-a.region"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			text := strings.Replace(validText, c.from, c.to, 1)
			assert.Assert(t, text != validText, "the case does not change the text")
			_, err := Parse("t.toml", []byte(text))
			var coded *resultcode.Error
			assert.Assert(t, errors.As(err, &coded), "error %v has no code", err)
			assert.Equal(t, coded.Code, c.code, coded.Message)
			for _, m := range c.mention {
				assert.Assert(t, strings.Contains(coded.Message, m), "%q does not mention %q", coded.Message, m)
			}
		})
	}
}

// Guards against accepting one key for two accounts.
func TestParseRefusesSharedKey(t *testing.T) {
	text := validText + "[accounts.kaolack]\nkey_sha256 = [\"" + digest + "\"]\ndefault_class = \"check\"\n"
	_, err := Parse("t.toml", []byte(text))
	assert.ErrorContains(t, err, "is also the key of account")
}

func TestParseRefusesLargeInput(t *testing.T) {
	_, err := Parse("t.toml", make([]byte, MaxBytes+1))
	assert.ErrorContains(t, err, "at most")
}

// Guards against a panic on malformed settings, and against accepting an account
// whose default class does not exist.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validText))
	f.Add([]byte("team = \"x\"\n[services.a]\nkind = \"engine\"\n"))
	f.Add([]byte("[[accounts]]\n"))
	f.Add([]byte("team = 1\n\x00"))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := Parse("fuzz.toml", text)
		if err != nil {
			var coded *resultcode.Error
			assert.Assert(t, errors.As(err, &coded), "error %v has no code", err)
			return
		}
		for name, a := range s.Accounts {
			_, ok := s.Classes[a.DefaultClass]
			assert.Assert(t, ok, "account %q has class %q", name, a.DefaultClass)
		}
	})
}

// Guards against a documented default that is not applied, and against a zero that is
// taken for a missing value.
func TestZeroIsAValueOfItsOwn(t *testing.T) {
	without, err := Parse("t.toml", []byte(strings.Replace(validText, "priority = 8\n", "", 1)))
	assert.NilError(t, err)
	assert.Equal(t, without.Classes["check"].Priority, defaultPriority)
	zero, err := Parse("t.toml", []byte(strings.Replace(validText, "priority = 8", "priority = 0", 1)+"[policy]\nretry_percent = 0\n"))
	assert.NilError(t, err)
	assert.Equal(t, zero.Classes["check"].Priority, 0)
	assert.Equal(t, zero.Policy.RetryPercent, 0)
}

package manifest

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivetrack/endivetrack/internal/resultcode"
)

func validManifest() *Manifest {
	return &Manifest{
		Version: 3,
		Routes: []Route{
			{Name: "all", Host: "Shop.Example", PathPrefix: "/", Kind: Idempotent, Timeout: time.Second, Split: []Share{{"core", 1}}},
			{Name: "lots", Host: "shop.example", PathPrefix: "/lots/", Kind: Streaming, Timeout: time.Second, Split: []Share{{"core", 0}, {"llm", 3}}},
		},
		Services: []Service{{Name: "core"}, {Name: "llm"}},
		Accounts: []ClientAccount{{Name: "x", Keys: []string{"k1", "k2"}}, {Name: "y", Keys: []string{"k3"}}},
	}
}

// Guards against accepting a manifest that has no valid service for a request or
// is otherwise invalid.
func TestInvalidManifestsAreRefused(t *testing.T) {
	assert.NilError(t, validManifest().Validate())
	for name, invalidate := range map[string]func(*Manifest){
		"unknown service":  func(m *Manifest) { m.Routes[0].Split[0].Service = "none" },
		"same place":       func(m *Manifest) { m.Routes[1].PathPrefix = "/" },
		"no weight":        func(m *Manifest) { m.Routes[1].Split[1].Weight = 0 },
		"negative weight":  func(m *Manifest) { m.Routes[1].Split[0].Weight = -1 },
		"no timeout":       func(m *Manifest) { m.Routes[0].Timeout = 0 },
		"unknown kind":     func(m *Manifest) { m.Routes[0].Kind = 0 },
		"prefix":           func(m *Manifest) { m.Routes[0].PathPrefix = "/lots" },
		"shared key":       func(m *Manifest) { m.Accounts[1].Keys = []string{"k2"} },
		"unnamed service":  func(m *Manifest) { m.Services[0].Name = "" },
		"repeated service": func(m *Manifest) { m.Services[1].Name = "core" },
	} {
		m := validManifest()
		invalidate(m)
		err := m.Validate()
		assert.Assert(t, err != nil, name)
		assert.Equal(t, resultcode.From(err).Code, resultcode.SettingsInvalid, name)
	}
}

// Guards against a request that is routed by a shorter prefix, and against
// prefixes that match a part of a path segment.
func TestRouteMatchesLongestPrefix(t *testing.T) {
	x := NewIndex(validManifest())
	for path, want := range map[string]string{"/lots/7": "lots", "/lots/": "lots", "/lots": "all", "/lotsandmore": "all", "/": "all"} {
		r, ok := x.Route("shop.example:8080", path)
		assert.Assert(t, ok, path)
		assert.Equal(t, r.Name, want, path)
	}
	_, ok := x.Route("other.example", "/lots/")
	assert.Assert(t, !ok)
}

// Guards against wrong selection at the bounds between weights.
func TestPickFollowsWeights(t *testing.T) {
	r := Route{Split: []Share{{"a", 0}, {"b", 1}, {"c", 3}}}
	for point, want := range map[float64]string{0: "b", 0.2499: "b", 0.25: "c", 0.9999: "c"} {
		assert.Equal(t, r.Pick(point), want, "%v", point)
	}
}

func TestAccountByKey(t *testing.T) {
	x := NewIndex(validManifest())
	a, ok := x.Account("k2")
	assert.Assert(t, ok)
	assert.Equal(t, a.Name, "x")
	_, ok = x.Account("")
	assert.Assert(t, !ok)
}

func TestCopyTime(t *testing.T) {
	e := Engine{BytesPerToken: 18432, LinkMbps: 2700}
	assert.Equal(t, e.CopyTime(10_000).Round(time.Millisecond), 546*time.Millisecond)
	assert.Equal(t, (&Engine{}).CopyTime(10_000), time.Duration(0))
}

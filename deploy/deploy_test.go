// Package deploy tests the files of the example deployments.
package deploy

import (
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/endivetrack/endivetrack/internal/peerauth"
	"github.com/endivetrack/endivetrack/internal/process"
	"github.com/endivetrack/endivetrack/internal/settings"
	"github.com/endivetrack/endivetrack/standin/loadgen"
)

var digestPlaceholder = regexp.MustCompile(`@sha256:([a-z0-9.-]+)@`)

// Guards against example deployments with settings that the system refuses, with
// keys or digests in their files, or with instances or load profiles that do not
// match the settings.
func TestDeploymentsAreConsistent(t *testing.T) {
	for _, d := range []struct {
		name                                            string
		engines, entries, failureDomains, largeAccounts int
	}{{"balle-sahel", 20, 7, 3, 3}, {"maktabat", 12, 6, 3, 3}} {
		t.Run(d.name, func(t *testing.T) {
			text, err := os.ReadFile(d.name + "/settings.toml")
			assert.NilError(t, err)
			assert.Assert(t, !regexp.MustCompile(`[0-9a-f]{32}`).Match(text), "a key or digest is in the repository")
			rendered := digestPlaceholder.ReplaceAllFunc(text, func(m []byte) []byte { return []byte(peerauth.Digest(string(m))) })
			team, err := settings.Parse(d.name, rendered)
			assert.NilError(t, err)
			assert.Equal(t, team.Team, d.name)
			assert.Equal(t, len(team.Accounts), 10)
			assert.Equal(t, len(team.FailureDomains), d.failureDomains)
			checkLoad(t, d.name, team, d.largeAccounts)
			kinds := countInstances(t, d.name, team)
			assert.DeepEqual(t, kinds, map[string]int{"control": 3, "entry": d.entries, "engine": d.engines, "service": 3})
		})
	}
}

// countInstances counts the instances by kind. It checks their regions, failure
// domains and addresses, and that each failure domain has all four kinds of
// instances.
func countInstances(t *testing.T, name string, team *settings.Team) map[string]int {
	t.Helper()
	text, err := os.ReadFile(name + "/instances.txt")
	assert.NilError(t, err)
	countByKind, seen, perDomain := map[string]int{}, map[string]bool{}, map[string]bool{}
	for _, line := range strings.Split(strings.TrimSpace(string(text)), "\n") {
		if strings.HasPrefix(line, "#") {
			continue
		}
		f := strings.Fields(line)
		assert.Equal(t, len(f), 5, line)
		assert.Equal(t, team.FailureDomains[f[3]].Region, f[2], line)
		assert.NilError(t, process.CheckAddress(f[4]))
		assert.Assert(t, !seen[f[1]] && !seen[f[4]], line)
		seen[f[1]], seen[f[4]] = true, true
		countByKind[f[0]]++
		perDomain[f[0]+" "+f[3]] = true
	}
	assert.Equal(t, len(perDomain), 4*len(team.FailureDomains), "every kind in every failure domain")
	return countByKind
}

func checkLoad(t *testing.T, name string, team *settings.Team, largeAccounts int) {
	t.Helper()
	p, err := loadgen.LoadProfile(name + "/load.toml")
	assert.NilError(t, err)
	engines, ok := team.ServiceForModel(p.Model)
	assert.Assert(t, ok)
	assert.Equal(t, string(team.Services[engines].Kind), "engine")
	assert.Equal(t, fmt.Sprint(team.Services[p.PlainService].ProtectedPaths), fmt.Sprint(p.WritePaths))
	share := 0.0
	for i, a := range p.Accounts {
		_, ok := team.Accounts[a.Name]
		assert.Assert(t, ok, a.Name)
		if i < largeAccounts {
			share += a.Share
		}
	}
	assert.Assert(t, share > 50, "the large accounts send %v in 100", share)
	for _, c := range p.Classes {
		assert.Equal(t, team.Classes[c.Name].Short, c.Short, c.Name)
		assert.Assert(t, c.MaxTokens <= team.Classes[c.Name].MaxTokens)
	}
	for _, location := range p.Locations {
		assert.Equal(t, team.FailureDomains[location.FailureDomain].Region, location.Region)
	}
}

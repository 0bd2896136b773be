package command

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/endivetrack/endivetrack/internal/process"
	"github.com/endivetrack/endivetrack/internal/resultcode"
	"github.com/endivetrack/endivetrack/internal/settings"
)

// Guards against a crash on a malformed announcement, and against accepting an
// announcement with an invalid address, name or failure domain. Requests would then be
// sent to an address that is not a target of the team.
func FuzzAnnouncement(f *testing.F) {
	f.Add([]byte(`{"target":"engine-01","incarnation":"1","address":"127.0.0.1:9000","region":"dakar","failure_domain":"dakar-a","models":["m"]}`))
	f.Add([]byte(`{"target":"engine-01","incarnation":"1","address":"127.0.0.1:http","region":"dakar","failure_domain":"dakar-a"}`))
	f.Add([]byte(`{"target":"engine-01","incarnation":"1","address":"127.0.0.1:9000","region":"dakar","failure_domain":"dakar-a","cache_events":[{"sequence":1,"prefix_hashes":["00c0ffee00c0ffee"]}]}`))
	f.Add([]byte(`{"target":"../x","max_running":-1}`))
	f.Add([]byte(`{"target":1e999`))
	team := &settings.Team{FailureDomains: map[string]settings.FailureDomain{"dakar-a": {Region: "dakar"}}}
	service := settings.Service{Kind: settings.KindEngine, Models: []string{"m"}, Shards: 1}
	f.Fuzz(func(t *testing.T, data []byte) {
		body, err := decodeAnnouncement(data)
		if err == nil {
			_, err = body.validate(team, service, "dakar")
		}
		if err != nil {
			code := resultcode.From(err).Code
			assert.Assert(t, code == resultcode.AnnouncementMalformed || code == resultcode.AnnouncementAddress, "%v", err)
			return
		}
		assert.Equal(t, body.FailureDomain, "dakar-a")
		assert.NilError(t, process.CheckAddress(body.Address))
		assert.Assert(t, settings.ValidName(body.Target))
	})
}

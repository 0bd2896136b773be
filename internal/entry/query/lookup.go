// Package query serves the calls that change nothing: addresses, status,
// metrics, events and the place of a generation.
package query

import (
	"strings"

	"github.com/endivetrack/endivetrack/internal/entry/access"
	"github.com/endivetrack/endivetrack/internal/settings"
	"github.com/endivetrack/endivetrack/internal/stream"
)

// Place is where a generation runs.
type Place struct {
	Service string
	Target  string
	Unique  string
}

// Locate reads the place of a generation from its id. Only services that the
// account may call are considered, so ids of other teams are unknown. When two
// services fit, because one's name continues the other's, the longer name is
// taken: target names with dots are the exception.
func Locate(who *access.Identity, id string) (Place, bool) {
	var best Place
	for name, service := range who.Team.Services {
		if service.Kind != settings.KindEngine || !who.MayCall(name) {
			continue
		}
		target, unique, ok := stream.SplitID(id, name)
		if ok && len(name) > len(best.Service) && !strings.ContainsAny(target+unique, "/?#% ") {
			best = Place{Service: name, Target: target, Unique: unique}
		}
	}
	return best, best.Service != ""
}

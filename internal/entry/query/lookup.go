// Package query serves the read-only API calls (addresses, status, health, metrics and
// events) and derives the location of a generation from its id.
package query

import (
	"strings"

	"github.com/endivetrack/endivetrack/internal/entry/access"
	"github.com/endivetrack/endivetrack/internal/settings"
	"github.com/endivetrack/endivetrack/internal/stream"
)

// Location identifies the target at which a generation runs. UniquePart is the last part
// of the generation id.
type Location struct {
	Service    string
	Target     string
	UniquePart string
}

// Locate derives the location of a generation from its id. It reports false if the id is
// malformed or names no engine service that the account may call, so ids of other teams
// are not found. If two services match because one name is a prefix of the other, the
// longer name wins, since target names rarely contain dots.
func Locate(identity *access.Identity, id string) (Location, bool) {
	var best Location
	for name, service := range identity.Team.Services {
		if service.Kind != settings.KindEngine || !identity.MayCall(name) {
			continue
		}
		target, unique, ok := stream.SplitID(id, name)
		if ok && len(name) > len(best.Service) && settings.ValidName(target) && isUniquePart(unique) {
			best = Location{Service: name, Target: target, UniquePart: unique}
		}
	}
	return best, best.Service != ""
}

// isUniquePart reports whether all characters of s occur in the unique parts that instances
// make. A forged one would reach messages between instances and requests to targets.
func isUniquePart(s string) bool {
	return strings.Trim(s, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789~_-") == ""
}

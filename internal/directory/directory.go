// Package directory decides which instances callers are sent to.
package directory

import (
	"time"

	"github.com/endivetrack/endivetrack/internal/fleet"
)

const (
	// TTL is how long a caller may keep an answer. Some keep it three times as
	// long, which must stay below the time that a stopping instance serves on.
	TTL = time.Second
	// maxAddresses bounds an answer.
	maxAddresses = 64
	// leastChoice is how many addresses an answer offers if there are as many:
	// a caller whose only instance fails has to ask again first.
	leastChoice = 2
)

// Caller is where a caller is.
type Caller struct {
	Region        string
	FailureDomain string
}

// Addresses returns where a caller should connect: the live instances of its
// failure domain, those of its region if there are too few, and all others
// only if the region has none, since bytes between regions are paid for.
func Addresses(live []fleet.Watcher, c Caller) []string {
	domain := pick(live, func(w fleet.Watcher) bool { return w.FailureDomain == c.FailureDomain })
	if len(domain) >= leastChoice {
		return domain
	}
	region := pick(live, func(w fleet.Watcher) bool { return w.Region == c.Region })
	if len(region) > 0 {
		return region
	}
	return pick(live, func(fleet.Watcher) bool { return true })
}

func pick(live []fleet.Watcher, want func(fleet.Watcher) bool) []string {
	var out []string
	for _, w := range live {
		if want(w) && len(out) < maxAddresses {
			out = append(out, w.Address)
		}
	}
	return out
}

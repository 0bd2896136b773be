// Package directory selects the entry instances to which a caller connects.
package directory

import (
	"time"

	"github.com/endivetrack/endivetrack/internal/fleet"
)

const (
	// TTL is how long a caller may cache a response. Some callers cache it for
	// 3*TTL, so a stopping instance must continue to serve for longer than that.
	TTL = time.Second
	// maxAddresses bounds the number of addresses in a response.
	maxAddresses = 64
	// minAddresses is the number of addresses to return if enough exist. A caller
	// with one address must query again before it can retry after a failure.
	minAddresses = 2
)

// Location is the region and failure domain of a caller.
type Location struct {
	Region        string
	FailureDomain string
}

// Addresses returns the addresses to which a caller should connect: those of the
// live instances in its failure domain. If there are fewer than minAddresses, it
// returns those of all live instances in the caller's region. Only if the region
// has none does it return those of other regions, because traffic between regions
// costs money.
func Addresses(live []fleet.Watcher, caller Location) []string {
	domain := addressesWhere(live, func(w fleet.Watcher) bool { return w.FailureDomain == caller.FailureDomain })
	if len(domain) >= minAddresses {
		return domain
	}
	region := addressesWhere(live, func(w fleet.Watcher) bool { return w.Region == caller.Region })
	if len(region) > 0 {
		return region
	}
	return addressesWhere(live, func(fleet.Watcher) bool { return true })
}

// addressesWhere returns the addresses of the first maxAddresses instances that
// match.
func addressesWhere(live []fleet.Watcher, match func(fleet.Watcher) bool) []string {
	var out []string
	for _, w := range live {
		if match(w) && len(out) < maxAddresses {
			out = append(out, w.Address)
		}
	}
	return out
}

package session

import (
	"slices"
	"time"

	"github.com/endivetrack/endivetrack/api"
)

// avoidFor is how long a control instance that did not answer is asked last.
const avoidFor = 5 * time.Second

// addressList chooses the control instance to ask: the leader when it is in
// this region, else an instance in this region, which fetches from the leader
// over the link between regions what all sessions here need.
type addressList struct {
	region     string
	configured []string
	all        []string             // the leader first
	regions    map[string]string    // of the instances that have answered
	avoid      map[string]time.Time // until when
	tried      map[string]bool      // since the last answer
}

func newAddressList(region string, configured []string) addressList {
	return addressList{
		region:     region,
		configured: configured,
		all:        slices.Clone(configured),
		regions:    map[string]string{},
		avoid:      map[string]time.Time{},
		tried:      map[string]bool{},
	}
}

// next returns the instance to ask and marks it as tried. Each is asked once
// before any is asked again without an answer between.
func (l *addressList) next(now time.Time) string {
	if len(l.all) == 0 {
		return ""
	}
	if !slices.ContainsFunc(l.all, func(a string) bool { return !l.tried[a] }) {
		clear(l.tried)
	}
	best, bestRank := "", 0
	for i, a := range l.all {
		if l.tried[a] {
			continue
		}
		if r := l.rank(a, i == 0, now); best == "" || r < bestRank {
			best, bestRank = a, r
		}
	}
	l.tried[best] = true
	return best
}

// rank orders the instances; the lowest is asked first.
func (l *addressList) rank(address string, leader bool, now time.Time) int {
	const lastResort = 10
	rank := 0
	if !now.After(l.avoid[address]) {
		rank = lastResort
	}
	region, known := l.regions[address]
	here := region == l.region
	switch {
	case leader && (here || !known):
		return rank
	case here:
		return rank + 1
	case !known:
		return rank + 2
	case leader:
		return rank + 3
	}
	return rank + 4
}

func (l *addressList) failed(address string, now time.Time) { l.avoid[address] = now.Add(avoidFor) }

// silent notes the instances that had not answered when answered did.
func (l *addressList) silent(outstanding map[string]int, answered string, now time.Time) {
	for a := range outstanding {
		if a != answered {
			l.failed(a, now)
		}
	}
}

// answered takes over the list of an answer. The configured instances stay at
// its end: the named ones may all be replaced while this process cannot reach
// any.
func (l *addressList) answered(address string, resp *api.RenewResponse) {
	clear(l.tried)
	delete(l.avoid, address)
	if r := resp.GetAnsweredRegion(); r != "" {
		l.regions[address] = r
	}
	if named := resp.GetControlAddresses(); len(named) > 0 {
		l.all = slices.Clone(named)
	}
	for _, a := range l.configured {
		if !slices.Contains(l.all, a) {
			l.all = append(l.all, a)
		}
	}
	for a := range l.avoid {
		if !slices.Contains(l.all, a) {
			delete(l.avoid, a)
		}
	}
	for a := range l.regions {
		if !slices.Contains(l.all, a) {
			delete(l.regions, a)
		}
	}
}

package session

import (
	"slices"
	"time"

	"github.com/endivetrack/endivetrack/api"
)

// avoidDuration is how long a control instance that failed to respond is only
// used as a last resort.
const avoidDuration = 5 * time.Second

// addressList selects the control instance to call: the leader if it is in this
// region, otherwise an instance in this region. That instance forwards renewals
// to the leader, but it fills the response with the settings, instances and
// assignments from its own copy of the state, so that these are transferred
// over the inter-region link once and not once per session.
type addressList struct {
	region          string
	configured      []string
	candidates      []string             // addresses of the control instances to call, leader first
	regionByAddress map[string]string    // by address: region of the control instance, once it has responded
	avoidUntil      map[string]time.Time // by address: time until which it is only called as a last resort
	tried           map[string]bool      // addresses called since the last response to any call
}

func newAddressList(region string, configured []string) addressList {
	return addressList{
		region:          region,
		configured:      configured,
		candidates:      slices.Clone(configured),
		regionByAddress: map[string]string{},
		avoidUntil:      map[string]time.Time{},
		tried:           map[string]bool{},
	}
}

// next returns the address of the control instance to call and marks it as
// tried. No address is returned a second time before all have been tried or one
// has responded. It returns "" if there are no addresses.
func (l *addressList) next(now time.Time) string {
	if len(l.candidates) == 0 {
		return ""
	}
	if !slices.ContainsFunc(l.candidates, func(a string) bool { return !l.tried[a] }) {
		clear(l.tried)
	}
	best, bestRank := "", 0
	for i, a := range l.candidates {
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

// rank returns the position of a control instance in the order of preference;
// the instance with the lowest rank is called first.
func (l *addressList) rank(address string, leader bool, now time.Time) int {
	const avoidPenalty = 10
	rank := 0
	if !now.After(l.avoidUntil[address]) {
		rank = avoidPenalty
	}
	region, regionKnown := l.regionByAddress[address]
	sameRegion := region == l.region
	switch {
	case leader && (sameRegion || !regionKnown):
		return rank
	case sameRegion:
		return rank + 1
	case !regionKnown:
		return rank + 2
	case leader:
		return rank + 3
	}
	return rank + 4
}

// markFailed makes the control instance a last resort for avoidDuration.
func (l *addressList) markFailed(address string, now time.Time) {
	l.avoidUntil[address] = now.Add(avoidDuration)
}

// markSilent marks as failed all control instances whose calls are outstanding,
// except the one at the address answered, which has just responded.
func (l *addressList) markSilent(callsByAddress map[string]int, answered string, now time.Time) {
	for a := range callsByAddress {
		if a != answered {
			l.markFailed(a, now)
		}
	}
}

// recordResponse replaces the candidates with the control addresses in the
// response. The configured addresses stay at the end of the list, because all
// instances in the response may be replaced while this process cannot reach any
// of them.
func (l *addressList) recordResponse(address string, resp *api.RenewResponse) {
	clear(l.tried)
	delete(l.avoidUntil, address)
	if r := resp.GetAnsweredRegion(); r != "" {
		l.regionByAddress[address] = r
	}
	if current := resp.GetControlAddresses(); len(current) > 0 {
		l.candidates = slices.Clone(current)
	}
	for _, a := range l.configured {
		if !slices.Contains(l.candidates, a) {
			l.candidates = append(l.candidates, a)
		}
	}
	for a := range l.avoidUntil {
		if !slices.Contains(l.candidates, a) {
			delete(l.avoidUntil, a)
		}
	}
	for a := range l.regionByAddress {
		if !slices.Contains(l.candidates, a) {
			delete(l.regionByAddress, a)
		}
	}
}

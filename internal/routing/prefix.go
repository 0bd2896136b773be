package routing

import (
	"time"

	"github.com/endivetrack/endivetrack/api"
)

// Rules of the prefix record.
const (
	// maxPrefixes bounds the record of one target.
	maxPrefixes = 8192
	// eventLag is how late cache events may come: an eviction that comes
	// sooner after the last use may be older than that use.
	eventLag = 2 * time.Second
	// unconfirmedTrust is the weight of records that may have been evicted in
	// a gap of the event sequence.
	unconfirmedTrust = 0.5
)

// PrefixRecord estimates which prompt prefixes one target has in its cache. It
// is written by what the owner sends there and corrected by the target's cache
// events, which come late and with gaps.
type PrefixRecord struct {
	used     map[uint64]time.Time // last use of each prefix
	order    []prefixUse          // uses in order of time, for eviction
	sequence uint64               // of the newest event
	gap      time.Time            // of the last gap found
}

type prefixUse struct {
	hash uint64
	at   time.Time
}

// NewPrefixRecord returns an empty record.
func NewPrefixRecord() *PrefixRecord { return &PrefixRecord{used: map[uint64]time.Time{}} }

// Sent records that a request with these prefixes was sent to the target.
func (p *PrefixRecord) Sent(hashes []uint64, now time.Time) {
	for _, h := range hashes {
		p.use(h, now)
	}
}

func (p *PrefixRecord) use(h uint64, now time.Time) {
	p.used[h] = now
	p.order = append(p.order, prefixUse{h, now})
	for len(p.used) > maxPrefixes || len(p.order) > 4*maxPrefixes {
		oldest := p.order[0]
		p.order = p.order[1:]
		if p.used[oldest.hash].Equal(oldest.at) {
			delete(p.used, oldest.hash)
		}
	}
}

// Event takes one cache event. Events already seen are ignored.
func (p *PrefixRecord) Event(e *api.CacheEvent, now time.Time) {
	if e.GetSequence() <= p.sequence {
		return
	}
	if p.sequence > 0 && e.GetSequence() > p.sequence+1 {
		p.gap = now
	}
	p.sequence = e.GetSequence()
	for _, h := range e.GetPrefixHashes() {
		if !e.GetEvicted() {
			p.use(h, now)
		} else if at, ok := p.used[h]; ok && now.Sub(at) > eventLag {
			delete(p.used, h)
		}
	}
}

// Cached returns the share of the prompt that is probably cached, 0 to 1. The
// hashes are of prefixes of growing length, longest last.
func (p *PrefixRecord) Cached(hashes []uint64) float64 {
	for i := len(hashes) - 1; i >= 0; i-- {
		at, ok := p.used[hashes[i]]
		if !ok {
			continue
		}
		share := float64(i+1) / float64(len(hashes))
		if at.Before(p.gap) {
			share *= unconfirmedTrust
		}
		return share
	}
	return 0
}

// Reset forgets everything: the target has restarted.
func (p *PrefixRecord) Reset() { *p = *NewPrefixRecord() }

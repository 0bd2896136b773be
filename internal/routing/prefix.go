package routing

import (
	"time"

	"github.com/endivetrack/endivetrack/api"
)

// Parameters of PrefixRecord.
const (
	// maxPrefixes is the maximum number of prefixes recorded per target.
	maxPrefixes = 8192
	// maxEventDelay is how late cache events may arrive. Evictions that arrive sooner after
	// a prefix's last use are ignored, because they may be older than that use.
	maxEventDelay = 2 * time.Second
	// unconfirmedWeight is the factor on the cached share of a prefix whose
	// eviction may have been missed in a gap of the event sequence.
	unconfirmedWeight = 0.5
)

// PrefixRecord estimates which prompt prefixes one target has in its cache. It
// records the prefixes of the requests that the owner sends to the target, and is
// corrected by the target's cache events, which arrive late and with gaps.
type PrefixRecord struct {
	lastUse      map[uint64]time.Time // time of the last use, by prefix hash
	uses         []prefixUse          // uses in order of time, for eviction
	lastSequence uint64               // sequence number of the newest event
	lastGap      time.Time            // when the last gap in the sequence numbers was found
}

// prefixUse is one use of a prefix.
type prefixUse struct {
	hash uint64
	at   time.Time
}

// NewPrefixRecord returns a record for a target whose cache is presumed empty.
func NewPrefixRecord() *PrefixRecord { return &PrefixRecord{lastUse: map[uint64]time.Time{}} }

// RecordSent records that a request with these prefixes was sent to the target.
func (p *PrefixRecord) RecordSent(hashes []uint64, now time.Time) {
	for _, h := range hashes {
		p.recordUse(h, now)
	}
}

// recordUse records a use of the prefix. If the record exceeds its bounds, it
// deletes the oldest uses.
func (p *PrefixRecord) recordUse(h uint64, now time.Time) {
	p.lastUse[h] = now
	p.uses = append(p.uses, prefixUse{h, now})
	for len(p.lastUse) > maxPrefixes || len(p.uses) > 4*maxPrefixes {
		oldest := p.uses[0]
		p.uses = p.uses[1:]
		if p.lastUse[oldest.hash].Equal(oldest.at) {
			delete(p.lastUse, oldest.hash)
		}
	}
}

// ApplyEvent updates the record from one of the target's cache events. Events that
// are not newer than the newest one seen are ignored.
func (p *PrefixRecord) ApplyEvent(e *api.CacheEvent, now time.Time) {
	if e.GetSequence() <= p.lastSequence {
		return
	}
	if p.lastSequence > 0 && e.GetSequence() > p.lastSequence+1 {
		p.lastGap = now
	}
	p.lastSequence = e.GetSequence()
	for _, h := range e.GetPrefixHashes() {
		if !e.GetEvicted() {
			p.recordUse(h, now)
		} else if at, ok := p.lastUse[h]; ok && now.Sub(at) > maxEventDelay {
			delete(p.lastUse, h)
		}
	}
}

// CachedPromptShare returns the share of the prompt that is probably cached, 0 to 1.
// hashes holds the hashes of the prompt's prefixes, the longest prefix last.
func (p *PrefixRecord) CachedPromptShare(hashes []uint64) float64 {
	for i := len(hashes) - 1; i >= 0; i-- {
		at, ok := p.lastUse[hashes[i]]
		if !ok {
			continue
		}
		share := float64(i+1) / float64(len(hashes))
		if at.Before(p.lastGap) {
			share *= unconfirmedWeight
		}
		return share
	}
	return 0
}

// Reset empties the record after the target has restarted.
func (p *PrefixRecord) Reset() { *p = *NewPrefixRecord() }

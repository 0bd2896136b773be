// Package quarantine finds the parts of prompts and the whole requests that crash
// targets, and keeps requests with such parts, and repeats of such requests, away from
// them.
//
// A request is a suspect of a crash if the target had not yet answered it, or had
// just begun to. A part is clean once a request with it was served. A set of parts is
// quarantined if it is in suspects of several crashes, one sent after the other, if
// no part of it has been clean meanwhile, and if the same service served other
// requests. The identity of a request, which only its repeats have in common, counts as
// one more part. All instances exchange their crashes and quarantines, so that each one
// knows what any of them has seen.
//
// Invariant: a quarantine holds only while no request with all of its parts is
// served. Crash case: quarantines are in the replicated state, so that they survive a
// restart of all instances; crashes that prove nothing yet are learned from peers only.
package quarantine

import (
	"slices"
	"strings"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/endivetrack/endivetrack/internal/wakeup"
)

// Bounds of what a Store keeps.
const (
	// crashRetention is how long a crash counts.
	crashRetention = 10 * time.Minute
	maxCrashes     = 64
	// maxSuspects bounds the suspects of one crash; a target begins only a few requests at
	// a time.
	maxSuspects = 32
	// maxSharedParts bounds the parts of all suspects, and so the length of a decision, for
	// which every request waits. The oldest crashes give way; those of certainCrashes
	// crashes fit.
	maxSharedParts = 12 << 10
	// maxCleanParts bounds the parts whose last success is known. Those that were served
	// least recently are forgotten first.
	maxCleanParts = 4096
	// maxCleanIdentities is the same for identities, of which almost every request has a new one.
	maxCleanIdentities = 4096
	maxQuarantines     = 256
	// decideInterval is the minimum time between two decisions without a further crash.
	decideInterval = 100 * time.Millisecond
)

// CrashID identifies a crash: each incarnation of a target crashes at most once.
type CrashID struct {
	Target      string
	Incarnation int64
}

// Suspect is a request that a target was beginning to answer when it crashed.
type Suspect struct {
	// Shared holds the identity of the request and the parts of its prompt that other
	// requests may have too.
	Shared []string
	// Own is the part that belongs to the request or to its session.
	Own    string
	SentAt time.Time
}

// NewSuspect returns the suspect for a request with the given parts, in their order. The
// identity, if known, comes first.
func NewSuspect(parts []string, sentAt time.Time) Suspect {
	shared, own := splitParts(parts)
	return Suspect{Shared: shared, Own: own, SentAt: sentAt}
}

// splitParts separates the shared parts of a prompt from the last one, which is the
// request's own.
func splitParts(parts []string) (shared []string, own string) {
	if len(parts) == 0 {
		return nil, ""
	}
	last := len(parts) - 1
	if IsIdentity(parts[last]) {
		return parts, ""
	}
	return parts[:last], parts[last]
}

// crash is what is known of one crash.
type crash struct {
	id       CrashID
	service  string
	at       time.Time
	suspects []Suspect
	// sharedParts is the number of the suspects' shared parts.
	sharedParts int
	// forgotten tells of quarantines that explained the crash and gave way to others. The
	// crash does not lead to them again.
	forgotten struct{ parts, request bool }
}

// Store holds the crashes, the clean parts and the quarantines that one instance
// knows. It is safe for concurrent use.
type Store struct {
	log     zerolog.Logger
	metrics tally.Scope
	now     func() time.Time

	mu      sync.Mutex
	crashes []*crash                    // in the order in which they became known
	clean   *lru.LRU[string, time.Time] // last success by part or service
	// cleanIdentities holds the last success by identity.
	cleanIdentities *lru.LRU[string, time.Time]
	quarantines     map[string]*record // by key
	decidedAt       time.Time
	onBegin         func(parts []string)
	changed         wakeup.Flag // set when peers do not know what this instance does
	recordsChanged  wakeup.Flag // set when a quarantine has changed
}

// New returns an empty Store. now returns the current time.
func New(log zerolog.Logger, metrics tally.Scope, now func() time.Time) *Store {
	return &Store{log: log, metrics: metrics, now: now, clean: newTimes(maxCleanParts), cleanIdentities: newTimes(maxCleanIdentities), quarantines: map[string]*record{}, changed: wakeup.New(), recordsChanged: wakeup.New()}
}

// newTimes returns a map that forgets the entries that were set least recently.
func newTimes(size int) *lru.LRU[string, time.Time] {
	times, err := lru.NewLRU[string, time.Time](size, nil)
	if err != nil {
		panic(err) // only for a size that is not positive
	}
	return times
}

// OnBegin sets a function that is called, in a goroutine of its own, with the parts of
// each quarantine that begins here or is learned from a peer. It must be set before the
// Store is used.
func (s *Store) OnBegin(call func(parts []string)) { s.onBegin = call }

// RecordCrash adds a suspect to a crash of a target of the service. at is when the
// connection to the target was lost.
func (s *Store) RecordCrash(id CrashID, service string, at time.Time, suspect Suspect) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	c := s.crash(id)
	if c == nil {
		c = &crash{id: id, service: service, at: at}
		s.addCrash(c)
		s.metrics.Counter("quarantine.crashes").Inc(1)
	}
	if at.Before(c.at) {
		c.at = at
	}
	c.addSuspect(suspect)
	s.boundSharedParts()
	s.log.Warn().Str("target", id.Target).Str("service", service).Strs("parts", suspect.Shared).Str("own", suspect.Own).
		Dur("sent_before", at.Sub(suspect.SentAt)).Msg("target crashed while it began to answer")
	s.decide(now)
	s.changed.Set()
}

func (s *Store) crash(id CrashID) *crash {
	for _, c := range s.crashes {
		if c.id == id {
			return c
		}
	}
	return nil
}

func (s *Store) addCrash(c *crash) {
	s.crashes = append(s.crashes, c)
	if len(s.crashes) > maxCrashes {
		s.crashes = slices.Delete(s.crashes, 0, 1)
	}
}

// boundSharedParts forgets the oldest crashes while there are more than maxSharedParts.
func (s *Store) boundSharedParts() {
	total := 0
	for _, c := range s.crashes {
		total += c.sharedParts
	}
	for total > maxSharedParts && len(s.crashes) > 1 {
		total -= s.crashes[0].sharedParts
		s.crashes = slices.Delete(s.crashes, 0, 1)
		s.metrics.Counter("quarantine.crashes_forgotten").Inc(1)
	}
}

func (c *crash) addSuspect(x Suspect) {
	known := slices.ContainsFunc(c.suspects, func(y Suspect) bool {
		return y.Own == x.Own && slices.Equal(y.Shared, x.Shared)
	})
	if !known && len(c.suspects) < maxSuspects {
		c.suspects = append(c.suspects, x)
		c.sharedParts += len(x.Shared)
	}
}

// RecordServed records that a target of the service served a request with the parts,
// or serves it well beyond its beginning.
func (s *Store) RecordServed(service string, parts []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.clean.Add(serviceKey(service), now)
	shared, _ := splitParts(parts)
	for _, p := range shared {
		s.cleanTimes(p).Add(p, now)
	}
	s.correct(now)
	s.decideIfDue(now)
}

// decideIfDue decides unless that was done within decideInterval. The caller holds s.mu.
func (s *Store) decideIfDue(now time.Time) {
	if len(s.crashes) >= minCrashesToNarrow && now.Sub(s.decidedAt) >= decideInterval {
		s.decide(now)
	}
}

// serviceKey returns the key under which a service's last success is kept. IDs of
// parts contain no colon.
func serviceKey(service string) string { return "service:" + service }

// cleanTimes returns the map that holds a part's last success.
func (s *Store) cleanTimes(part string) *lru.LRU[string, time.Time] {
	if IsIdentity(part) {
		return s.cleanIdentities
	}
	return s.clean
}

// cleanAfter reports whether a request with the part was served after t.
func (s *Store) cleanAfter(part string, t time.Time) bool {
	at, ok := s.cleanTimes(part).Peek(part)
	return ok && at.After(t)
}

// Match returns the quarantine that a request with the parts falls under. The identity, if
// known, comes first.
func (s *Store) Match(parts []string) (Quarantine, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.quarantines) == 0 && len(s.crashes) == 0 {
		return Quarantine{}, false
	}
	now := s.now()
	s.decideIfDue(now)
	for _, r := range s.quarantines {
		if r.active(now) && ContainsAll(parts, r.Parts) {
			return r.Quarantine, true
		}
	}
	if until, ok := s.undecided(parts, now); ok {
		return Quarantine{Parts: parts[:1], Since: now, Until: until}, true
	}
	return Quarantine{}, false
}

// Changed returns a channel that receives a value after this instance has seen or
// decided something that its peers do not know.
func (s *Store) Changed() <-chan struct{} { return s.changed.C() }

// ContainsAll reports whether parts contains each of wanted.
func ContainsAll(parts, wanted []string) bool {
	for _, w := range wanted {
		if !slices.Contains(parts, w) {
			return false
		}
	}
	return true
}

// key returns the map key of a set of parts.
func key(parts []string) string { return strings.Join(parts, ",") }

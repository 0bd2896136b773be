package command

import (
	"errors"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/endivetrack/endivetrack/internal/entry/permit"
	"github.com/endivetrack/endivetrack/internal/entry/target"
	"github.com/endivetrack/endivetrack/internal/quarantine"
	"github.com/endivetrack/endivetrack/internal/resultcode"
)

const (
	// maxLostTargets is how many targets may end while they begin to run one generation,
	// before it is given up.
	maxLostTargets = 3
	// crashWindow is the time within which the losses of one target are one crash: a
	// process needs longer to start again.
	crashWindow = 2 * time.Second
	maxCrashes  = 1024
)

// crashLog numbers the crashes of targets, whose announcements name no incarnation here.
type crashLog struct {
	mu   sync.Mutex
	last map[targetKey]time.Time
}

type targetKey struct{ team, service, target string }

// id returns the ID of the crash of a target that was lost at now. Losses within
// crashWindow have the same one.
func (l *crashLog) id(k targetKey, now time.Time) quarantine.CrashID {
	l.mu.Lock()
	defer l.mu.Unlock()
	began, known := l.last[k]
	if !known || now.Sub(began) >= crashWindow {
		began = now
		if l.last == nil || len(l.last) >= maxCrashes {
			l.last = map[targetKey]time.Time{}
		}
		l.last[k] = began
	}
	return quarantine.CrashID{Target: k.team + "/" + k.service + "/" + k.target, Incarnation: began.UnixNano()}
}

// serviceID returns the name of a team's service in the quarantine store.
func serviceID(team, service string) string { return team + "/" + service }

// featuresOf returns what all repeats of a generation have in common.
func featuresOf(g *generation) []string {
	return []string{quarantine.Identity([]byte(g.identity.TeamName), []byte(g.identity.AccountName), []byte(g.Service), g.Body)}
}

// checkQuarantine returns an error if targets crash when they begin to run the generation.
func (s *Service) checkQuarantine(g *generation) error {
	found, quarantined := s.Quarantine.Match(g.features)
	if !quarantined {
		return nil
	}
	return quarantine.Error(found).WithRetryAfter(time.Until(found.Until))
}

// recordLost records that a target ended while it began to run the generation. It returns
// an error if the generation must not be sent to a further one.
func (s *Service) recordLost(g *generation, held *permit.HeldPermit, sentAt time.Time) error {
	now := time.Now()
	k := targetKey{g.identity.TeamName, g.Service, held.Permit.GetTarget()}
	s.Quarantine.RecordCrash(s.crashes.id(k, now), serviceID(k.team, k.service), now, quarantine.NewSuspect(g.features, sentAt))
	g.lostTargets++
	if g.lostTargets < maxLostTargets {
		return nil
	}
	return resultcode.Newf(resultcode.RequestQuarantined, "%d targets ended when they began to run this request (%s)", g.lostTargets, g.features[0])
}

// recordServed records that a target could bear the generation.
func (s *Service) recordServed(g *generation) {
	s.Quarantine.RecordServed(serviceID(g.identity.TeamName, g.Service), g.features)
}

// noteLost notes whether the error of a connection shows that the target's process has ended
// since the generation was sent to it: it refuses connections, or a new process does not know
// the generation. Once tokens were delivered, the generation is not the cause.
func (r *relay) noteLost(err error) {
	var notSent *target.NotSentError
	var status *target.StatusError
	isStatus := errors.As(err, &status)
	switch {
	case r.body == nil || r.seq.Delivered() > 0:
	case r.connDispatches():
		r.sent = !errors.As(err, &notSent) && !isStatus
	case isStatus && status.Status == http.StatusNotFound, errors.Is(err, syscall.ECONNREFUSED):
		r.targetEnded = r.sent
	}
}

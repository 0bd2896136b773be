package service

import (
	"context"
	"encoding/json"
	"time"

	"github.com/endivetrack/endivetrack/standin/announce"
)

// pollInterval is how often a leaving service checks whether calls are still running.
const pollInterval = 10 * time.Millisecond

// Snapshot returns a copy of the record of the calls that the service has executed so
// far.
func (s *Service) Snapshot() Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.announcer != nil {
		s.record.Announcements, s.record.AnnouncementsFailed = s.announcer.Counts()
		s.record.AnnouncementError = s.announcer.LastError()
	}
	data, err := json.Marshal(s.record)
	if err != nil {
		panic(err) // encoding a Record cannot fail
	}
	var out Record
	if err := json.Unmarshal(data, &out); err != nil {
		panic(err)
	}
	return out
}

// Announce sends the service's announcements to the entry instances until ctx ends.
// key is sent as bearer token.
func (s *Service) Announce(ctx context.Context, entries []string, key string) {
	a := announce.New(entries, key, s.announcement)
	s.mu.Lock()
	s.announcer = a
	s.mu.Unlock()
	a.Run(ctx, nil)
}

func (s *Service) announcement() announce.Message {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.config
	return announce.Message{
		Team: c.Team, Service: c.Service, Target: c.Target, Incarnation: s.record.Incarnation, Address: s.address,
		Region: c.Region, FailureDomain: c.FailureDomain, Leaving: s.leaving, ReportedRunning: s.inFlight,
	}
}

// Leave announces that the service is leaving and waits until LeavingAccept has
// passed and no call is running, or until ctx ends.
func (s *Service) Leave(ctx context.Context) {
	s.mu.Lock()
	s.leaving, s.record.LeavingAt = true, time.Now().UnixMicro()
	s.mu.Unlock()
	earliest := time.Now().Add(s.config.LeavingAccept)
	poll := time.NewTicker(pollInterval)
	defer poll.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-poll.C:
			s.mu.Lock()
			idle := s.inFlight == 0
			s.mu.Unlock()
			if idle && now.After(earliest) {
				return
			}
		}
	}
}

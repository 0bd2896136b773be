package control

import (
	"context"
	"time"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/state/model"
	"github.com/endivetrack/endivetrack/internal/state/query"
)

// InForce reports, for each instance, the newest version that it has applied and
// whether its lease has expired, in which case it starts no new work. A version
// is in force everywhere once each instance has applied it or its lease has
// expired; InForce waits for that until the request's wait time is over.
func (s *Server) InForce(ctx context.Context, req *api.InForceRequest) (*api.InForceResponse, error) {
	return runOnLeader(ctx, s, req, s.inForce, func(leader API) func(context.Context, *api.InForceRequest) (*api.InForceResponse, error) {
		return leader.InForce
	})
}

func (s *Server) inForce(ctx context.Context, t *term, req *api.InForceRequest) (*api.InForceResponse, error) {
	deadline := time.NewTimer(min(time.Duration(req.GetWaitMs())*time.Millisecond, maxInForceWait))
	defer deadline.Stop()
	tick := time.NewTicker(inForcePollInterval)
	defer tick.Stop()
	for timedOut := false; ; {
		resp := s.checkInForce(t, req.GetVersion())
		if resp.GetEverywhere() || timedOut {
			// The read barrier must come after the sessions were read: a leader
			// that is partitioned from the group may not have all of them.
			if _, err := s.log.ReadBarrier(ctx); err != nil {
				return nil, agreementError(err)
			}
			return resp, nil
		}
		select {
		case <-ctx.Done():
			return nil, agreementError(ctx.Err())
		case <-deadline.C:
			timedOut = true
		case <-tick.C:
		}
	}
}

// checkInForce compares the versions that the sessions have acknowledged with
// the requested version. A session acknowledges only versions at which the
// state that entry instances see changed. If the requested version is later
// than the newest such version, it is enough that the sessions have
// acknowledged that one.
func (s *Server) checkInForce(t *term, version uint64) *api.InForceResponse {
	leases := t.leaseViews()
	out := &api.InForceResponse{}
	s.machine.Read(func(st *model.State) {
		out.Everywhere = version <= st.Index
		required := min(version, query.ViewVersion(st))
		for id, sess := range st.Sessions {
			l := leases[id]
			out.Instances = append(out.Instances, &api.InstanceInForce{
				Name: sess.Instance.GetName(), SeenVersion: l.ackedVersion, LeaseExpired: l.ended,
			})
			if !l.ended && l.ackedVersion < required {
				out.Everywhere = false
			}
		}
	})
	return out
}

package control

import (
	"context"
	"time"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/state/model"
	"github.com/endivetrack/endivetrack/internal/state/query"
)

// InForce tells per instance whether it obeys the state at a version, or does
// no new work because its lease has ended. It answers early once the state is
// in force everywhere.
func (s *Server) InForce(ctx context.Context, req *api.InForceRequest) (*api.InForceResponse, error) {
	return atLeader(ctx, s, req, s.inForce, func(leader Calls) func(context.Context, *api.InForceRequest) (*api.InForceResponse, error) {
		return leader.InForce
	})
}

func (s *Server) inForce(ctx context.Context, t *term, req *api.InForceRequest) (*api.InForceResponse, error) {
	deadline := time.NewTimer(min(time.Duration(req.GetWaitMs())*time.Millisecond, maxInForceWait))
	defer deadline.Stop()
	tick := time.NewTicker(inForceInterval)
	defer tick.Stop()
	for last := false; ; {
		resp := s.inForceNow(t, req.GetVersion())
		if resp.GetEverywhere() || last {
			// The barrier comes after the look at the sessions: a leader that
			// was cut off may not know all of them.
			if _, err := s.log.ReadBarrier(ctx); err != nil {
				return nil, logError(err)
			}
			return resp, nil
		}
		select {
		case <-ctx.Done():
			return nil, logError(ctx.Err())
		case <-deadline.C:
			last = true
		case <-tick.C:
		}
	}
}

// inForceNow judges the sessions by what they have acknowledged. Versions name
// changes that instances see; a later index than the last such change asks for
// no more than it.
func (s *Server) inForceNow(t *term, version uint64) *api.InForceResponse {
	leases := t.views()
	out := &api.InForceResponse{}
	s.machine.Read(func(st *model.State) {
		out.Everywhere = version <= st.Index
		need := min(version, query.ViewVersion(st))
		for id, x := range st.Sessions {
			l := leases[id]
			out.Instances = append(out.Instances, &api.InstanceInForce{
				Name: x.Instance.GetName(), SeenVersion: l.acked, LeaseExpired: l.ended,
			})
			if !l.ended && l.acked < need {
				out.Everywhere = false
			}
		}
	})
	return out
}

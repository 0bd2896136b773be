package control

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/resultcode"
)

// forwardedHeader marks a call forwarded by another control instance. Such a call
// is not forwarded again, which prevents a forwarding loop between two instances
// that each consider the other to be the leader.
const forwardedHeader = "X-Endivetrack-Forwarded"

type forwardedKey struct{}

// markForwarded marks the request's context if the request has forwardedHeader.
func markForwarded(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(forwardedHeader) != "" {
			r = r.WithContext(context.WithValue(r.Context(), forwardedKey{}, true))
		}
		next.ServeHTTP(w, r)
	})
}

// runOnLeader runs local if this instance is the leader. Otherwise it forwards
// the call to the leader, unless another instance has already forwarded it to
// this one. remote selects the method to call on a client for the leader.
func runOnLeader[Req, Resp any](ctx context.Context, s *Server, req Req,
	local func(context.Context, *term, Req) (Resp, error),
	remote func(leader API) func(context.Context, Req) (Resp, error),
) (Resp, error) {
	var zero Resp
	if t := s.currentTerm(); t != nil {
		resp, err := local(ctx, t, req)
		return resp, resultcode.ToTwirp(err)
	}
	leader := s.log.Status().LeaderAddress
	if leader == "" || leader == s.cfg.Address || ctx.Value(forwardedKey{}) != nil {
		return zero, resultcode.ToTwirp(notLeaderError(leader))
	}
	ctx = context.WithValue(ctx, forwardedKey{}, true)
	ctx, err := twirp.WithHTTPRequestHeaders(ctx, http.Header{forwardedHeader: {"1"}})
	if err != nil {
		return zero, resultcode.ToTwirp(err)
	}
	s.metrics.forwarded.Inc(1)
	ctx, cancel := s.untilLeaderChanges(ctx, leader)
	defer cancel()
	resp, err := remote(s.cfg.Connect(leader))(ctx, req)
	if errors.Is(err, context.Canceled) {
		err = resultcode.Newf(resultcode.ControlUnavailable, "the leader changed").WithExecution(resultcode.Unknown)
	}
	return resp, resultcode.ToTwirp(resultcode.FromTwirp(err))
}

// untilLeaderChanges returns a context that is cancelled when the instance at
// address leader is no longer the leader, so that a call to a leader that stopped
// responding does not block its caller for longer than the election takes.
func (s *Server) untilLeaderChanges(ctx context.Context, leader string) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		tick := time.NewTicker(tickInterval)
		defer tick.Stop()
		for s.log.Status().LeaderAddress == leader {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
			}
		}
		cancel()
	}()
	return ctx, cancel
}

// newTwirpClient returns a client for the control instance at address.
func newTwirpClient(address string, client *http.Client) API {
	return struct {
		api.ControlCommand
		api.ControlQuery
	}{
		api.NewControlCommandProtobufClient("http://"+address, client),
		api.NewControlQueryProtobufClient("http://"+address, client),
	}
}

func formatUint(n uint64) string { return strconv.FormatUint(n, 10) }

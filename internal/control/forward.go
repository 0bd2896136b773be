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

// forwardedHeader marks a call that another control instance has forwarded. It
// is not forwarded again, so that two instances that each take the other for
// the leader do not send a call in circles.
const forwardedHeader = "X-Endivetrack-Forwarded"

type forwardedKey struct{}

// markForwarded puts the header into the context of the call.
func markForwarded(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(forwardedHeader) != "" {
			r = r.WithContext(context.WithValue(r.Context(), forwardedKey{}, true))
		}
		next.ServeHTTP(w, r)
	})
}

// atLeader carries the call out here when this instance leads, else forwards it
// to the leader once.
func atLeader[Req, Resp any](ctx context.Context, s *Server, req Req,
	local func(context.Context, *term, Req) (Resp, error),
	remote func(leader Calls) func(context.Context, Req) (Resp, error),
) (Resp, error) {
	var none Resp
	if t := s.currentTerm(); t != nil {
		resp, err := local(ctx, t, req)
		return resp, resultcode.ToTwirp(err)
	}
	leader := s.log.Status().LeaderAddress
	if leader == "" || leader == s.cfg.Address || ctx.Value(forwardedKey{}) != nil {
		return none, resultcode.ToTwirp(notLeaderError(leader))
	}
	ctx = context.WithValue(ctx, forwardedKey{}, true)
	ctx, err := twirp.WithHTTPRequestHeaders(ctx, http.Header{forwardedHeader: {"1"}})
	if err != nil {
		return none, resultcode.ToTwirp(err)
	}
	s.metrics.forwarded.Inc(1)
	ctx, cancel := s.whileLeader(ctx, leader)
	defer cancel()
	resp, err := remote(s.cfg.Connect(leader))(ctx, req)
	if errors.Is(err, context.Canceled) {
		err = resultcode.Newf(resultcode.ControlUnavailable, "the leader changed").WithExecution(resultcode.Unknown)
	}
	return resp, resultcode.ToTwirp(resultcode.FromTwirp(err))
}

// whileLeader returns a context that ends when another instance than the named
// one leads, so that a call to a leader that went silent does not hold its
// caller longer than the election takes.
func (s *Server) whileLeader(ctx context.Context, leader string) (context.Context, context.CancelFunc) {
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

// twirpCalls returns the calls of another control instance over HTTP.
func twirpCalls(address string, client *http.Client) Calls {
	return struct {
		api.ControlCommand
		api.ControlQuery
	}{
		api.NewControlCommandProtobufClient("http://"+address, client),
		api.NewControlQueryProtobufClient("http://"+address, client),
	}
}

func uintString(n uint64) string { return strconv.FormatUint(n, 10) }

package control

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/peerauth"
	"github.com/endivetrack/endivetrack/internal/process"
	"github.com/endivetrack/endivetrack/internal/resultcode"
	"github.com/endivetrack/endivetrack/internal/settings"
)

// maxBodyBytes limits the body of a request that does not have the peer key: the
// settings of one team plus 64 KiB for the rest of the message.
const maxBodyBytes = settings.MaxBytes + 64<<10

// operatorAccess is how a request to an operator path is authenticated if it
// lacks the peer key.
type operatorAccess int

const (
	peerKeyOnly    operatorAccess = iota
	keyInRequest                  // the handler checks the operator key of the team in the request
	anyOperatorKey                // the bearer token must be an operator key of any team
)

var operatorPaths = map[string]operatorAccess{
	api.ControlCommandPathPrefix + "ApplySettings": keyInRequest,
	api.ControlQueryPathPrefix + "ReadSettings":    keyInRequest,
	api.ControlQueryPathPrefix + "InForce":         anyOperatorKey,
	api.ControlQueryPathPrefix + "Status":          anyOperatorKey,
	eventsPath:                                     anyOperatorKey,
}

const (
	eventsPath  = "/v1/events"
	metricsPath = "/metrics"
	healthPath  = "/healthz"
)

type bearerKey struct{}

// bearerFromContext returns the bearer token from the request's header, or "".
func bearerFromContext(ctx context.Context) string {
	key, _ := ctx.Value(bearerKey{}).(string)
	return key
}

// Handler returns the HTTP handler for the RPCs, events, metrics and health
// check. Requests need the peer key; requests to the paths in operatorPaths may
// use an operator key as bearer token instead. Metrics and the health check need
// no key. extra holds additional handlers, by path prefix, that need the peer key.
func (s *Server) Handler(env *process.Env, peerDigest string, extra map[string]http.Handler) http.Handler {
	calls := http.NewServeMux()
	calls.Handle(api.ControlCommandPathPrefix, api.NewControlCommandServer(s))
	calls.Handle(api.ControlQueryPathPrefix, api.NewControlQueryServer(s))
	calls.HandleFunc("GET "+eventsPath, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, map[string]any{"events": env.Timeline.Recent()})
	})
	for prefix, h := range extra {
		calls.Handle(prefix, h)
	}
	mux := http.NewServeMux()
	mux.Handle("/", s.authenticate(peerDigest, markForwarded(calls)))
	mux.HandleFunc("GET "+metricsPath, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, map[string]any{"counters": env.Counters(), "gauges": env.Gauges()})
	})
	mux.HandleFunc("GET "+healthPath, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, map[string]any{"ok": true, "leading": s.currentTerm() != nil})
	})
	return env.Timeline.Clock().Middleware(mux)
}

// authenticate passes a request on to next if it has the peer key or, on a path
// in operatorPaths, an operator key. Paths with keyInRequest are passed on without
// a check, because their handlers check the operator key.
func (s *Server) authenticate(peerDigest string, next http.Handler) http.Handler {
	peers := peerauth.RequirePeer(peerDigest, next)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		access := operatorPaths[r.URL.Path]
		if r.Header.Get(peerauth.PeerHeader) != "" || access == peerKeyOnly {
			peers.ServeHTTP(w, r)
			return
		}
		key := peerauth.Bearer(r.Header)
		if access == anyOperatorKey && !s.isOperatorOfAnyTeam(key) {
			err := resultcode.Newf(resultcode.Unauthenticated, "operator key is missing or wrong")
			http.Error(w, err.Error(), err.Code.HTTPStatus())
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), bearerKey{}, key)))
	})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

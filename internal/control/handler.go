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

// maxBodyBytes bounds a request: one subtree of settings with its envelope.
const maxBodyBytes = settings.MaxBytes + 64<<10

// operatorAccess says how a call without the peer key is authenticated.
type operatorAccess int

const (
	peersOnly    operatorAccess = iota
	keyInMessage                // the call checks the operator key against its team
	keyOfAnyTeam                // the bearer must be an operator key of some team
)

var operatorPaths = map[string]operatorAccess{
	api.ControlCommandPathPrefix + "ApplySettings": keyInMessage,
	api.ControlQueryPathPrefix + "ReadSettings":    keyInMessage,
	api.ControlQueryPathPrefix + "InForce":         keyOfAnyTeam,
	api.ControlQueryPathPrefix + "Status":          keyOfAnyTeam,
	eventsPath:                                     keyOfAnyTeam,
}

const (
	eventsPath  = "/v1/events"
	metricsPath = "/metrics"
	healthPath  = "/healthz"
)

type bearerKey struct{}

// bearerOf returns the operator key that came in the request's header.
func bearerOf(ctx context.Context) string {
	key, _ := ctx.Value(bearerKey{}).(string)
	return key
}

// Handler serves the control calls and the process's pages. Calls need the peer
// key; operators' calls are let through with an operator key as bearer.
// Counters and health need no key. more holds further handlers behind the peer
// key by path prefix.
func (s *Server) Handler(env *process.Env, peerDigest string, more map[string]http.Handler) http.Handler {
	calls := http.NewServeMux()
	calls.Handle(api.ControlCommandPathPrefix, api.NewControlCommandServer(s))
	calls.Handle(api.ControlQueryPathPrefix, api.NewControlQueryServer(s))
	calls.HandleFunc("GET "+eventsPath, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, map[string]any{"events": env.Timeline.Recent()})
	})
	for prefix, h := range more {
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

// authenticate lets a request through with the peer key, or with an operator
// key on the operators' paths.
func (s *Server) authenticate(peerDigest string, next http.Handler) http.Handler {
	peers := peerauth.RequirePeer(peerDigest, next)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		access := operatorPaths[r.URL.Path]
		if r.Header.Get(peerauth.PeerHeader) != "" || access == peersOnly {
			peers.ServeHTTP(w, r)
			return
		}
		key := peerauth.Bearer(r.Header)
		if access == keyOfAnyTeam && !s.opensAnyTeam(key) {
			err := resultcode.Newf(resultcode.Unauthenticated, "operator key missing or wrong")
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

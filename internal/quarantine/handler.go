package quarantine

import (
	"net/http"
	"strings"

	"github.com/endivetrack/endivetrack/internal/jsonreply"
	"github.com/endivetrack/endivetrack/internal/resultcode"
)

// path is where an instance lists its quarantines. DELETE with the parts as a further
// path element, separated by commas, lifts one at all instances.
const path = "/quarantines"

// Handler serves the operators' calls and passes all others to next.
func (s *Store) Handler(next http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", next)
	mux.HandleFunc("GET "+path, s.serveList)
	mux.HandleFunc("DELETE "+path+"/{parts}", s.serveLift)
	return mux
}

func (s *Store) serveList(w http.ResponseWriter, _ *http.Request) {
	jsonreply.Write(w, http.StatusOK, s.List())
}

func (s *Store) serveLift(w http.ResponseWriter, r *http.Request) {
	parts := strings.Split(strings.ToLower(r.PathValue("parts")), ",")
	if !s.Lift(parts) {
		jsonreply.WriteError(w, resultcode.Newf(resultcode.UnknownQuarantine, "no quarantine of exactly these parts: %v", parts))
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

package forward

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"github.com/endivetrack/endivetrack/internal/jsonreply"
	"github.com/endivetrack/endivetrack/internal/resultcode"
)

// statementsPath is where an instance lists the targets that have said in answers that they
// leave or want no requests for some time. DELETE with a target's ID as a further path
// element makes this instance use the target again and ignore its leaving until it restarts.
const statementsPath = "/target-statements"

// statementRow is one target in the list. Times are absent if they do not apply.
type statementRow struct {
	Target      string     `json:"target"`
	Service     string     `json:"service"`
	Incarnation int64      `json:"incarnation"`
	LeavingAt   *time.Time `json:"leaving_at,omitempty"`
	QuietSince  *time.Time `json:"quiet_since,omitempty"`
	QuietUntil  *time.Time `json:"quiet_until,omitempty"`
	Source      string     `json:"source"` // the request or instance that brought the newest statement
}

// StatementsHandler serves the operators' calls and passes all others to next.
func (f *Forwarder) StatementsHandler(next http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", next)
	mux.HandleFunc("GET "+statementsPath, func(w http.ResponseWriter, _ *http.Request) {
		jsonreply.Write(w, http.StatusOK, f.table.statementRows(time.Now()))
	})
	mux.HandleFunc("DELETE "+statementsPath+"/{target}", func(w http.ResponseWriter, r *http.Request) {
		target := r.PathValue("target")
		if !f.table.liftStatements(target, time.Now()) {
			jsonreply.WriteError(w, resultcode.Newf(resultcode.UnknownStatement, "target %q has not said that it leaves or wants no requests", target))
			return
		}
		f.config.Logger.Warn().Str("target", target).Msg("target's statements lifted by an operator")
		f.logTargets()
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}

// statementRows returns the targets with statements in force, by ID.
func (t *table) statementRows(now time.Time) []statementRow {
	t.mu.Lock()
	defer t.mu.Unlock()
	rows := []statementRow{}
	for _, e := range t.endpoints {
		leaves, isQuiet := !e.said.leavingAt.IsZero(), now.Before(e.said.quietUntil)
		if !leaves && !isQuiet {
			continue
		}
		row := statementRow{Target: e.id, Service: e.service, Incarnation: e.incarnation}
		if isQuiet {
			since, until := e.said.quietSince, e.said.quietUntil
			row.QuietSince, row.QuietUntil, row.Source = &since, &until, e.said.quietSource
		}
		if leaves {
			at := e.said.leavingAt
			row.LeavingAt, row.Source = &at, e.said.leavingSource
		}
		rows = append(rows, row)
	}
	slices.SortFunc(rows, func(a, b statementRow) int { return cmp.Compare(a.Target, b.Target) })
	return rows
}

// liftStatements makes a target usable again as far as its announcements allow. It returns
// false if the target has no statement in force.
func (t *table) liftStatements(target string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.endpoints[target]
	if e == nil || (e.said.leavingAt.IsZero() && !now.Before(e.said.quietUntil)) {
		return false
	}
	if e.said.leavingAt.IsZero() {
		e.said.quietUntil = time.Time{}
		return true
	}
	// What runs there goes on with the endpoint as it was.
	next := t.newEndpoint(e.target, now)
	next.said.ignoreLeaving = true
	t.endpoints[target] = next
	t.updateEndpoint(next, e.target, now)
	return true
}

package command

import (
	"context"
	"sync"

	"github.com/endivetrack/endivetrack/internal/entry/permit"
)

// registry keeps the generations in progress at this instance, so that a
// caller who resumes here takes its own generation over instead of competing
// with the former connection for the target's stream.
type registry struct {
	mu   sync.Mutex
	byID map[string]*running
}

// running is one generation in progress.
type running struct {
	team, account string
	held          *permit.Held
	// life ends when another request takes the generation over.
	life context.Context
	end  context.CancelCauseFunc
	done chan struct{} // closed when its relay has stopped
}

func newRegistry() *registry { return &registry{byID: map[string]*running{}} }

func (g *registry) size() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.byID)
}

func (g *registry) add(id, team, account string, held *permit.Held) *running {
	r := &running{team: team, account: account, held: held, done: make(chan struct{})}
	r.life, r.end = context.WithCancelCause(context.Background())
	g.mu.Lock()
	defer g.mu.Unlock()
	g.byID[id] = r
	return r
}

// remove ends r, unless it was taken over: then it reports false, and its
// permit belongs to the taker.
func (g *registry) remove(id string, r *running) bool {
	g.mu.Lock()
	mine := g.byID[id] == r
	if mine {
		delete(g.byID, id)
	}
	g.mu.Unlock()
	r.end(nil)
	close(r.done)
	return mine
}

// foreign reports whether the generation runs here for another account.
func (g *registry) foreign(id, team, account string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.byID[id]
	return r != nil && (r.team != team || r.account != account)
}

// take stops the relay of a generation of the account and returns it; nil if
// there is none.
func (g *registry) take(id, team, account string) *running {
	g.mu.Lock()
	r := g.byID[id]
	if r == nil || r.team != team || r.account != account {
		g.mu.Unlock()
		return nil
	}
	delete(g.byID, id)
	g.mu.Unlock()
	r.end(errSuperseded)
	<-r.done
	return r
}

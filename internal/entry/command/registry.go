package command

import (
	"context"
	"sync"

	"github.com/endivetrack/endivetrack/internal/entry/permit"
)

// generationRegistry holds the generations in progress at this instance. A caller
// that resumes here takes over its own generation, so that its new connection does
// not compete with the old one for the target's stream.
type generationRegistry struct {
	mu   sync.Mutex
	byID map[string]*runningGeneration
}

// runningGeneration is a registered generation.
type runningGeneration struct {
	team, account string
	held          *permit.HeldPermit
	// ctx ends when another request takes over the generation.
	ctx    context.Context
	cancel context.CancelCauseFunc
	done   chan struct{} // closed once the relay has stopped
}

func newGenerationRegistry() *generationRegistry {
	return &generationRegistry{byID: map[string]*runningGeneration{}}
}

func (g *generationRegistry) size() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.byID)
}

func (g *generationRegistry) add(id, team, account string, held *permit.HeldPermit) *runningGeneration {
	r := &runningGeneration{team: team, account: account, held: held, done: make(chan struct{})}
	r.ctx, r.cancel = context.WithCancelCause(context.Background())
	g.mu.Lock()
	defer g.mu.Unlock()
	g.byID[id] = r
	return r
}

// remove ends r and deletes it. It reports false if another request has taken over
// the generation; the permit then belongs to that request.
func (g *generationRegistry) remove(id string, r *runningGeneration) bool {
	g.mu.Lock()
	current := g.byID[id] == r
	if current {
		delete(g.byID, id)
	}
	g.mu.Unlock()
	r.cancel(nil)
	close(r.done)
	return current
}

// ownedByOther reports whether the generation runs here for another account.
func (g *generationRegistry) ownedByOther(id, team, account string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.byID[id]
	return r != nil && (r.team != team || r.account != account)
}

// takeOver removes the account's generation, stops its relay, waits until it has
// stopped, and returns it. It returns nil if the account has no such generation
// here.
func (g *generationRegistry) takeOver(id, team, account string) *runningGeneration {
	g.mu.Lock()
	r := g.byID[id]
	if r == nil || r.team != team || r.account != account {
		g.mu.Unlock()
		return nil
	}
	delete(g.byID, id)
	g.mu.Unlock()
	r.cancel(errSuperseded)
	<-r.done
	return r
}

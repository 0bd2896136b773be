//go:build faultinjection

package faultpoint

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Action is what happens at a fault point.
type Action string

// Actions that a test can ask for.
const (
	ActionKill   Action = "kill"   // SIGKILL to this process
	ActionFreeze Action = "freeze" // SIGSTOP to this process; the test continues it
	ActionError  Action = "error"  // the step fails
	ActionDelay  Action = "delay"  // the step takes DelayMS longer
)

// Rule asks for one action at the points that start with Prefix.
type Rule struct {
	Prefix string `json:"prefix"`
	Action Action `json:"action"`
	// Skip is how many hits pass before the action.
	Skip int `json:"skip"`
	// Times is how many hits get the action; 0 means all.
	Times   int `json:"times"`
	DelayMS int `json:"delay_ms"`
}

// ErrInjected is the result of a step with ActionError.
var ErrInjected = errors.New("faultpoint: injected error")

type injector struct {
	mu    sync.Mutex
	rules []*Rule
	hits  map[Point]int
	fired int
}

var active = newInjector()

func newInjector() *injector {
	i := &injector{hits: map[Point]int{}}
	Set(i.hit)
	return i
}

func (i *injector) hit(p Point) error {
	rule, ok := i.match(p)
	if !ok {
		return nil
	}
	switch rule.Action {
	case ActionKill:
		_ = syscall.Kill(syscall.Getpid(), syscall.SIGKILL)
		select {}
	case ActionFreeze:
		_ = syscall.Kill(syscall.Getpid(), syscall.SIGSTOP)
	case ActionDelay:
		time.Sleep(time.Duration(rule.DelayMS) * time.Millisecond)
	case ActionError:
		return fmt.Errorf("%w at %s", ErrInjected, p)
	}
	return nil
}

// match counts the hit and returns the rule that applies to it, if any.
func (i *injector) match(p Point) (Rule, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.hits[p]++
	for _, r := range i.rules {
		if !strings.HasPrefix(string(p), r.Prefix) || r.Times < 0 {
			continue
		}
		if r.Skip > 0 {
			r.Skip--
			continue
		}
		if r.Times > 0 {
			if r.Times--; r.Times == 0 {
				r.Times = -1
			}
		}
		i.fired++
		return *r, true
	}
	return Rule{}, false
}

// Handler serves the rules: GET lists hits per point and how many actions
// were carried out, PUT replaces the rules.
func Handler() http.Handler {
	return http.HandlerFunc(active.serve)
}

func (i *injector) serve(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPut {
		var rules []*Rule
		if err := json.NewDecoder(r.Body).Decode(&rules); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		i.mu.Lock()
		i.rules, i.fired = rules, 0
		i.mu.Unlock()
		return
	}
	i.mu.Lock()
	state := struct {
		Hits  map[Point]int `json:"hits"`
		Fired int           `json:"fired"`
	}{maps.Clone(i.hits), i.fired}
	i.mu.Unlock()
	_ = json.NewEncoder(w).Encode(state)
}

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

// Action is the failure that a Rule injects.
type Action string

// Values of Action.
const (
	ActionKill   Action = "kill"   // sends SIGKILL to this process
	ActionFreeze Action = "freeze" // sends SIGSTOP to this process; the test resumes it
	ActionError  Action = "error"  // Hit returns ErrInjected
	ActionDelay  Action = "delay"  // Hit returns after DelayMS milliseconds
)

// Rule injects an action at all points whose names start with Prefix. The first
// rule that applies when a point is reached is used.
type Rule struct {
	Prefix string `json:"prefix"`
	Action Action `json:"action"`
	// Skip is how often a matching point is reached before the first action.
	Skip int `json:"skip"`
	// Times is how often the action is taken; 0: no limit.
	Times   int `json:"times"`
	DelayMS int `json:"delay_ms"`
}

// ErrInjected is wrapped by the errors that rules with ActionError inject.
var ErrInjected = errors.New("faultpoint: injected error")

type injector struct {
	mu    sync.Mutex
	rules []*Rule
	hits  map[Point]int
	fired int
}

var globalInjector = newInjector()

func newInjector() *injector {
	i := &injector{hits: map[Point]int{}}
	SetHook(i.hit)
	return i
}

func (i *injector) hit(p Point) error {
	rule, ok := i.matchRule(p)
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

// matchRule counts a hit and returns a copy of the rule that applies to it, if any.
// It sets Times to -1 in a rule that has been applied as often as allowed.
func (i *injector) matchRule(p Point) (Rule, bool) {
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

// Handler serves fault injection. PUT replaces the rules. Any other method returns
// the number of hits per point and the number of actions since the last PUT.
func Handler() http.Handler {
	return http.HandlerFunc(globalInjector.serve)
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

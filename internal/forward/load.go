package forward

import "time"

// Load is what one instance has in flight at a target.
type Load struct {
	Requests int
	Tokens   int // their expected memory
	Incoming int // copies on their way to the target
	Starting int // prompt tokens of requests without a first event
	// Suspect is set while the target is avoided after failures.
	Suspect bool
}

// total is what all instances have in flight at the endpoint.
func (e *endpoint) total() Load {
	sum := Load{Requests: e.requests, Tokens: e.tokens, Incoming: e.incoming, Starting: e.starting}
	for _, l := range e.others {
		sum.Requests += l.Requests
		sum.Tokens += l.Tokens
		sum.Incoming += l.Incoming
		sum.Starting += l.Starting
		sum.Suspect = sum.Suspect || l.Suspect
	}
	return sum
}

// Loads returns what this instance has in flight, by target id.
func (f *Forwarder) Loads() map[string]Load {
	t := f.table
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[string]Load{}
	now := time.Now()
	for id, e := range t.endpoints {
		l := Load{Requests: e.requests, Tokens: e.tokens, Incoming: e.incoming, Starting: e.starting, Suspect: now.Before(e.suspect)}
		if l != (Load{}) {
			out[id] = l
		}
	}
	return out
}

// SetLoads takes what another instance has in flight; nil forgets it.
func (f *Forwarder) SetLoads(instance string, loads map[string]Load) {
	t := f.table
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, e := range t.endpoints {
		if l, ok := loads[id]; ok {
			e.others[instance] = l
		} else {
			delete(e.others, instance)
		}
	}
}

// standing returns what all instances have in flight at an endpoint, and the
// age of its newest announcement that is known here.
func (t *table) standing(e *endpoint) (Load, time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return e.total(), time.Since(e.target.Heard)
}

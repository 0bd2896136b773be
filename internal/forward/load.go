package forward

import "time"

// Load describes the requests and copies that one instance has in flight at a
// target.
type Load struct {
	Requests       int
	Tokens         int // engine memory that the requests in flight are expected to need, in tokens
	IncomingCopies int // copies of runs being transferred to the target
	PrefillTokens  int // prompt tokens of requests that have no first event yet
	// Suspect is set while the instance avoids the target after failures.
	Suspect bool
	// Limit is the limit that the target's newest response to the instance named. Its time
	// is zero if that need not be known.
	Limit NamedLimit
	// Leaving is the target's statement to the instance that it leaves, if any.
	Leaving LeavingStatement
}

// totalLoad returns the load that all instances together place on the endpoint.
// The caller holds table.mu.
func (e *endpoint) totalLoad() Load {
	sum := Load{Requests: e.requests, Tokens: e.tokens, IncomingCopies: e.incomingCopies, PrefillTokens: e.prefillTokens}
	for _, l := range e.otherLoads {
		sum.Requests += l.Requests
		sum.Tokens += l.Tokens
		sum.IncomingCopies += l.IncomingCopies
		sum.PrefillTokens += l.PrefillTokens
		sum.Suspect = sum.Suspect || l.Suspect
	}
	return sum
}

// Loads returns the load that this instance places on each target, by target ID.
// Targets without load are omitted.
func (f *Forwarder) Loads() map[string]Load {
	t := f.table
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[string]Load{}
	now := time.Now()
	for id, e := range t.endpoints {
		l := Load{Requests: e.requests, Tokens: e.tokens, IncomingCopies: e.incomingCopies, PrefillTokens: e.prefillTokens, Suspect: now.Before(e.suspectUntil), Limit: e.limitNews(), Leaving: e.leavingNews()}
		if l != (Load{}) {
			out[id] = l
		}
	}
	return out
}

// SetLoads replaces the loads that another instance places on targets, by target
// ID. If loads is nil, they are removed.
func (f *Forwarder) SetLoads(instance string, loads map[string]Load) {
	t, now := f.table, time.Now()
	defer f.logTargets()
	t.mu.Lock()
	defer t.mu.Unlock()
	for id := range t.loadedBy[instance] {
		if e := t.endpoints[id]; e != nil {
			delete(e.otherLoads, instance)
			if _, again := loads[id]; !again {
				t.refreshLimit(e)
			}
		}
	}
	for id, l := range loads {
		if e := t.endpoints[id]; e != nil {
			e.otherLoads[instance] = l
			t.refreshLimit(e)
			if l.Leaving.isOf(e, now) {
				t.setLeaving(e, "instance "+instance, l.Leaving.At)
			}
		}
	}
	if len(loads) == 0 {
		delete(t.loadedBy, instance)
		return
	}
	t.loadedBy[instance] = loads
}

// LoadsChanged returns a channel that receives a value after Loads has changed.
func (f *Forwarder) LoadsChanged() <-chan struct{} { return f.table.loadsChanged.C() }

// loadAndAge returns the load that all instances together place on an endpoint,
// and the age of the newest announcement received from its target.
func (t *table) loadAndAge(e *endpoint) (Load, time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return e.totalLoad(), time.Since(e.target.LastAnnounced)
}

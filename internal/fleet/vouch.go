package fleet

import "time"

// orphanTime is how long a target may be vouched for by no control instance before it counts as
// silent. A target that works announces itself many times meanwhile.
const orphanTime = 10 * time.Second

// vouchers knows which control instances say of a target that it is ready. Only they would say
// that it has fallen silent; one that restarts has forgotten the target, and one that is gone
// says nothing.
//
// Invariant: a ready target of the view is vouched for, or is an orphan.
type vouchers struct {
	// targets holds the IDs of the ready targets by the control instance that vouches for them.
	targets map[string]map[string]bool
	// orphanedAt is since when nobody vouches for a target, by ID.
	orphanedAt map[string]time.Time
}

func newVouchers() vouchers {
	return vouchers{targets: map[string]map[string]bool{}, orphanedAt: map[string]time.Time{}}
}

// note records what a control instance says.
func (v *vouchers) note(control string, announcements []Announcement) {
	for i := range announcements {
		a := &announcements[i]
		if a.State != Ready {
			delete(v.targets[control], a.ID)
			continue
		}
		if v.targets[control] == nil {
			v.targets[control] = map[string]bool{}
		}
		v.targets[control][a.ID] = true
		delete(v.orphanedAt, a.ID)
	}
}

// drop forgets what a control instance has said, since it has restarted or is gone.
func (v *vouchers) drop(control string, now time.Time) {
	dropped := v.targets[control]
	delete(v.targets, control)
	for id := range dropped {
		if !v.hasVoucher(id) {
			v.orphanedAt[id] = now
		}
	}
}

func (v *vouchers) hasVoucher(id string) bool {
	for _, targets := range v.targets {
		if targets[id] {
			return true
		}
	}
	return false
}

// takeSilent removes and returns the orphans that count as silent.
func (v *vouchers) takeSilent(now time.Time) []string {
	var out []string
	for id, at := range v.orphanedAt {
		if now.Sub(at) >= orphanTime {
			out = append(out, id)
			delete(v.orphanedAt, id)
		}
	}
	return out
}

package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a target that crashed while the only control instance that knew it restarted,
// or was replaced: nobody would ever say that it has fallen silent.
func TestTargetThatNobodyVouchesForCountsAsSilent(t *testing.T) {
	for name, lose := range map[string]func(*ViewStore){
		"restarted": func(s *ViewStore) { s.MergeFrom("c1", true, nil, nil) },
		"gone":      func(s *ViewStore) { s.Forget("c1") },
	} {
		t.Run(name, func(t *testing.T) {
			c := &testClock{current: time.Unix(1000, 0)}
			views := NewViewStore(nil, c.now)
			states := func() (out [3]TargetState) {
				v, _ := views.View()
				for i, id := range []string{"dead", "moved", "twice"} {
					out[i] = v.Targets[id].State
				}
				return out
			}
			views.MergeFrom("c1", true, nil, []Announcement{readyAnnouncement("dead", 5, 1), readyAnnouncement("moved", 5, 1), readyAnnouncement("twice", 5, 1)})
			views.MergeFrom("c2", true, nil, []Announcement{readyAnnouncement("twice", 5, 1)})
			c.current = c.current.Add(time.Hour)
			lose(views)
			c.current = c.current.Add(orphanTime / 2)
			views.MergeFrom("c2", false, nil, []Announcement{readyAnnouncement("moved", 5, 9)})
			assert.Equal(t, states(), [3]TargetState{Ready, Ready, Ready})
			c.current = c.current.Add(orphanTime / 2)
			views.MergeFrom("c2", false, nil, nil)
			assert.Equal(t, states(), [3]TargetState{Silent, Ready, Ready})
			v, _ := views.View()
			assert.Assert(t, v.Usable(v.Targets["dead"]), "as the last choice, as any silent one")
			views.MergeFrom("c1", false, nil, []Announcement{readyAnnouncement("dead", 5, 99)})
			assert.Equal(t, states(), [3]TargetState{Ready, Ready, Ready}, "it was cut off only")
		})
	}
}

package fleet

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against tables that grow with each entry instance, control instance and target that
// has ever lived.
func TestThousandLivesLeaveNothingBehind(t *testing.T) {
	const (
		lives = 1000
		life  = time.Minute
	)
	c := &testClock{current: time.Unix(1000, 0)}
	registry, watchers, views := NewRegistry(testInterval, c.now), NewWatchers(c.now), NewViewStore(nil, c.now)
	most := 3 + int(silentRetention/life) // those that crashed stay known for silentRetention
	cursor := uint64(0)
	for n := range lives {
		c.current = c.current.Add(life)
		a := readyAnnouncement(fmt.Sprint("target-", n), int64(n+1), 1)
		a.Address = fmt.Sprintf("10.0.%d.%d:80", n/200, n%200)
		_, ok := registry.Announce(a, false)
		assert.Assert(t, ok)
		if n%2 == 0 { // the others crash
			registry.Announce(Announcement{ID: a.ID, State: Gone}, false)
		}
		registry.Sweep()
		var changed []Announcement
		changed, cursor, _ = registry.Since(cursor)
		control := fmt.Sprint("control-", n)
		views.MergeFrom(control, true, nil, changed)

		end := watchers.BeginPoll(Watcher{Name: fmt.Sprint("entry-", n), Address: "10.1.0.1:80", FailureDomain: "a"}, 0, time.Second)
		end(n%2 == 0)
		entries, _ := watchers.EntryInstances()
		views.SetEntries(control, entries)
		if n > 0 {
			views.Forget(fmt.Sprint("control-", n-1))
		}

		view, _ := views.View()
		assert.Assert(t, len(registry.records) <= most, "%d records", len(registry.records))
		assert.Assert(t, len(registry.history) <= historyPerRecord*most+minHistory, "%d changes", len(registry.history))
		assert.Assert(t, len(watchers.byName) <= most, "%d watchers", len(watchers.byName))
		assert.Assert(t, len(view.Targets) <= most, "%d targets", len(view.Targets))
		assert.Assert(t, len(view.Entries) <= most, "%d entry instances", len(view.Entries))
		assert.Assert(t, len(views.entryLists) == 1, "%d lists", len(views.entryLists))
		assert.Assert(t, len(views.vouchers.targets) <= 1 && len(views.vouchers.orphanedAt) <= most, "%+v", views.vouchers)
	}
}

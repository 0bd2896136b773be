package fleet

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/endivetrack/endivetrack/internal/agreement"
)

// versionAnnouncement is the first announcement of a target that runs a version.
func versionAnnouncement(id, address, version string) Announcement {
	a := readyAnnouncement(id, 1, 1)
	a.Address, a.Version = address, version
	return a
}

func awaitVersions(t *testing.T, c *testControl, want ...string) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		store, _ := startFollower(t, "e", c.address)
		view := awaitView(t, store, func(v *View) bool { return v.Index > 0 || len(v.Targets) > 0 })
		if got := view.Versions("s"); len(got) != len(want) {
			return poll.Continue("versions %v", got)
		}
		assert.DeepEqual(t, view.Versions("s"), want)
		return poll.Success()
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(20*time.Millisecond))
}

// awaitCommits waits until the changes that are due have been committed.
func (c *testControl) awaitCommits(t *testing.T) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		c.commits.mu.Lock()
		defer c.commits.mu.Unlock()
		if !c.commits.busy {
			return poll.Success()
		}
		return poll.Continue("commit in progress")
	})
}

// Guards against a stream that is taken up at the wrong version after all instances have
// restarted, when the targets of its version have left or have not announced themselves again.
func TestVersionsSurviveARestartOfEverything(t *testing.T) {
	c := newTestControl(t, "1")
	c.log.CurrentStatus = agreement.Status{LeaderAddress: c.address}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go c.Run(ctx)
	assert.NilError(t, c.Announce(ctx, versionAnnouncement("i1", "10.0.0.1:80", "v1")))
	assert.NilError(t, c.Announce(ctx, versionAnnouncement("i2", "10.0.0.2:80", "v2")))
	awaitVersions(t, c, "v1", "v2")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if state, _ := c.machine.State(); state.Index >= 2 {
			return poll.Success()
		}
		return poll.Continue("not replicated")
	}, poll.WithTimeout(5*time.Second))
	snapshot, err := c.machine.Snapshot()
	assert.NilError(t, err)
	restarted := newTestControl(t, "2")
	assert.NilError(t, restarted.machine.Restore(snapshot))
	restarted.log.Index = c.log.Index
	awaitVersions(t, restarted, "v1", "v2")
}

// Guards against a version that the leader never learns of, since its targets announce
// themselves to another control instance.
func TestLeaderLearnsVersionsFromOtherInstances(t *testing.T) {
	leader, other := newTestControl(t, "1"), newTestControl(t, "2")
	members := []agreement.Member{{Address: leader.address}, {Address: other.address}}
	leader.log.CurrentStatus = agreement.Status{LeaderAddress: leader.address, Members: members}
	other.log.CurrentStatus = agreement.Status{LeaderAddress: leader.address, Members: members}
	assert.NilError(t, other.Announce(context.Background(), versionAnnouncement("i1", "10.0.0.1:80", "v1")))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if state, _ := leader.machine.State(); state.hasVersion(ServiceVersion{"s", "v1"}) {
			return poll.Success()
		}
		return poll.Continue("not replicated")
	}, poll.WithTimeout(5*time.Second))
	announcements, _, _ := leader.registry.Since(0)
	assert.Equal(t, len(announcements), 0, "a version is not a target that may be used")
}

// Guards against versions that stay for ever, so that unknown streams are never continued,
// and against one that goes while its targets announce themselves elsewhere.
func TestVersionWithoutTargetsIsRemoved(t *testing.T) {
	c := newTestControl(t, "1")
	c.log.CurrentStatus = agreement.Status{LeaderAddress: c.address}
	clock := &testClock{current: time.Unix(1e9, 0)}
	c.now = clock.now
	ctx := context.Background()
	sweep := func() {
		c.versions.sweep(ctx)
		c.awaitCommits(t)
	}
	c.versions.seen("s", "v1")
	sweep()
	c.versions.seen("s", "v2")
	sweep()
	for range 8 {
		clock.current = clock.current.Add(versionRefresh)
		c.versions.seen("s", "v2")
		sweep()
	}
	state, _ := c.machine.State()
	assert.DeepEqual(t, state.Versions, []ServiceVersion{{"s", "v2"}})
	c.log.CurrentStatus = agreement.Status{}
	sweep()
	c.log.CurrentStatus = agreement.Status{LeaderAddress: c.address}
	clock.current = clock.current.Add(2 * versionRetention)
	sweep()
	state, _ = c.machine.State()
	assert.Assert(t, state.hasVersion(ServiceVersion{"s", "v2"}), "a new leader has not been told yet")
}

// Guards against streams that are not recorded for the second after all connections were reset.
func TestUnreachableControlInstancesAreTriedLast(t *testing.T) {
	f := NewFollower(Watcher{Name: "e", Region: "r", FailureDomain: "a"}, []string{"down:1", "x:1", "y:1", "z:1"}, NewViewStore(decodeTestDocument, time.Now), nil, zerolog.Nop(), tally.NoopScope)
	f.markReachable("x:1", location{sameDomain, "a"})
	f.markReachable("y:1", location{sameDomain, "a"})
	f.markReachable("z:1", location{otherRegion, "b"})
	assert.DeepEqual(t, f.Nearest(), []string{"x:1", "z:1", "y:1", "down:1"})
	for _, address := range []string{"x:1", "y:1", "z:1"} {
		f.markUnreachable(address)
	}
	assert.DeepEqual(t, f.Nearest(), []string{"down:1", "x:1", "y:1", "z:1"})
}

package slopes

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"sort"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/peerauth"
	"github.com/endivetrack/endivetrack/internal/process"
	"github.com/endivetrack/endivetrack/internal/session"
	"github.com/endivetrack/endivetrack/internal/timeline"
	"github.com/endivetrack/endivetrack/standin/cluster"
)

// Durations and number of settings changes of one measurement.
const (
	settleTime    = 2 * time.Second
	sampleTime    = 4 * time.Second
	startTimeout  = 20 * time.Second
	changesPerRun = 10
)

// Size is the size of a deployment whose control plane is measured.
type Size struct {
	Voters   int
	Sessions int
	Accounts int
}

// Cost holds the measurements of the control plane at one size.
type Cost struct {
	Size Size
	// LeaderCPU and FollowerCPU are percent of one core. FollowerCPU is the
	// mean of the followers, FollowerMB their maximum.
	LeaderCPU, FollowerCPU float64
	LeaderMB, FollowerMB   float64
	// NodeCPU (percent of a core), NodeKBPerSecond and NodeMB are the mean cost
	// of one session of lightNodes in the measuring process.
	NodeCPU, NodeKBPerSecond, NodeMB float64
	// ChangeKB is the traffic of one session for one settings change in kilobytes.
	ChangeKB float64
	// AcceptedP50, InForceP50 and InForceMax are the milliseconds from sending
	// a settings change until it is accepted or in force.
	AcceptedP50, InForceP50, InForceMax float64
}

// lightNodes runs the sessions of entry instances that have no callers and no
// targets.
type lightNodes struct {
	sessions []*session.Session
	bytes    *byteCounter
	cancel   context.CancelFunc
	running  sync.WaitGroup
}

// startNodes opens n sessions, assigned to the locations in turn.
func startNodes(ctx context.Context, locations []cluster.Location, n int, controls []string, peerKey string) *lightNodes {
	ctx, cancel := context.WithCancel(ctx)
	nodes := &lightNodes{bytes: &byteCounter{}, cancel: cancel}
	clock := timeline.NewClock(time.Now)
	for i := range n {
		location := locations[i%len(locations)]
		s := session.New(session.Config{
			Instance: &api.Instance{
				Name: fmt.Sprintf("node-%03d", i), Incarnation: peerauth.NewKey()[:16],
				Region: location.Region, FailureDomain: location.FailureDomain,
				Address: fmt.Sprintf("127.0.%d.%d:7000", 100+i/250, 1+i%250),
			},
			ControlAddresses: controls,
			PeerClient:       &http.Client{Transport: process.PeerTransport(peerKey, clock, nodes.bytes.transport())},
			Logger:           zerolog.Nop(),
		})
		nodes.sessions = append(nodes.sessions, s)
		nodes.running.Go(func() { s.Run(ctx) })
	}
	return nodes
}

func (n *lightNodes) stop() {
	n.cancel()
	n.running.Wait()
}

// allFresh reports whether every session holds a valid freshness lease and its
// view, the session's copy of the replicated state, has at least the version.
func (n *lightNodes) allFresh(version uint64) bool {
	for _, s := range n.sessions {
		if !s.Fresh() || s.View().Version < version {
			return false
		}
	}
	return true
}

// MeasureSessions runs a control group and sessions at one size and returns the
// cost.
func MeasureSessions(ctx context.Context, binDir string, size Size) (Cost, error) {
	dir, err := os.MkdirTemp("", "slopes")
	if err != nil {
		return Cost{}, err
	}
	defer os.RemoveAll(dir)
	c, err := cluster.New(cluster.Options{BinDir: binDir, Dir: dir, Controls: size.Voters, Accounts: size.Accounts})
	if err != nil {
		return Cost{}, err
	}
	defer c.Stop()
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := c.Start(startCtx); err != nil {
		return Cost{}, fmt.Errorf("start %+v: %w", size, err)
	}
	key, err := os.ReadFile(filepath.Join(dir, "peer.key"))
	if err != nil {
		return Cost{}, err
	}
	heapBefore := heapBytes()
	nodes := startNodes(ctx, cluster.Locations, size.Sessions, cluster.Addresses(c.Controls), string(key[:len(key)-1]))
	defer nodes.stop()
	if err := cluster.WaitUntil(startCtx, "fresh sessions", func() bool { return nodes.allFresh(1) }); err != nil {
		return Cost{}, err
	}
	time.Sleep(settleTime)
	cost := Cost{Size: size, NodeMB: float64(heapBytes()-heapBefore) / float64(size.Sessions) / (1 << 20)}
	if err := cost.sampleIdle(ctx, c, nodes); err != nil {
		return Cost{}, err
	}
	return cost, cost.sampleChanges(ctx, c, nodes)
}

// heapBytes returns this process's heap and stack memory after a garbage
// collection.
func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// sampleIdle measures processor time, memory and traffic while the settings do
// not change.
func (cost *Cost) sampleIdle(ctx context.Context, c *cluster.Cluster, nodes *lightNodes) error {
	leader, err := leaderName(ctx, c)
	if err != nil {
		return err
	}
	bytesBefore := nodes.bytes.total()
	self, err := UsageOf(os.Getpid())
	if err != nil {
		return err
	}
	before := map[string]Usage{}
	for _, p := range c.Controls {
		if before[p.Name], err = UsageOf(p.PID()); err != nil {
			return err
		}
	}
	start := time.Now()
	time.Sleep(sampleTime)
	elapsed := time.Since(start)
	for _, p := range c.Controls {
		u, err := UsageOf(p.PID())
		if err != nil {
			return err
		}
		percent := 100 * float64(u.CPU-before[p.Name].CPU) / float64(elapsed)
		mb := float64(u.Resident) / (1 << 20)
		if p.Name == leader {
			cost.LeaderCPU, cost.LeaderMB = percent, mb
		} else {
			cost.FollowerCPU += percent / float64(len(c.Controls)-1)
			cost.FollowerMB = max(cost.FollowerMB, mb)
		}
	}
	after, err := UsageOf(os.Getpid())
	if err != nil {
		return err
	}
	n := float64(len(nodes.sessions))
	cost.NodeCPU = 100 * float64(after.CPU-self.CPU) / float64(elapsed) / n
	cost.NodeKBPerSecond = float64(nodes.bytes.total()-bytesBefore) / elapsed.Seconds() / n / 1000
	return nil
}

func leaderName(ctx context.Context, c *cluster.Cluster) (string, error) {
	op, err := c.OpenOperator()
	if err != nil {
		return "", err
	}
	s, err := op.Status(ctx)
	if err != nil {
		return "", err
	}
	return s.Leader, nil
}

// sampleChanges applies settings changes and measures how long they take until
// they are accepted and in force, and their traffic.
func (cost *Cost) sampleChanges(ctx context.Context, c *cluster.Cluster, nodes *lightNodes) error {
	var accepted, inForce []float64
	bytesBefore, start := nodes.bytes.total(), time.Now()
	for i := range changesPerRun {
		a, f, err := c.SetInServiceAndWait(ctx, cluster.Locations[2].FailureDomain, i%2 == 1)
		if err != nil {
			return err
		}
		accepted = append(accepted, milliseconds(a))
		inForce = append(inForce, milliseconds(f))
	}
	n := float64(len(nodes.sessions))
	idle := cost.NodeKBPerSecond * time.Since(start).Seconds()
	cost.ChangeKB = max(0, (float64(nodes.bytes.total()-bytesBefore)/1000/n-idle)/changesPerRun)
	sort.Float64s(accepted)
	sort.Float64s(inForce)
	cost.AcceptedP50 = accepted[len(accepted)/2]
	cost.InForceP50, cost.InForceMax = inForce[len(inForce)/2], inForce[len(inForce)-1]
	return nil
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

package slopes

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/process"
	"github.com/endivetrack/endivetrack/internal/session"
	"github.com/endivetrack/endivetrack/internal/timeline"
	"github.com/endivetrack/endivetrack/standin/announce"
	"github.com/endivetrack/endivetrack/standin/cluster"
)

// OwnerSize is the load on a shard owner in one measurement.
type OwnerSize struct {
	Targets           int
	RequestsPerSecond int
}

// OwnerCost holds the measurements of a shard owner under one load.
type OwnerCost struct {
	Size OwnerSize
	// CPU (percent of a core) and MB are those of the entry instance that owns
	// the shard, IdleCPU and IdleMB those of an entry instance without it.
	CPU, MB, IdleCPU, IdleMB float64
	// KBPerRequest is the traffic, in both directions, of acquiring, reporting
	// and releasing one permit.
	KBPerRequest float64
	Granted      int64
}

// Parameters of the load on a measured shard owner. Targets announce so much memory and
// concurrency that they never limit the permits.
const (
	ownerTargetMemory  = 1 << 28
	ownerTargetRunning = 4096
	permitHold         = 200 * time.Millisecond
	announceWarmup     = 3 * time.Second
)

// MeasureOwner measures the cost of one shard owner. size.Targets targets announce
// themselves to it, and one session acquires size.RequestsPerSecond permits per
// second from it.
func MeasureOwner(ctx context.Context, binDir string, size OwnerSize) (OwnerCost, error) {
	dir, err := os.MkdirTemp("", "slopes")
	if err != nil {
		return OwnerCost{}, err
	}
	defer os.RemoveAll(dir)
	c, err := cluster.New(cluster.Options{BinDir: binDir, Dir: dir, Controls: baseVoters, Entries: 3, Accounts: baseAccounts})
	if err != nil {
		return OwnerCost{}, err
	}
	defer c.Stop()
	startCtx, cancelStart := context.WithTimeout(ctx, startTimeout)
	defer cancelStart()
	if err := c.Start(startCtx); err != nil {
		return OwnerCost{}, err
	}
	peerKey, err := os.ReadFile(filepath.Join(dir, "peer.key"))
	if err != nil {
		return OwnerCost{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := announceTargets(ctx, c, size.Targets); err != nil {
		return OwnerCost{}, err
	}
	// The session that holds the permits is in another region, so that the
	// measured shard is never assigned to it.
	holderNode := startNodes(ctx, cluster.Locations[2:], 1, cluster.Addresses(c.Controls), string(peerKey[:len(peerKey)-1]))
	defer holderNode.stop()
	holder := holderNode.sessions[0]
	shard := session.ShardKey{Team: cluster.Team, Service: cluster.EngineService, Region: cluster.Locations[0].Region}
	ownerAddress := func() string { return holder.View().Assignments[shard].GetOwnerAddress() }
	if err := cluster.WaitUntil(startCtx, "a shard owner", func() bool { return holder.Fresh() && ownerAddress() != "" }); err != nil {
		return OwnerCost{}, err
	}
	time.Sleep(announceWarmup)
	return sampleOwner(ctx, c, size, holder, shard, ownerAddress(), string(peerKey[:len(peerKey)-1]))
}

// announceTargets starts n targets in one region that announce themselves until
// ctx ends.
func announceTargets(ctx context.Context, c *cluster.Cluster, n int) error {
	key, err := os.ReadFile(filepath.Join(c.Dir, "target.key"))
	if err != nil {
		return err
	}
	for i := range n {
		m := announce.Message{
			Team: cluster.Team, Service: cluster.EngineService, Target: fmt.Sprintf("engine-%04d", i), Incarnation: "1",
			Address: fmt.Sprintf("127.0.%d.%d:9000", 10+i/250, 1+i%250), Region: cluster.Locations[0].Region,
			FailureDomain: cluster.Locations[i%2].FailureDomain, Models: []string{cluster.Model},
			MaxRunning: ownerTargetRunning, MemoryTokens: ownerTargetMemory, ReportedRunning: ownerTargetRunning,
		}
		a := announce.New(cluster.Addresses(c.Entries[:2]), string(key[:len(key)-1]), func() announce.Message { return m })
		go a.Run(ctx, nil)
	}
	return nil
}

// sampleOwner measures the shard owner at address while a permitLoad runs against
// it, and another entry instance for comparison.
func sampleOwner(ctx context.Context, c *cluster.Cluster, size OwnerSize, holder *session.Session, shard session.ShardKey, address, peerKey string) (OwnerCost, error) {
	cost := OwnerCost{Size: size}
	bytes := &byteCounter{}
	client := &http.Client{Transport: process.PeerTransport(peerKey, timeline.NewClock(time.Now), bytes.transport())}
	load := &permitLoad{
		owner: api.NewAdmissionCommandProtobufClient("http://"+address, client), shard: shard.Proto(), holderSession: holder.SessionID(),
		held: map[string]string{},
	}
	loadCtx, stopLoad := context.WithCancel(ctx)
	var running sync.WaitGroup
	if size.RequestsPerSecond > 0 {
		running.Go(func() { load.run(loadCtx, size.RequestsPerSecond) })
	}
	defer running.Wait()
	defer stopLoad()
	time.Sleep(settleTime)
	grantedBefore, bytesBefore := load.granted.Load(), bytes.total()
	var owner, idle *cluster.Process
	for _, e := range c.Entries {
		if e.Address == address {
			owner = e
		} else {
			idle = e // this entry instance is in the other region or does not own the measured shard
		}
	}
	var err error
	var resident, idleResident int64
	var idleErr error
	var samplers sync.WaitGroup
	samplers.Go(func() { cost.IdleCPU, idleResident, idleErr = CPUShare(ctx, idle.PID(), sampleTime) })
	cost.CPU, resident, err = CPUShare(ctx, owner.PID(), sampleTime)
	samplers.Wait()
	cost.MB, cost.IdleMB = float64(resident)/(1<<20), float64(idleResident)/(1<<20)
	cost.Granted = load.granted.Load() - grantedBefore
	if cost.Granted > 0 {
		cost.KBPerRequest = float64(bytes.total()-bytesBefore) / 1000 / float64(cost.Granted)
	}
	if err == nil {
		err = idleErr
	}
	return cost, err
}

// permitLoad acquires, reports and releases permits at a shard owner as an entry
// instance does.
type permitLoad struct {
	owner         api.AdmissionCommand
	shard         *api.Shard
	holderSession uint64
	granted       atomic.Int64

	mu   sync.Mutex
	held map[string]string // names of the targets that held permits are for, by permit id
}

// run starts perSecond requests per second and reports the held permits once per
// second, until ctx ends.
func (l *permitLoad) run(ctx context.Context, perSecond int) {
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	report := time.NewTicker(time.Second)
	defer report.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-report.C:
			go l.reportHeldPermits(ctx)
		case <-ticker.C:
			go l.runRequest(ctx, i)
		}
	}
}

// runRequest acquires a permit, holds it for permitHold and releases it.
func (l *permitLoad) runRequest(ctx context.Context, i int) {
	resp, err := l.owner.Acquire(ctx, &api.AcquireRequest{
		Shard: l.shard, HolderSession: l.holderSession, RequestId: fmt.Sprintf("r-%d", i), WaitMs: 1000,
		Request: &api.RequestClass{Account: "account-1", Model: cluster.Model, Class: cluster.LongClass, PromptTokens: 200, MaxTokens: 2000,
			PrefixHashes: []uint64{1, 2, 3, 4}},
	})
	if err != nil || resp.GetPermit() == nil {
		return
	}
	l.granted.Add(1)
	p := resp.GetPermit()
	l.mu.Lock()
	l.held[p.GetId()] = p.GetTarget()
	l.mu.Unlock()
	time.Sleep(permitHold)
	l.mu.Lock()
	delete(l.held, p.GetId())
	l.mu.Unlock()
	_, _ = l.owner.Release(ctx, &api.ReleaseRequest{
		Shard: l.shard, HolderSession: l.holderSession, Reason: api.ReleaseReason_RELEASE_REASON_FINISHED,
		Final: &api.Progress{PermitId: p.GetId(), Target: p.GetTarget(), OutputTokens: 300, FirstTokenMs: 40, MeanGapUs: 20_000, MaxGapUs: 30_000},
	})
}

// reportHeldPermits reports progress of all held permits to the shard owner.
func (l *permitLoad) reportHeldPermits(ctx context.Context) {
	req := &api.ReportRequest{Shard: l.shard, HolderSession: l.holderSession}
	l.mu.Lock()
	for id, target := range l.held {
		req.Permits = append(req.Permits, &api.Progress{PermitId: id, Target: target, OutputTokens: 10, FirstTokenMs: 40, MeanGapUs: 20_000})
	}
	l.mu.Unlock()
	_, _ = l.owner.Report(ctx, req)
}

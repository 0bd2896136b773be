package slopes

import (
	"context"
	"fmt"
	"io"
)

// Target size (letter of the users; docs/CAPACITY.md).
const (
	targetNodes    = 370
	targetAccounts = 1800
	targetVoters   = 7
	targetServers  = 600
	targetRequests = 2700
	targetShards   = 304 // 19 a service and region, of about 2 servers each
	mostShards     = 2   // of one instance, by the bound of the assignment
	changesPerDay  = 1500
	secondsPerDay  = 86_400
)

// Sizes that are measured.
var (
	sessionSizes = []int{8, 32, 128, 370}
	accountSizes = []int{10, 200, 1800}
	voterSizes   = []int{3, 5, 7}
	targetSizes  = []int{20, 80, 320}
	requestSizes = []int{0, 50, 100, 200}
)

// Fixed parts of the sizes while another one varies.
const (
	baseVoters   = 3
	baseSessions = 32
	baseAccounts = 10
	baseTargets  = 20
)

// Report measures all sizes and writes tables, fits and the summary line.
func Report(ctx context.Context, binDir string, w io.Writer) error {
	bySessions, err := measureAll(ctx, binDir, w, "sessions", sessionSizes, func(n int) Size { return Size{baseVoters, n, baseAccounts} })
	if err != nil {
		return err
	}
	byAccounts, err := measureAll(ctx, binDir, w, "client accounts", accountSizes, func(n int) Size { return Size{baseVoters, baseSessions, n} })
	if err != nil {
		return err
	}
	byVoters, err := measureAll(ctx, binDir, w, "voters", voterSizes, func(n int) Size { return Size{n, baseSessions, baseAccounts} })
	if err != nil {
		return err
	}
	byTargets, err := measureOwners(ctx, binDir, w, "targets", targetSizes, func(n int) OwnerSize { return OwnerSize{Targets: n} })
	if err != nil {
		return err
	}
	byRequests, err := measureOwners(ctx, binDir, w, "requests/s", requestSizes, func(n int) OwnerSize { return OwnerSize{baseTargets, n} })
	if err != nil {
		return err
	}
	printControl(w, bySessions, byAccounts, byVoters)
	printSummary(w, bySessions, byAccounts, byTargets, byRequests)
	return nil
}

func measureOwners(ctx context.Context, binDir string, w io.Writer, what string, sizes []int, at func(int) OwnerSize) ([]OwnerCost, error) {
	fmt.Fprintf(w, "\n%-16s %9s %9s %9s %9s %9s %10s\n", what, "owner cpu%", "owner MB", "idle cpu%", "idle MB", "permits", "KB/permit")
	var out []OwnerCost
	for _, n := range sizes {
		c, err := MeasureOwner(ctx, binDir, at(n))
		if err != nil {
			return nil, err
		}
		fmt.Fprintf(w, "%-16d %9.2f %9.1f %9.2f %9.1f %9d %10.3f\n", n, c.CPU, c.MB, c.IdleCPU, c.IdleMB, c.Granted, c.KBPerRequest)
		out = append(out, c)
	}
	return out, nil
}

func ownerPoints(costs []OwnerCost, size func(OwnerSize) int, cost func(OwnerCost) float64) []Point {
	var out []Point
	for _, c := range costs {
		out = append(out, Point{float64(size(c.Size)), cost(c)})
	}
	return out
}

func measureAll(ctx context.Context, binDir string, w io.Writer, what string, sizes []int, at func(int) Size) ([]Cost, error) {
	fmt.Fprintf(w, "\n%-16s %8s %8s %8s %8s %8s %8s %8s %9s %9s %9s %9s\n", what,
		"lead cpu%", "lead MB", "foll cpu%", "foll MB", "node cpu%", "node MB", "node KB/s", "change KB", "accept ms", "force p50", "force max")
	var out []Cost
	for _, n := range sizes {
		c, err := MeasureSessions(ctx, binDir, at(n))
		if err != nil {
			return nil, err
		}
		fmt.Fprintf(w, "%-16d %8.2f %8.1f %8.2f %8.1f %8.3f %8.3f %8.3f %9.2f %9.1f %9.1f %9.1f\n", n,
			c.LeaderCPU, c.LeaderMB, c.FollowerCPU, c.FollowerMB, c.NodeCPU, c.NodeMB, c.NodeKBs, c.ChangeKB, c.AcceptedP50, c.InForceP50, c.InForceMax)
		out = append(out, c)
	}
	return out, nil
}

func points(costs []Cost, size func(Size) int, cost func(Cost) float64) []Point {
	var out []Point
	for _, c := range costs {
		out = append(out, Point{float64(size(c.Size)), cost(c)})
	}
	return out
}

func printControl(w io.Writer, bySessions, byAccounts, byVoters []Cost) {
	sessions := func(s Size) int { return s.Sessions }
	accounts := func(s Size) int { return s.Accounts }
	voters := func(s Size) int { return s.Voters }
	row := func(what string, f Fit, size float64) {
		fmt.Fprintf(w, "%-32s %v; at %v: %.3f\n", what, f, size, f.At(size))
	}
	fmt.Fprintln(w)
	row("leader cpu% by session", Line(points(bySessions, sessions, func(c Cost) float64 { return c.LeaderCPU })), targetNodes)
	row("leader MB by session", Line(points(bySessions, sessions, func(c Cost) float64 { return c.LeaderMB })), targetNodes)
	row("leader MB by account", Line(points(byAccounts, accounts, func(c Cost) float64 { return c.LeaderMB })), targetAccounts)
	row("follower cpu% by voter", Line(points(byVoters, voters, func(c Cost) float64 { return c.FollowerCPU })), targetVoters)
	row("in force max ms by session", Line(points(bySessions, sessions, func(c Cost) float64 { return c.InForceMax })), targetNodes)
	row("in force max ms by account", Line(points(byAccounts, accounts, func(c Cost) float64 { return c.InForceMax })), targetAccounts)
}

// printSummary adds up what one entry instance spends on control at the target
// size: its session, the settings, and its share of the shard owners' work.
func printSummary(w io.Writer, bySessions, byAccounts []Cost, byTargets, byRequests []OwnerCost) {
	sessions := func(s Size) int { return s.Sessions }
	accounts := func(s Size) int { return s.Accounts }
	nodeKBs := Line(points(bySessions, sessions, func(c Cost) float64 { return c.NodeKBs }))
	changeKB := Line(points(byAccounts, accounts, func(c Cost) float64 { return c.ChangeKB }))
	nodeMB := Line(points(byAccounts, accounts, func(c Cost) float64 { return c.NodeMB }))
	targetCPU := Line(ownerPoints(byTargets, func(s OwnerSize) int { return s.Targets }, func(c OwnerCost) float64 { return c.CPU }))
	targetMB := Line(ownerPoints(byTargets, func(s OwnerSize) int { return s.Targets }, func(c OwnerCost) float64 { return c.MB }))
	requestCPU := Line(ownerPoints(byRequests, func(s OwnerSize) int { return s.RequestsPerSecond }, func(c OwnerCost) float64 { return c.CPU }))
	permitKB := byRequests[len(byRequests)-1].KBPerRequest
	nodeCPU := bySessions[len(bySessions)-1].NodeCPU

	perShard := float64(targetRequests) / targetShards
	perNode := float64(targetRequests) / targetNodes
	fmt.Fprintf(w, "node KB/s by session              %v; at %d: %.3f\n", nodeKBs, targetNodes, nodeKBs.At(targetNodes))
	fmt.Fprintf(w, "node MB by account                %v; at %d: %.3f\n", nodeMB, targetAccounts, nodeMB.At(targetAccounts))
	fmt.Fprintf(w, "change KB by account              %v; at %d: %.3f\n", changeKB, targetAccounts, changeKB.At(targetAccounts))
	fmt.Fprintf(w, "owner cpu%% by target              %v\n", targetCPU)
	fmt.Fprintf(w, "owner MB by target                %v\n", targetMB)
	fmt.Fprintf(w, "owner cpu%% by request/s           %v; at %.0f: %.3f\n", requestCPU, perShard, requestCPU.At(perShard))

	cpu := nodeCPU + targetCPU.Slope*targetServers/targetNodes + requestCPU.Slope*perNode
	ownerCPU := nodeCPU + mostShards*(targetCPU.Slope*targetServers/targetShards+requestCPU.Slope*perShard)
	session := nodeKBs.At(targetNodes) + max(0, changeKB.At(targetAccounts))*changesPerDay/secondsPerDay
	kbs := session + permitKB*perNode
	ownerKBs := session + mostShards*permitKB*perShard
	mb := byTargets[0].IdleMB + nodeMB.At(targetAccounts)
	fmt.Fprintf(w, "mean entry instance: %.3f%% of a core, %.1f MB resident (whole process), %.2f KB/s\n", cpu, mb, kbs)
	fmt.Fprintf(w, "entry instance that owns %d shards: %.3f%% of a core, %.2f KB/s\n", mostShards, ownerCPU, ownerKBs)
	fmt.Fprintf(w, "\nslopes: control_cpu_pct=%.3f control_mb=%.2f control_kbs=%.2f\n", ownerCPU, mb, ownerKBs)
}

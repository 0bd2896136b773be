package slopes

import (
	"context"
	"fmt"
	"io"
)

// Full size of a deployment, as the users require it (docs/CAPACITY.md).
const (
	fullSizeNodes             = 370
	fullSizeAccounts          = 1800
	fullSizeVoters            = 7
	fullSizeTargets           = 600
	fullSizeRequestsPerSecond = 2700
	fullSizeShards            = 304 // 19 shards per service and region, with about 2 targets each
	maxShardsPerInstance      = 2   // maximum number of shards that one instance is assigned
	changesPerDay             = 1500
	secondsPerDay             = 86_400
)

// Sizes at which costs are measured.
var (
	sessionCounts = []int{8, 32, 128, 370}
	accountCounts = []int{10, 200, 1800}
	voterCounts   = []int{3, 5, 7}
	targetCounts  = []int{20, 80, 320}
	requestRates  = []int{0, 50, 100, 200}
)

// Sizes that stay fixed while another one varies.
const (
	baseVoters   = 3
	baseSessions = 32
	baseAccounts = 10
	baseTargets  = 20
)

// Report measures the costs at each number of sessions, client accounts, voters,
// targets and requests per second. It writes tables, fitted lines and the summary
// line to w.
func Report(ctx context.Context, binDir string, w io.Writer) error {
	bySessions, err := measureControl(ctx, binDir, w, "sessions", sessionCounts, func(n int) Size { return Size{baseVoters, n, baseAccounts} })
	if err != nil {
		return err
	}
	byAccounts, err := measureControl(ctx, binDir, w, "client accounts", accountCounts, func(n int) Size { return Size{baseVoters, baseSessions, n} })
	if err != nil {
		return err
	}
	byVoters, err := measureControl(ctx, binDir, w, "voters", voterCounts, func(n int) Size { return Size{n, baseSessions, baseAccounts} })
	if err != nil {
		return err
	}
	byTargets, err := measureOwners(ctx, binDir, w, "targets", targetCounts, func(n int) OwnerSize { return OwnerSize{Targets: n} })
	if err != nil {
		return err
	}
	byRequests, err := measureOwners(ctx, binDir, w, "requests/s", requestRates, func(n int) OwnerSize { return OwnerSize{baseTargets, n} })
	if err != nil {
		return err
	}
	printControlFits(w, bySessions, byAccounts, byVoters)
	printSummary(w, bySessions, byAccounts, byTargets, byRequests)
	return nil
}

// measureOwners runs MeasureOwner for each size, prints a table of the costs and
// returns them. variable is the heading of the sizes.
func measureOwners(ctx context.Context, binDir string, w io.Writer, variable string, sizes []int, sizeFor func(int) OwnerSize) ([]OwnerCost, error) {
	fmt.Fprintf(w, "\n%-16s %9s %9s %9s %9s %9s %10s\n", variable, "owner cpu%", "owner MB", "idle cpu%", "idle MB", "permits", "KB/permit")
	var out []OwnerCost
	for _, n := range sizes {
		c, err := MeasureOwner(ctx, binDir, sizeFor(n))
		if err != nil {
			return nil, err
		}
		fmt.Fprintf(w, "%-16d %9.2f %9.1f %9.2f %9.1f %9d %10.3f\n", n, c.CPU, c.MB, c.IdleCPU, c.IdleMB, c.Granted, c.KBPerRequest)
		out = append(out, c)
	}
	return out, nil
}

// ownerPoints returns one point for each measurement, with the given size and cost.
func ownerPoints(costs []OwnerCost, size func(OwnerSize) int, cost func(OwnerCost) float64) []Point {
	var out []Point
	for _, c := range costs {
		out = append(out, Point{float64(size(c.Size)), cost(c)})
	}
	return out
}

// measureControl runs MeasureSessions for each size, prints a table of the costs and
// returns them. variable is the heading of the sizes.
func measureControl(ctx context.Context, binDir string, w io.Writer, variable string, sizes []int, sizeFor func(int) Size) ([]Cost, error) {
	fmt.Fprintf(w, "\n%-16s %8s %8s %8s %8s %8s %8s %8s %9s %9s %9s %9s\n", variable,
		"lead cpu%", "lead MB", "foll cpu%", "foll MB", "node cpu%", "node MB", "node KB/s", "change KB", "accept ms", "force p50", "force max")
	var out []Cost
	for _, n := range sizes {
		c, err := MeasureSessions(ctx, binDir, sizeFor(n))
		if err != nil {
			return nil, err
		}
		fmt.Fprintf(w, "%-16d %8.2f %8.1f %8.2f %8.1f %8.3f %8.3f %8.3f %9.2f %9.1f %9.1f %9.1f\n", n,
			c.LeaderCPU, c.LeaderMB, c.FollowerCPU, c.FollowerMB, c.NodeCPU, c.NodeMB, c.NodeKBPerSecond, c.ChangeKB, c.AcceptedP50, c.InForceP50, c.InForceMax)
		out = append(out, c)
	}
	return out, nil
}

// controlPoints returns one point for each measurement, with the given size and
// cost.
func controlPoints(costs []Cost, size func(Size) int, cost func(Cost) float64) []Point {
	var out []Point
	for _, c := range costs {
		out = append(out, Point{float64(size(c.Size)), cost(c)})
	}
	return out
}

// printControlFits prints the lines fitted to the costs of the control instances,
// extrapolated to the full size.
func printControlFits(w io.Writer, bySessions, byAccounts, byVoters []Cost) {
	sessions := func(s Size) int { return s.Sessions }
	accounts := func(s Size) int { return s.Accounts }
	voters := func(s Size) int { return s.Voters }
	row := func(label string, f Fit, size float64) {
		fmt.Fprintf(w, "%-32s %v; at %v: %.3f\n", label, f, size, f.At(size))
	}
	fmt.Fprintln(w)
	row("leader cpu% by session", FitLine(controlPoints(bySessions, sessions, func(c Cost) float64 { return c.LeaderCPU })), fullSizeNodes)
	row("leader MB by session", FitLine(controlPoints(bySessions, sessions, func(c Cost) float64 { return c.LeaderMB })), fullSizeNodes)
	row("leader MB by account", FitLine(controlPoints(byAccounts, accounts, func(c Cost) float64 { return c.LeaderMB })), fullSizeAccounts)
	row("follower cpu% by voter", FitLine(controlPoints(byVoters, voters, func(c Cost) float64 { return c.FollowerCPU })), fullSizeVoters)
	row("in force max ms by session", FitLine(controlPoints(bySessions, sessions, func(c Cost) float64 { return c.InForceMax })), fullSizeNodes)
	row("in force max ms by account", FitLine(controlPoints(byAccounts, accounts, func(c Cost) float64 { return c.InForceMax })), fullSizeAccounts)
}

// printSummary adds up what the control plane costs one entry instance at the
// full size: its session, the settings, and its share of the shard owners' work.
// It prints the mean instance and one that owns maxShardsPerInstance shards.
func printSummary(w io.Writer, bySessions, byAccounts []Cost, byTargets, byRequests []OwnerCost) {
	sessions := func(s Size) int { return s.Sessions }
	accounts := func(s Size) int { return s.Accounts }
	nodeKBPerSecond := FitLine(controlPoints(bySessions, sessions, func(c Cost) float64 { return c.NodeKBPerSecond }))
	changeKB := FitLine(controlPoints(byAccounts, accounts, func(c Cost) float64 { return c.ChangeKB }))
	nodeMB := FitLine(controlPoints(byAccounts, accounts, func(c Cost) float64 { return c.NodeMB }))
	cpuByTarget := FitLine(ownerPoints(byTargets, func(s OwnerSize) int { return s.Targets }, func(c OwnerCost) float64 { return c.CPU }))
	mbByTarget := FitLine(ownerPoints(byTargets, func(s OwnerSize) int { return s.Targets }, func(c OwnerCost) float64 { return c.MB }))
	cpuByRequestRate := FitLine(ownerPoints(byRequests, func(s OwnerSize) int { return s.RequestsPerSecond }, func(c OwnerCost) float64 { return c.CPU }))
	permitKB := byRequests[len(byRequests)-1].KBPerRequest
	nodeCPU := bySessions[len(bySessions)-1].NodeCPU

	requestsPerShard := float64(fullSizeRequestsPerSecond) / fullSizeShards
	requestsPerNode := float64(fullSizeRequestsPerSecond) / fullSizeNodes
	fmt.Fprintf(w, "node KB/s by session              %v; at %d: %.3f\n", nodeKBPerSecond, fullSizeNodes, nodeKBPerSecond.At(fullSizeNodes))
	fmt.Fprintf(w, "node MB by account                %v; at %d: %.3f\n", nodeMB, fullSizeAccounts, nodeMB.At(fullSizeAccounts))
	fmt.Fprintf(w, "change KB by account              %v; at %d: %.3f\n", changeKB, fullSizeAccounts, changeKB.At(fullSizeAccounts))
	fmt.Fprintf(w, "owner cpu%% by target              %v\n", cpuByTarget)
	fmt.Fprintf(w, "owner MB by target                %v\n", mbByTarget)
	fmt.Fprintf(w, "owner cpu%% by request/s           %v; at %.0f: %.3f\n", cpuByRequestRate, requestsPerShard, cpuByRequestRate.At(requestsPerShard))

	meanCPU := nodeCPU + cpuByTarget.Slope*fullSizeTargets/fullSizeNodes + cpuByRequestRate.Slope*requestsPerNode
	ownerCPU := nodeCPU + maxShardsPerInstance*(cpuByTarget.Slope*fullSizeTargets/fullSizeShards+cpuByRequestRate.Slope*requestsPerShard)
	sessionKBPerSecond := nodeKBPerSecond.At(fullSizeNodes) + max(0, changeKB.At(fullSizeAccounts))*changesPerDay/secondsPerDay
	meanKBPerSecond := sessionKBPerSecond + permitKB*requestsPerNode
	ownerKBPerSecond := sessionKBPerSecond + maxShardsPerInstance*permitKB*requestsPerShard
	memoryMB := byTargets[0].IdleMB + nodeMB.At(fullSizeAccounts)
	fmt.Fprintf(w, "mean entry instance: %.3f%% of a core, %.1f MB resident (whole process), %.2f KB/s\n", meanCPU, memoryMB, meanKBPerSecond)
	fmt.Fprintf(w, "entry instance that owns %d shards: %.3f%% of a core, %.2f KB/s\n", maxShardsPerInstance, ownerCPU, ownerKBPerSecond)
	fmt.Fprintf(w, "\nslopes: control_cpu_pct=%.3f control_mb=%.2f control_kbs=%.2f\n", ownerCPU, memoryMB, ownerKBPerSecond)
}

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
	changesPerDay  = 1500
	secondsPerDay  = 86_400
)

// Sizes that are measured.
var (
	sessionSizes = []int{8, 32, 128, 370}
	accountSizes = []int{10, 200, 1800}
	voterSizes   = []int{3, 5, 7}
)

// Fixed parts of the sizes while another one varies.
const (
	baseVoters   = 3
	baseSessions = 32
	baseAccounts = 10
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
	printFits(w, bySessions, byAccounts, byVoters)
	return nil
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

func printFits(w io.Writer, bySessions, byAccounts, byVoters []Cost) {
	sessions := func(s Size) int { return s.Sessions }
	accounts := func(s Size) int { return s.Accounts }
	voters := func(s Size) int { return s.Voters }
	leaderCPU := Line(points(bySessions, sessions, func(c Cost) float64 { return c.LeaderCPU }))
	leaderMB := Line(points(bySessions, sessions, func(c Cost) float64 { return c.LeaderMB }))
	nodeKBs := Line(points(bySessions, sessions, func(c Cost) float64 { return c.NodeKBs }))
	changeKB := Line(points(byAccounts, accounts, func(c Cost) float64 { return c.ChangeKB }))
	nodeMB := Line(points(byAccounts, accounts, func(c Cost) float64 { return c.NodeMB }))
	followerCPU := Line(points(byVoters, voters, func(c Cost) float64 { return c.FollowerCPU }))
	inForce := Line(points(bySessions, sessions, func(c Cost) float64 { return c.InForceMax }))
	fmt.Fprintf(w, "\nleader cpu%% by session: %v; at %d: %.2f\n", leaderCPU, targetNodes, leaderCPU.At(targetNodes))
	fmt.Fprintf(w, "leader MB by session: %v; at %d: %.1f\n", leaderMB, targetNodes, leaderMB.At(targetNodes))
	fmt.Fprintf(w, "follower cpu%% by voter: %v; at %d: %.2f\n", followerCPU, targetVoters, followerCPU.At(targetVoters))
	fmt.Fprintf(w, "node KB/s by session: %v; at %d: %.3f\n", nodeKBs, targetNodes, nodeKBs.At(targetNodes))
	fmt.Fprintf(w, "node MB by account: %v; at %d: %.3f\n", nodeMB, targetAccounts, nodeMB.At(targetAccounts))
	fmt.Fprintf(w, "change KB by account: %v; at %d: %.1f\n", changeKB, targetAccounts, changeKB.At(targetAccounts))
	fmt.Fprintf(w, "in force, max ms by session: %v; at %d: %.1f\n", inForce, targetNodes, inForce.At(targetNodes))
	largest := bySessions[len(bySessions)-1]
	kbs := nodeKBs.At(targetNodes) + changeKB.At(targetAccounts)*changesPerDay/secondsPerDay
	fmt.Fprintf(w, "\nslopes: control_cpu_pct=%.3f control_mb=%.2f control_kbs=%.2f\n", largest.NodeCPU, nodeMB.At(targetAccounts), kbs)
}

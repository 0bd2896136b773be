package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/google/subcommands"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/peerauth"
	"github.com/endivetrack/endivetrack/internal/settings"
	"github.com/endivetrack/endivetrack/internal/timeline"
)

type readCommand struct {
	connectionFlags
	team string
}

func (*readCommand) Name() string     { return "read" }
func (*readCommand) Synopsis() string { return "print a team's settings" }
func (*readCommand) Usage() string    { return "read -team T\n" }

func (c *readCommand) SetFlags(f *flag.FlagSet) {
	c.connectionFlags.SetFlags(f)
	f.StringVar(&c.team, "team", "", "team to read")
}

func (c *readCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	op, ctx, cancel, err := c.openOperator(ctx)
	if err != nil {
		return printError(err)
	}
	defer cancel()
	s, err := op.ReadSettings(ctx, c.team)
	if err != nil {
		return printError(err)
	}
	fmt.Printf("# team %s revision %d\n%s", s.GetTeam(), s.GetRevision(), s.GetToml())
	return subcommands.ExitSuccess
}

type statusCommand struct {
	connectionFlags
}

func (*statusCommand) Name() string     { return "status" }
func (*statusCommand) Synopsis() string { return "show control members, instances, owners and drains" }
func (*statusCommand) Usage() string    { return "status\n" }

func (c *statusCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	op, ctx, cancel, err := c.openOperator(ctx)
	if err != nil {
		return printError(err)
	}
	defer cancel()
	s, err := op.Status(ctx)
	if err != nil {
		return printError(err)
	}
	printStatus(s)
	return subcommands.ExitSuccess
}

func printStatus(s *api.StatusResponse) {
	fmt.Printf("control: leader=%s term=%d commit=%d\n", s.Leader, s.Term, s.CommitIndex)
	for _, m := range s.Members {
		fmt.Printf("  %-16s %-22s voter=%-5t leader=%-5t match=%d incarnation=%s\n", m.Name, m.Address, m.Voter, m.Leader, m.MatchIndex, m.Incarnation)
	}
	fmt.Println("instances:")
	names := map[uint64]string{}
	for _, i := range s.Instances {
		names[i.SessionId] = i.Name
		fmt.Printf("  %-16s %-22s %s/%s draining=%t\n", i.Name, i.Address, i.Region, i.FailureDomain, i.Draining)
	}
	fmt.Println("owners:")
	for _, a := range s.Assignments {
		owner := "(none)"
		if a.OwnerSession != 0 {
			owner = names[a.OwnerSession]
		}
		fmt.Printf("  %s/%s/%s/%d owner=%s epoch=%d\n", a.Shard.GetTeam(), a.Shard.GetService(), a.Shard.GetRegion(), a.Shard.GetNumber(), owner, a.Epoch)
	}
}

type checkCommand struct{}

func (*checkCommand) Name() string           { return "check" }
func (*checkCommand) Synopsis() string       { return "check a settings file without applying it" }
func (*checkCommand) Usage() string          { return "check FILE.toml\n" }
func (*checkCommand) SetFlags(*flag.FlagSet) {}

func (c *checkCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		fmt.Fprint(os.Stderr, c.Usage())
		return subcommands.ExitUsageError
	}
	text, err := os.ReadFile(f.Arg(0))
	if err != nil {
		return printError(err)
	}
	team, err := settings.Parse(f.Arg(0), text)
	if err != nil {
		return printError(err)
	}
	fmt.Printf("%s: ok: team=%s services=%d accounts=%d failure_domains=%d\n", f.Arg(0), team.Team, len(team.Services), len(team.Accounts), len(team.FailureDomains))
	return subcommands.ExitSuccess
}

type timelineCommand struct {
	dir  string
	kind string
	last int
}

func (*timelineCommand) Name() string     { return "timeline" }
func (*timelineCommand) Synopsis() string { return "print the events of all processes in causal order" }
func (*timelineCommand) Usage() string {
	return "timeline -dir D [-kind PREFIX] [-last N]\n" +
		"  Events are ordered by hybrid logical clocks: every call between processes carries its sender's clock,\n" +
		"  so an effect is never listed before its cause, although wall clocks differ. Events of processes that did\n" +
		"  not exchange calls between them are ordered by wall clock only.\n"
}

func (c *timelineCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.dir, "dir", ".", "folder with the event files of all processes")
	f.StringVar(&c.kind, "kind", "", "only events whose kind has this prefix")
	f.IntVar(&c.last, "last", 0, "only the last N events; 0 for all")
}

func (c *timelineCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	events, skipped, err := timeline.ReadDir(c.dir)
	if err != nil {
		return printError(err)
	}
	events = slices.DeleteFunc(events, func(e timeline.Event) bool { return !strings.HasPrefix(e.Kind, c.kind) })
	if c.last > 0 && len(events) > c.last {
		events = events[len(events)-c.last:]
	}
	for _, e := range events {
		fmt.Println(formatEvent(e))
	}
	if skipped > 0 {
		fmt.Fprintf(os.Stderr, "endivectl: %d incomplete or malformed lines skipped\n", skipped)
	}
	return subcommands.ExitSuccess
}

func formatEvent(e timeline.Event) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s+%d %-16s %-24s", e.WallTime().UTC().Format(time.StampMicro), e.Time.Counter, e.Process, e.Kind)
	keys := make([]string, 0, len(e.Fields))
	for k := range e.Fields {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	for _, k := range keys {
		fmt.Fprintf(&b, " %s=%s", k, e.Fields[k])
	}
	return b.String()
}

type keyCommand struct{}

func (*keyCommand) Name() string           { return "key" }
func (*keyCommand) Synopsis() string       { return "generate a random key and print it with its digest" }
func (*keyCommand) Usage() string          { return "key\n" }
func (*keyCommand) SetFlags(*flag.FlagSet) {}

func (*keyCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	key := peerauth.NewKey()
	fmt.Printf("key=%s\nsha256=%s\n", key, peerauth.Digest(key))
	return subcommands.ExitSuccess
}

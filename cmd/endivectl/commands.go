package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/google/subcommands"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/operator"
	"github.com/endivetrack/endivetrack/internal/resultcode"
	"github.com/endivetrack/endivetrack/internal/settings"
)

// printError prints err, with its result code if it has one, and returns the exit
// status of a failed command.
func printError(err error) subcommands.ExitStatus {
	var coded *resultcode.Error
	if errors.As(err, &coded) {
		fmt.Fprintln(os.Stderr, "endivectl: "+coded.Error())
	} else {
		fmt.Fprintln(os.Stderr, "endivectl:", err)
	}
	return subcommands.ExitFailure
}

// connectionFlags holds the flags of the commands that call the control group.
type connectionFlags struct {
	config  string
	timeout time.Duration
}

func (c *connectionFlags) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.config, "config", "endivectl.toml", "operator configuration file")
	f.DurationVar(&c.timeout, "timeout", 30*time.Second, "time limit for the calls")
}

func (c *connectionFlags) openOperator(ctx context.Context) (*operator.Operator, context.Context, context.CancelFunc, error) {
	op, err := operator.Open(c.config)
	if err != nil {
		return nil, nil, nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	return op, ctx, cancel, nil
}

type applyCommand struct {
	connectionFlags
	team             string
	expectedRevision uint64
	changeID         string
	noWait           bool
}

func (*applyCommand) Name() string     { return "apply" }
func (*applyCommand) Synopsis() string { return "apply a team's settings and wait until in force" }
func (*applyCommand) Usage() string {
	return "apply -team T -expected-revision N [-change-id ID] FILE.toml\n" +
		"  Exit status 0: in force on every instance. Resending with the same -change-id is safe.\n"
}

func (c *applyCommand) SetFlags(f *flag.FlagSet) {
	c.connectionFlags.SetFlags(f)
	f.StringVar(&c.team, "team", "", "team whose settings are replaced")
	f.Uint64Var(&c.expectedRevision, "expected-revision", 0, "revision that the change replaces; 0 for a team's first settings")
	f.StringVar(&c.changeID, "change-id", "", "id of this change; default: a random one")
	f.BoolVar(&c.noWait, "no-wait", false, "do not wait until the change is in force")
}

func (c *applyCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 || c.team == "" {
		fmt.Fprint(os.Stderr, c.Usage())
		return subcommands.ExitUsageError
	}
	text, err := os.ReadFile(f.Arg(0))
	if err != nil {
		return printError(err)
	}
	if _, err := settings.Parse(f.Arg(0), text); err != nil {
		return printError(err)
	}
	op, ctx, cancel, err := c.openOperator(ctx)
	if err != nil {
		return printError(err)
	}
	defer cancel()
	return c.apply(ctx, op, text)
}

func (c *applyCommand) apply(ctx context.Context, op *operator.Operator, text []byte) subcommands.ExitStatus {
	start := time.Now()
	resp, err := op.Apply(ctx, operator.Change{Team: c.team, ExpectedRevision: c.expectedRevision, ID: c.changeID, TOML: text})
	if err != nil {
		return printError(err)
	}
	fmt.Printf("accepted team=%s revision=%d version=%d replayed=%t after=%dms\n",
		c.team, resp.Revision, resp.Version, resp.Replayed, time.Since(start).Milliseconds())
	if c.noWait {
		return subcommands.ExitSuccess
	}
	printed := map[string]bool{}
	err = op.WaitInForce(ctx, resp.Version, func(r *api.InForceResponse) {
		printInForce(r, resp.Version, printed, time.Since(start))
	})
	if err != nil {
		return printError(err)
	}
	fmt.Printf("in force everywhere after=%dms\n", time.Since(start).Milliseconds())
	return subcommands.ExitSuccess
}

// printInForce prints each instance once, as soon as the settings of the version
// are in force there or the instance's lease has expired. It adds the names of
// printed instances to printed.
func printInForce(r *api.InForceResponse, version uint64, printed map[string]bool, after time.Duration) {
	for _, i := range r.Instances {
		state := "in force"
		switch {
		case i.SeenVersion >= version:
		case i.LeaseExpired:
			state = "refuses new work: lease expired"
		default:
			continue
		}
		if !printed[i.Name] {
			printed[i.Name] = true
			fmt.Printf("  %-20s %s after=%dms\n", i.Name, state, after.Milliseconds())
		}
	}
}

type memberCommand struct {
	connectionFlags
	action, name, incarnation, address, replaces string
	peerKeyFile                                  string
}

var memberActions = map[string]api.MemberAction{
	"add-learner": api.MemberAction_MEMBER_ACTION_ADD_LEARNER,
	"promote":     api.MemberAction_MEMBER_ACTION_PROMOTE,
	"remove":      api.MemberAction_MEMBER_ACTION_REMOVE,
}

func (*memberCommand) Name() string { return "member" }
func (*memberCommand) Synopsis() string {
	return "change the control group's members, one at a time"
}
func (*memberCommand) Usage() string {
	return "member -action add-learner|promote|remove -name N -incarnation I [-address IP:port] [-replaces I] -peer-key-file F\n"
}

func (c *memberCommand) SetFlags(f *flag.FlagSet) {
	c.connectionFlags.SetFlags(f)
	f.StringVar(&c.action, "action", "", "add-learner, promote or remove")
	f.StringVar(&c.name, "name", "", "name of the control instance")
	f.StringVar(&c.incarnation, "incarnation", "", "incarnation that the instance logs at start")
	f.StringVar(&c.address, "address", "", "IP:port of a new learner")
	f.StringVar(&c.replaces, "replaces", "", "with promote: incarnation of the lost member to remove")
	f.StringVar(&c.peerKeyFile, "peer-key-file", "", "file with the system's peer key")
}

func (c *memberCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	action, ok := memberActions[c.action]
	if !ok || c.name == "" || c.incarnation == "" {
		fmt.Fprint(os.Stderr, c.Usage())
		return subcommands.ExitUsageError
	}
	op, ctx, cancel, err := c.openOperator(ctx)
	if err != nil {
		return printError(err)
	}
	defer cancel()
	err = op.ChangeMember(ctx, c.peerKeyFile, &api.ChangeMemberRequest{
		Action: action, Name: c.name, Incarnation: c.incarnation, Address: c.address, ReplacesIncarnation: c.replaces,
	})
	if err != nil {
		return printError(err)
	}
	fmt.Printf("%s %s %s: committed\n", c.action, c.name, c.incarnation)
	return subcommands.ExitSuccess
}

// Command endivectl is the operators' tool: it applies, reads and checks a
// team's settings, changes the control group's members, shows its status, merges
// the timelines of all processes, explains requests from logs and creates keys.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"
)

func main() {
	for _, c := range []subcommands.Command{subcommands.HelpCommand(), subcommands.FlagsCommand(), subcommands.CommandsCommand()} {
		subcommands.Register(c, "help")
	}
	subcommands.Register(&applyCommand{}, "commands")
	subcommands.Register(&memberCommand{}, "commands")
	subcommands.Register(&readCommand{}, "queries")
	subcommands.Register(&statusCommand{}, "queries")
	subcommands.Register(&checkCommand{}, "queries")
	subcommands.Register(&timelineCommand{}, "queries")
	subcommands.Register(&explainCommand{}, "queries")
	subcommands.Register(&keyCommand{}, "keys")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}

// Command endivetrack-entry runs an entry instance: it serves callers, receives
// announcements of targets and owns shards.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/google/subcommands"

	"github.com/endivetrack/endivetrack/internal/resultcode"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "help")
	subcommands.Register(subcommands.FlagsCommand(), "help")
	subcommands.Register(&runCommand{}, "")
	subcommands.Register(&checkConfigCommand{}, "")
	subcommands.Register(&versionCommand{}, "")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}

type checkConfigCommand struct{}

func (*checkConfigCommand) Name() string           { return "check-config" }
func (*checkConfigCommand) Synopsis() string       { return "check a configuration file without starting" }
func (*checkConfigCommand) Usage() string          { return "check-config FILE\n" }
func (*checkConfigCommand) SetFlags(*flag.FlagSet) {}

// Execute checks the file.
func (c *checkConfigCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		fmt.Fprint(os.Stderr, c.Usage())
		return subcommands.ExitUsageError
	}
	if _, err := loadConfig(f.Arg(0)); err != nil {
		return fail(err)
	}
	fmt.Printf("%s: ok\n", f.Arg(0))
	return subcommands.ExitSuccess
}

type versionCommand struct{}

func (*versionCommand) Name() string           { return "version" }
func (*versionCommand) Synopsis() string       { return "print the version of the build" }
func (*versionCommand) Usage() string          { return "version\n" }
func (*versionCommand) SetFlags(*flag.FlagSet) {}

// Execute prints the build's revision.
func (*versionCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	revision := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				revision = s.Value
			}
		}
	}
	fmt.Println("endivetrack-entry", revision)
	return subcommands.ExitSuccess
}

// fail prints the error; a coded one starts with its number.
func fail(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, resultcode.From(err).Error())
	return subcommands.ExitFailure
}

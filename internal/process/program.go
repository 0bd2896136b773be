package process

import (
	"context"
	"flag"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/google/subcommands"

	"github.com/endivetrack/endivetrack/internal/resultcode"
)

// Program is the command line of an instance, with the commands run,
// check-config, version and optionally one that checks another kind of file.
type Program[C any] struct {
	Name     string // name of the binary
	Synopsis string // one-line description of the run command
	// ConfigFile is the default of the run command's flag -config.
	ConfigFile string
	// Load reads and validates a configuration file.
	Load func(file string) (C, error)
	// CheckFileName and CheckFile define a command that validates another kind
	// of file. Without CheckFile there is no such command.
	CheckFileName string
	CheckFile     func(file string) error
	// Run serves until ctx is cancelled and then stops gracefully.
	Run func(ctx context.Context, config C) error
}

// Main parses the command line, runs the command and exits the process with its
// status.
func (p *Program[C]) Main() {
	subcommands.Register(subcommands.HelpCommand(), "help")
	subcommands.Register(subcommands.FlagsCommand(), "help")
	subcommands.Register(&runCommand[C]{program: p}, "")
	subcommands.Register(&checkConfigCommand[C]{program: p}, "")
	if p.CheckFile != nil {
		subcommands.Register(&checkFileCommand{name: p.CheckFileName, check: p.CheckFile}, "")
	}
	subcommands.Register(&versionCommand{name: p.Name}, "")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}

type runCommand[C any] struct {
	program *Program[C]
	config  string
}

func (*runCommand[C]) Name() string       { return "run" }
func (c *runCommand[C]) Synopsis() string { return c.program.Synopsis }
func (*runCommand[C]) Usage() string      { return "run -config FILE\n" }

// SetFlags defines -config.
func (c *runCommand[C]) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.config, "config", c.program.ConfigFile, "configuration file")
}

// Execute loads the configuration and runs the program until SIGTERM or SIGINT.
func (c *runCommand[C]) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	config, err := c.program.Load(c.config)
	if err != nil {
		return printError(err)
	}
	ctx, cancel := SignalContext()
	defer cancel()
	if err := c.program.Run(ctx, config); err != nil {
		return printError(err)
	}
	return subcommands.ExitSuccess
}

type checkConfigCommand[C any] struct {
	program *Program[C]
}

func (*checkConfigCommand[C]) Name() string           { return "check-config" }
func (*checkConfigCommand[C]) Synopsis() string       { return "check a configuration file without starting" }
func (*checkConfigCommand[C]) Usage() string          { return "check-config FILE\n" }
func (*checkConfigCommand[C]) SetFlags(*flag.FlagSet) {}

// Execute validates the configuration file that the argument names.
func (c *checkConfigCommand[C]) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		fmt.Fprint(os.Stderr, c.Usage())
		return subcommands.ExitUsageError
	}
	if _, err := c.program.Load(f.Arg(0)); err != nil {
		return printError(err)
	}
	fmt.Printf("%s: ok\n", f.Arg(0))
	return subcommands.ExitSuccess
}

type checkFileCommand struct {
	name  string
	check func(file string) error
}

func (c *checkFileCommand) Name() string         { return c.name }
func (c *checkFileCommand) Synopsis() string     { return "check a file without starting" }
func (c *checkFileCommand) Usage() string        { return c.name + " FILE\n" }
func (*checkFileCommand) SetFlags(*flag.FlagSet) {}

// Execute validates the file that the argument names.
func (c *checkFileCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		fmt.Fprint(os.Stderr, c.Usage())
		return subcommands.ExitUsageError
	}
	if err := c.check(f.Arg(0)); err != nil {
		return printError(err)
	}
	fmt.Printf("%s: ok\n", f.Arg(0))
	return subcommands.ExitSuccess
}

type versionCommand struct {
	name string
}

func (*versionCommand) Name() string           { return "version" }
func (*versionCommand) Synopsis() string       { return "print the version of the build" }
func (*versionCommand) Usage() string          { return "version\n" }
func (*versionCommand) SetFlags(*flag.FlagSet) {}

// Execute prints the program's name and the revision it was built from.
func (c *versionCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	revision := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				revision = s.Value
			}
		}
	}
	fmt.Println(c.name, revision)
	return subcommands.ExitSuccess
}

// printError prints err to standard error, starting with the number of its result
// code, and returns the exit status of a failed command. An error without a result
// code is printed as an internal error.
func printError(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, resultcode.From(err).Error())
	return subcommands.ExitFailure
}

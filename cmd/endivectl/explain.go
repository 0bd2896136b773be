package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"github.com/endivetrack/endivetrack/internal/explain"
	"github.com/endivetrack/endivetrack/internal/timeline"
)

type explainCommand struct{}

func (*explainCommand) Name() string { return "explain" }
func (*explainCommand) Synopsis() string {
	return "print the log lines of a request and the cause of its outcome"
}
func (*explainCommand) Usage() string {
	return "explain REQUEST-ID FILE...\n" +
		"  Prints the lines of all given logs that concern the request, in the order of their logical clocks, and the\n" +
		"  cause of its outcome.\n"
}
func (*explainCommand) SetFlags(*flag.FlagSet) {}

func (*explainCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() < 2 {
		fmt.Fprint(os.Stderr, (*explainCommand)(nil).Usage())
		return subcommands.ExitUsageError
	}
	var log explain.Log
	for _, name := range f.Args()[1:] {
		if err := readLog(&log, name); err != nil {
			return printError(err)
		}
	}
	explanation := log.Explain(f.Arg(0))
	for _, line := range explanation.Lines {
		fmt.Println(line.Text)
	}
	fmt.Println("cause:", explanation.Cause)
	return subcommands.ExitSuccess
}

func readLog(log *explain.Log, name string) error {
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer file.Close()
	skipped, err := log.Read(file)
	if skipped > 0 {
		fmt.Fprintf(os.Stderr, "%s: %d lines over %d bytes skipped\n", name, skipped, timeline.MaxLineBytes)
	}
	return err
}

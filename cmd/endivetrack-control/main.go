// Command endivetrack-control runs a control instance: a member of the
// agreement group that serves sessions, settings, shard assignments and the
// records of protected writes, which the group replicates.
package main

import "github.com/endivetrack/endivetrack/internal/process"

func main() {
	program := process.Program[*config]{
		Name: "endivetrack-control", Synopsis: "run a control instance", ConfigFile: "control.toml",
		Load: loadConfig, Run: run,
	}
	program.Main()
}

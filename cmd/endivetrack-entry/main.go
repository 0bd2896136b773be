// Command endivetrack-entry runs an entry instance, which serves callers,
// receives the announcements of targets and owns shards.
package main

import "github.com/endivetrack/endivetrack/internal/process"

func main() {
	program := process.Program[*config]{
		Name: "endivetrack-entry", Synopsis: "run an entry instance", ConfigFile: "entry.toml",
		Load: loadConfig, Run: run,
	}
	program.Main()
}

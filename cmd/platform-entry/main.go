// Command platform-entry runs an entry instance on the users' platform, from the
// settings file that the platform provides.
package main

import (
	"context"

	"github.com/endivetrack/endivetrack/internal/instance"
	"github.com/endivetrack/endivetrack/internal/process"
	"github.com/endivetrack/endivetrack/platform"
)

func main() {
	program := process.Program[*platform.Settings]{
		Name: "platform-entry", Synopsis: "run an entry instance on the users' platform",
		Load: platform.Load,
		Run: func(ctx context.Context, s *platform.Settings) error {
			return instance.RunEntry(ctx, s.Entry())
		},
	}
	program.Main()
}

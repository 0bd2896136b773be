// Command platform-control runs a control instance on the users' platform, from
// the settings file that the platform provides.
package main

import (
	"context"

	"github.com/endivetrack/endivetrack/internal/instance"
	"github.com/endivetrack/endivetrack/internal/process"
	"github.com/endivetrack/endivetrack/platform"
)

func main() {
	program := process.Program[*platform.Settings]{
		Name: "platform-control", Synopsis: "run a control instance on the users' platform",
		Load: platform.Load, CheckFileName: "check-manifest", CheckFile: platform.CheckManifest,
		Run: func(ctx context.Context, s *platform.Settings) error {
			return instance.RunControl(ctx, s.Control())
		},
	}
	program.Main()
}

package main

import (
	"context"
	"flag"
	"fmt"
	"runtime"
	"runtime/debug"

	"github.com/google/subcommands"

	"peridotpier.example/cmd/internal/exit"
)

// Version is the release that this tree is on the way to.
const Version = "0.1.0"

type versionCommand struct{}

func (*versionCommand) Name() string           { return "version" }
func (*versionCommand) Synopsis() string       { return "print the version" }
func (*versionCommand) Usage() string          { return "peridotpier version\n" }
func (*versionCommand) SetFlags(*flag.FlagSet) {}
func (*versionCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	revision := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				revision = s.Value
			}
		}
	}
	fmt.Printf("peridotpier %s (revision %s, %s %s/%s)\n", Version, revision, runtime.Version(), runtime.GOOS, runtime.GOARCH)
	return exit.OK
}
